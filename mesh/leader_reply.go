package mesh

import (
	"rhubarbrack/ident"
	"rhubarbrack/quota"
	"rhubarbrack/spread"
)

// applyLeaderReply applies the part of a reply that only the leader sends.
// Leases count from the time the heartbeat was sent, so that they never
// outlast the allocator's record of them.
func (t *controlClientTask) applyLeaderReply(m heartbeatDone) {
	leases := make([]quota.Lease, len(m.record.Shares))
	for i, r := range m.record.Shares {
		leases[i] = quota.NewLease(ident.Team(r.Team), r.Share)
	}
	nearLimit := make([]ident.Team, len(m.record.Tight))
	for i, name := range m.record.Tight {
		nearLimit[i] = ident.Team(name)
	}
	t.listener.ApplyLeases(leases, nearLimit, m.sent.Add(quota.LeaseTime))
	if stats, ok := t.remoteStats(m.record); ok {
		t.listener.ApplyRemoteStats(stats)
	}
	t.applyLimits(m.record)
	t.applySuspects(m)
}

// applyLimits applies the rate limits of targets in a reply of the leader.
func (t *controlClientTask) applyLimits(r HeartbeatReplyRecord) {
	if len(r.Limits) == 0 || r.LoadsTag != t.listTag {
		return
	}
	shares, err := decodeLimits(r.Limits, t.list)
	if err != nil {
		t.log.Error("mesh: rate limits of targets cannot be decoded", "error", err)
		return
	}
	t.listener.ApplyLimits(shares)
}

// remoteStats returns the stats of the other hosts in a reply. It returns false
// if they refer to a list of targets that this host no longer has.
func (t *controlClientTask) remoteStats(r HeartbeatReplyRecord) ([]spread.TargetStats, bool) {
	if r.LoadsTag != 0 {
		if r.LoadsTag != t.listTag {
			return nil, false
		}
		stats, err := decodeLoads(r.Loads, t.list)
		if err != nil {
			t.log.Error("mesh: loads of targets cannot be decoded", "error", err)
		}
		return stats, err == nil
	}
	stats := make([]spread.TargetStats, len(r.Others))
	for i, o := range r.Others {
		stats[i] = spread.NewTargetStats(ident.Target(o.Target), o.Running, o.Failed, o.Served)
	}
	return stats, true
}
