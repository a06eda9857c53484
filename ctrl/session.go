package ctrl

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/plan"
	"rhubarbrack/state"
)

const (
	// Lease is how long an entry host may act on its view, counted from when
	// it sent the poll that confirmed it.
	Lease = 3 * time.Second
	// RoleLease is how long an entry host may act for its roles after it sent
	// a poll. It is shorter than Lease, so that the roles of a host that died
	// move before the requests that wait for them run out of time. Several
	// polls fit in.
	RoleLease = 1500 * time.Millisecond
	// sessionMargin covers the difference in rate between the clocks of the
	// leader and of an entry host during one lease.
	sessionMargin = 200 * time.Millisecond
)

// session is what the leader knows of one process of an entry host.
type session struct {
	incarnation ident.Incarnation
	renewed     time.Time
	revision    ident.Revision
	demand      []LoadRecord
}

// sessions tracks the leases of entry hosts on the control leader. It is
// owned by the leader task.
type sessions struct {
	began time.Time
	known map[ident.Host]session
}

// begin starts a leadership. The former leader may have confirmed a lease
// until this moment, so every process counts as just renewed.
func (s *sessions) begin(now time.Time) {
	s.began = now
	s.known = make(map[ident.Host]session)
}

// renew records a poll that arrived at the given time.
func (s *sessions) renew(h ident.Host, e session) {
	old, ok := s.known[h]
	if ok && (old.incarnation > e.incarnation || old.incarnation == e.incarnation && old.renewed.After(e.renewed)) {
		return
	}
	s.known[h] = e
}

// renewed returns when the process of a member may have renewed its lease last.
func (s *sessions) renewed(m state.Member) time.Time {
	renewed := s.began
	if e, ok := s.known[m.Host()]; ok && e.incarnation == m.Incarnation() && e.renewed.After(renewed) {
		renewed = e.renewed
	}
	return renewed
}

// last returns until when the process of a member may still hold a lease.
func (s *sessions) last(m state.Member) time.Time { return s.renewed(m).Add(Lease + sessionMargin) }

// silent returns the members that may not act for their roles any more.
func (s *sessions) silent(members []state.Member, now time.Time) []state.Member {
	var out []state.Member
	for _, m := range members {
		if now.After(s.renewed(m).Add(RoleLease + sessionMargin)) {
			out = append(out, m)
		}
	}
	return out
}

// expired returns the members whose lease has certainly ended.
func (s *sessions) expired(members []state.Member, now time.Time) []state.Member {
	var out []state.Member
	for _, m := range members {
		if now.After(s.last(m)) {
			out = append(out, m)
		}
	}
	return out
}

// inForce returns the revision that every process with a lease has applied.
// A member that has not polled this leader yet counts as behind.
func (s *sessions) inForce(members []state.Member, latest ident.Revision) ident.Revision {
	lowest := latest
	for _, m := range members {
		e, ok := s.known[m.Host()]
		if !ok || e.incarnation != m.Incarnation() {
			return 0
		}
		lowest = min(lowest, e.revision)
	}
	return lowest
}

// behind lists the members that have not applied the revision.
func (s *sessions) behind(members []state.Member, revision ident.Revision) []ident.Host {
	var out []ident.Host
	for _, m := range members {
		e, ok := s.known[m.Host()]
		if !ok || e.incarnation != m.Incarnation() || e.revision < revision {
			out = append(out, m.Host())
		}
	}
	return out
}

// demand returns the load that comes in at the members.
func (s *sessions) demand(members []state.Member) []plan.Load {
	var out []plan.Load
	for _, m := range members {
		e, ok := s.known[m.Host()]
		if !ok || e.incarnation != m.Incarnation() {
			continue
		}
		for _, d := range e.demand {
			out = append(out, plan.NewLoad(d.Service, m.Region(), d.Class, d.Slots))
		}
	}
	return out
}
