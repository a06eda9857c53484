package mesh

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/quota"
)

// takeToken takes a token of a team's reserve, if this host leads.
func (r *registry) takeToken(record TokenRequestRecord) bool {
	now := r.clock.Now()
	if now.Sub(r.confirmedAt) >= leadershipValidity || r.allocator == nil {
		return false
	}
	return r.allocator.TakeToken(now, ident.Team(record.Team), record.Rate, record.Burst, record.Span)
}

// confirmLeadership records that the leadership was confirmed. After a gap,
// another host may have granted leases, so a new allocator starts.
func (r *registry) confirmLeadership(at time.Time) {
	if r.allocator == nil || at.Sub(r.confirmedAt) > leadershipValidity {
		r.allocator = quota.NewAllocator(r.clock.Now())
		r.log.Info("mesh: starting to grant leases of rates")
	}
	r.confirmedAt = at
}

func (r *registry) allocate(now time.Time, host ident.Host, records []DemandRecord) []LeaseRecord {
	demands := make([]quota.Demand, len(records))
	for i, d := range records {
		demands[i] = quota.NewDemand(ident.Team(d.Team), d.Asked, d.Taken, d.Held)
	}
	leases := r.allocator.Allocate(now, host, len(r.hosts), demands)
	list := make([]LeaseRecord, len(leases))
	for i, l := range leases {
		list[i] = LeaseRecord{Team: string(l.Team()), Share: l.Share()}
	}
	return list
}
