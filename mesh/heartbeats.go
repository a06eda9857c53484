package mesh

import (
	"context"
	"time"
)

// sendHeartbeats sends a heartbeat to each control host to which one is due.
func (t *controlClientTask) sendHeartbeats() {
	now := t.clock.Now()
	if age := t.contactAge(now); age > 0 {
		t.meter.Observe("contact-age", "", "", age)
	}
	known := t.readyTags()
	for _, p := range t.peers {
		if !p.lost && !p.lastHeard.IsZero() && now.Sub(p.lastHeard) > hostTimeout {
			p.lost = true
			t.log.Warn("mesh: no contact to control host", "peer", p.address, "silent", now.Sub(p.lastHeard).String())
		}
		if p.isOverdue(now) {
			p.client.ReplaceSilent()
		}
		if !p.isDue(now) {
			continue
		}
		p.pending = append(p.pending, now)
		heartbeat := t.heartbeat
		heartbeat.ReadyTag, heartbeat.ReadyTags, heartbeat.ListTag = p.ready.tag, known, t.listTag
		heartbeat.TakesList = true
		heartbeat.SuspectsTag = p.suspectsTag
		go t.sendHeartbeat(p, heartbeat, p.leads, p.isTold, now)
	}
	t.askNeighbours(now)
	t.checkReady(now)
}

// sendHeartbeat sends a heartbeat to one control host.
func (t *controlClientTask) sendHeartbeat(p *peer, heartbeat HeartbeatRecord, leads, isTold bool, sent time.Time) {
	call, cancel := context.WithTimeout(t.ctx, heartbeatTimeout)
	defer cancel()
	if leads {
		demands, err := t.listener.Demand(call)
		if err != nil {
			t.log.Warn("mesh: heartbeat without the demand of teams", "error", err)
		}
		for _, d := range demands {
			heartbeat.Needs = append(heartbeat.Needs,
				DemandRecord{Team: string(d.Team()), Asked: d.Requested(), Taken: d.Admitted(), Held: d.Leased()})
		}
		stats, err := t.listener.TargetStats(call)
		if err != nil {
			t.log.Warn("mesh: heartbeat without target stats", "error", err)
		}
		for _, s := range stats {
			heartbeat.Counts = append(heartbeat.Counts, newTargetStatsRecord(s))
		}
		t.addSuspects(call, &heartbeat, isTold, sent)
	}
	m := heartbeatDone{peer: p, sent: sent, toLeader: leads}
	m.err = p.client.Call(call, methodHeartbeat, &heartbeat, &m.record)
	if now := t.clock.Now(); now.Sub(sent) >= slowHeartbeat {
		m.waiting = t.readWaiting(call)
	}
	t.self.Tell(m)
}

func (t *controlClientTask) heartbeatDone(m heartbeatDone) {
	now := t.clock.Now()
	m.peer.endHeartbeat(m.sent)
	t.recordHeartbeat(now, m)
	if m.err != nil {
		return
	}
	if m.peer.lost {
		t.log.Info("mesh: contact to control host restored", "peer", m.peer.address)
	}
	m.peer.lastHeard, m.peer.lost = now, false
	m.peer.observeDelay(now.Sub(m.sent))
	t.linkDelay.SetLinkDelay(t.shortestDelay(now))
	if m.sent.Before(m.peer.newestSent) {
		return
	}
	m.peer.newestSent, m.peer.hostCount = m.sent, m.record.Hosts
	t.updateReady(m.peer, m.record)
	m.peer.leads = m.record.Leads
	if m.record.Leads {
		t.applyLeaderReply(m)
	} else {
		m.peer.isTold = false
	}
	if t.firstReply.IsZero() {
		t.firstReply = now
	}
	t.updateControlHosts(m.record.Controls)
	t.updateHostCount(now)
	t.applyReturned(m.sent, m.record)
	t.applyState(m.peer, m.record)
	t.considerList(m.peer, methodTargets, m.sent, m.record)
	t.checkReady(now)
}
