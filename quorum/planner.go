package quorum

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// DefaultTolerance is the number of disks that may be lost at the same time unless
// WithTolerance says otherwise.
const DefaultTolerance = 2

const (
	// voterSilence is how long a voter may be silent before it is removed, if
	// enough others are in contact. A removed host joins again when it is back.
	voterSilence = time.Second
	// learnerSilence is the same for a learner, which counts for no majority.
	learnerSilence = 10 * time.Second
)

// Member is a member of the log as the leader sees it.
type Member struct {
	host    ident.Host
	address string
	voter   bool
	silence time.Duration
}

// NewMember returns a member that has been silent for the given time. The leader
// itself is never silent.
func NewMember(host ident.Host, address string, voter bool, silence time.Duration) Member {
	return Member{host: host, address: address, voter: voter, silence: silence}
}

// Joiner is a host that asks to become a voter. Its name differs from that of an
// earlier host at the same address if that one's disk is lost.
type Joiner struct {
	host    ident.Host
	address string
}

// NewJoiner returns a host that asks to become a voter.
func NewJoiner(host ident.Host, address string) Joiner { return Joiner{host: host, address: address} }

// Host returns the name of the host.
func (j Joiner) Host() ident.Host { return j.host }

// Address returns the address of the host.
func (j Joiner) Address() string { return j.address }

// Kind is the kind of a change.
type Kind string

const (
	// Add makes a host a member and, once it has caught up, a voter.
	Add Kind = "add"
	// Remove removes a member.
	Remove Kind = "remove"
)

// Reason tells why a change is due.
type Reason string

const (
	// Joins means that the host asks to become a voter.
	Joins Reason = "joins"
	// DiskLost means that another host with an empty disk is at the address.
	DiskLost Reason = "disk-lost"
	// Leaves means that the host is about to stop and enough voters remain.
	Leaves Reason = "leaves"
	// Silent means that the host is out of contact and enough voters remain.
	Silent Reason = "silent"
)

// Change is a change of the membership.
type Change struct {
	kind    Kind
	host    ident.Host
	address string
	reason  Reason
}

// Kind returns the kind of the change.
func (c Change) Kind() Kind { return c.kind }

// Host returns the host that is added or removed.
func (c Change) Host() ident.Host { return c.host }

// Address returns the address of the host.
func (c Change) Address() string { return c.address }

// Reason returns why the change is due.
func (c Change) Reason() Reason { return c.reason }

// Planner plans changes of the membership for the leader.
type Planner struct {
	host ident.Host
	// target is the number of voters from which others can be spared.
	target       int
	voterSilence time.Duration
}

// Option sets an optional property of a Planner.
type Option func(*Planner)

// WithTolerance sets the number of disks that may be lost at the same time. Negative
// values are ignored.
func WithTolerance(disks int) Option {
	return func(p *Planner) {
		if disks >= 0 {
			p.target = votersFor(disks)
		}
	}
}

// votersFor returns the number of voters of which a majority remains after a
// number of losses.
func votersFor(losses int) int { return 2*losses + 1 }

// NewPlanner returns the planner of a host.
func NewPlanner(host ident.Host, options ...Option) Planner {
	p := Planner{host: host, target: votersFor(DefaultTolerance), voterSilence: voterSilence}
	for _, apply := range options {
		apply(&p)
	}
	return p
}

// Next returns the next change that is due, and false if there is none. The
// leavers are the hosts that are about to stop.
func (p Planner) Next(members []Member, joiners []Joiner, leavers []ident.Host) (Change, bool) {
	if c, ok := p.replaceDisk(members, joiners); ok {
		return c, true
	}
	if c, ok := p.removeLeaver(members, leavers); ok {
		return c, true
	}
	if c, ok := p.removeSilent(members); ok {
		return c, true
	}
	return p.addJoiner(members, joiners, leavers)
}

// IsSpare reports whether a host that is about to stop should be removed before:
// it is a voter, and enough members remain without it, learners included, which
// are about to become voters. Next removes it once enough voters are in contact.
func (p Planner) IsSpare(members []Member, host ident.Host) bool {
	isVoter := slices.ContainsFunc(members, func(m Member) bool { return m.host == host && m.voter })
	return isVoter && len(members) > p.target
}

// hasLiveTarget reports whether enough voters are in contact without a member.
func (p Planner) hasLiveTarget(members []Member, without ident.Host) bool {
	live := 0
	for _, m := range members {
		if m.host != without && p.isLive(m) {
			live++
		}
	}
	return live >= p.target
}

// isLive reports whether a member is a voter in contact with the leader.
func (p Planner) isLive(m Member) bool { return m.voter && m.silence < p.voterSilence }

func countVoters(members []Member) int {
	voters := 0
	for _, m := range members {
		if m.voter {
			voters++
		}
	}
	return voters
}

// replaceDisk removes a member whose disk is lost before its successor is added.
// Its votes and entries are lost, so it must count for no majority.
func (p Planner) replaceDisk(members []Member, joiners []Joiner) (Change, bool) {
	for _, j := range joiners {
		for _, m := range members {
			if m.address == j.address && m.host != j.host && m.host != p.host {
				return Change{kind: Remove, host: m.host, address: m.address, reason: DiskLost}, true
			}
		}
	}
	return Change{}, false
}

func (p Planner) removeLeaver(members []Member, leavers []ident.Host) (Change, bool) {
	for _, m := range members {
		if m.host != p.host && slices.Contains(leavers, m.host) && p.hasLiveTarget(members, m.host) {
			return Change{kind: Remove, host: m.host, address: m.address, reason: Leaves}, true
		}
	}
	return Change{}, false
}

// removeSilent removes a silent member that can be spared. Of several voters it is
// the one that was heard of last: a successor appears shortly after its
// predecessor is gone, while others may have been out of contact for longer.
func (p Planner) removeSilent(members []Member) (Change, bool) {
	voters := countVoters(members)
	silent := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		if m.host == p.host {
			return true
		}
		if m.voter {
			return p.isLive(m) || voters <= p.target
		}
		return m.silence < learnerSilence
	})
	if len(silent) == 0 {
		return Change{}, false
	}
	m := slices.MinFunc(silent, func(a, b Member) int { return cmp.Compare(a.silence, b.silence) })
	return Change{kind: Remove, host: m.host, address: m.address, reason: Silent}, true
}

// addJoiner adds a host, or makes a member a voter. A host that is about to stop
// is not added again.
func (p Planner) addJoiner(members []Member, joiners []Joiner, leavers []ident.Host) (Change, bool) {
	for _, j := range joiners {
		i := slices.IndexFunc(members, func(m Member) bool { return m.host == j.host })
		if (i < 0 || !members[i].voter) && !slices.Contains(leavers, j.host) {
			return Change{kind: Add, host: j.host, address: j.address, reason: Joins}, true
		}
	}
	return Change{}, false
}
