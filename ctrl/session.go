package ctrl

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/plan"
	"rhubarbrack/state"
)

const (
	// Lease is how long an entry host may act on its view. It starts when the
	// host sent the poll that confirmed the view.
	Lease = 3 * time.Second
	// RoleLease is how long an entry host may act in its roles after it sent a
	// poll. It is shorter than Lease, so that the roles of a failed host are
	// reassigned before the requests that wait for them time out. It allows
	// several polls.
	RoleLease = 1500 * time.Millisecond
	// sessionMargin allows for clock drift between the leader and an entry host
	// during one lease.
	sessionMargin = 200 * time.Millisecond
)

// session is the state of one process of an entry host, as its last poll
// reported it.
type session struct {
	incarnation ident.Incarnation
	renewedAt   time.Time
	revision    ident.Revision
	demand      []DemandRecord
}

// sessions tracks the leases of entry hosts on the control leader. It is
// owned by the leader task.
type sessions struct {
	leadershipStart time.Time
	byHost          map[ident.Host]session
}

// beginLeadership drops the sessions when a leadership begins. The previous
// leader may have granted leases until now, so every process counts as renewed
// at this time.
func (s *sessions) beginLeadership(now time.Time) {
	s.leadershipStart = now
	s.byHost = make(map[ident.Host]session)
}

// renew records a poll, unless it is older than the last one.
func (s *sessions) renew(h ident.Host, e session) {
	old, ok := s.byHost[h]
	if ok && (old.incarnation > e.incarnation || old.incarnation == e.incarnation && old.renewedAt.After(e.renewedAt)) {
		return
	}
	s.byHost[h] = e
}

// lastRenewal returns the latest time at which the process of a member may have
// renewed its lease.
func (s *sessions) lastRenewal(m state.Member) time.Time {
	renewed := s.leadershipStart
	if e, ok := s.byHost[m.Host()]; ok && e.incarnation == m.Incarnation() && e.renewedAt.After(renewed) {
		renewed = e.renewedAt
	}
	return renewed
}

// leaseEnd returns the time until which the process of a member may hold a lease.
func (s *sessions) leaseEnd(m state.Member) time.Time {
	return s.lastRenewal(m).Add(Lease + sessionMargin)
}

// roleLeaseExpired returns the members that may no longer act in their roles.
func (s *sessions) roleLeaseExpired(members []state.Member, now time.Time) []state.Member {
	var out []state.Member
	for _, m := range members {
		if now.After(s.lastRenewal(m).Add(RoleLease + sessionMargin)) {
			out = append(out, m)
		}
	}
	return out
}

// leaseExpired returns the members whose lease has certainly expired.
func (s *sessions) leaseExpired(members []state.Member, now time.Time) []state.Member {
	var out []state.Member
	for _, m := range members {
		if now.After(s.leaseEnd(m)) {
			out = append(out, m)
		}
	}
	return out
}

// inForce returns the latest revision that every member has applied. A member
// that has not polled this leader yet counts as having applied none.
func (s *sessions) inForce(members []state.Member, latest ident.Revision) ident.Revision {
	lowest := latest
	for _, m := range members {
		e, ok := s.byHost[m.Host()]
		if !ok || e.incarnation != m.Incarnation() {
			return 0
		}
		lowest = min(lowest, e.revision)
	}
	return lowest
}

// behind returns the members that have not applied the revision.
func (s *sessions) behind(members []state.Member, revision ident.Revision) []ident.Host {
	var out []ident.Host
	for _, m := range members {
		e, ok := s.byHost[m.Host()]
		if !ok || e.incarnation != m.Incarnation() || e.revision < revision {
			out = append(out, m.Host())
		}
	}
	return out
}

// demand returns the demand on the members.
func (s *sessions) demand(members []state.Member) []plan.Demand {
	var out []plan.Demand
	for _, m := range members {
		e, ok := s.byHost[m.Host()]
		if !ok || e.incarnation != m.Incarnation() {
			continue
		}
		for _, d := range e.demand {
			out = append(out, plan.NewDemand(d.Service, m.Region(), d.Class, d.Slots))
		}
	}
	return out
}
