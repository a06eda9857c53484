package state

import (
	"time"

	"rhubarbrack/ident"
)

// maxMembers bounds the number of entry hosts. It leaves a margin above the
// 3,400 expected in two years.
const maxMembers = 20_000

// Join adds a process on an entry host to the membership.
type Join struct {
	sharedBase
	member Member
}

var _ configCommand = Join{}

// NewJoin returns a command that adds a member created by NewMember. A greater
// incarnation replaces an earlier process on the host: its roles become vacant
// and its running claims are marked as unknown.
func NewJoin(member Member) Join { return Join{member: member.WithState(MemberLive, 0)} }

// Kind returns "join".
func (j Join) Kind() string { return "join" }

// Member returns the member that joins.
func (j Join) Member() Member { return j.member }

func (j Join) stamp(at time.Time) Command { j.at = at; return j }

func (j Join) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	for _, name := range []string{string(j.member.host), string(j.member.zone), string(j.member.region)} {
		if ident.CheckName("member", name) != nil {
			return c, refuse(ReasonInvalid, "%q: want 1 to 63 lower-case letters, digits, dots and inner hyphens", name)
		}
	}
	old, exists := c.members.get(j.member.host)
	if exists && j.member.incarnation < old.incarnation {
		return c, refuse(ReasonStaleIncarnation, "host %q has incarnation %d", old.host, old.incarnation)
	}
	same := exists && old.incarnation == j.member.incarnation
	if same && old == j.member.WithState(old.state, old.revision) {
		return c, accept(false)
	}
	if !exists && c.members.len() >= maxMembers {
		return c, refuse(ReasonTooMany, "there are %d members already", maxMembers)
	}
	member := j.member.WithState(MemberLive, revision)
	next := *c
	if same {
		member.state = old.state
	} else {
		next.roles = c.vacateRoles(j.member.host, revision)
	}
	next.members = c.members.set(member.host, member)
	return &next, accept(true)
}

// vacateRoles returns the roles with those of a host made vacant. Vacant roles
// keep their epoch, so that the next assignment must use a greater one.
func (c *Config) vacateRoles(host ident.Host, revision ident.Revision) tree[RoleName, Role] {
	roles := c.roles
	c.roles.each(func(name RoleName, r Role) bool {
		if r.host == host {
			roles = roles.set(name, Role{name: name, epoch: r.epoch, revision: revision})
		}
		return true
	})
	return roles
}

// Leave marks a process as leaving: it is assigned no new roles and is removed
// from lookup results.
type Leave struct {
	sharedBase
	host        ident.Host
	incarnation ident.Incarnation
}

var _ configCommand = Leave{}

// NewLeave returns a command that marks a process as shutting down.
func NewLeave(host ident.Host, incarnation ident.Incarnation) Leave {
	return Leave{host: host, incarnation: incarnation}
}

// Kind returns "leave".
func (l Leave) Kind() string { return "leave" }

// Host returns the host of the process.
func (l Leave) Host() ident.Host { return l.host }

// Incarnation returns the incarnation of the process.
func (l Leave) Incarnation() ident.Incarnation { return l.incarnation }

func (l Leave) stamp(at time.Time) Command { l.at = at; return l }

func (l Leave) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	member, refusal, ok := c.findProcess(l.host, l.incarnation)
	if !ok {
		return c, refusal
	}
	if member.state == MemberLeaving {
		return c, accept(false)
	}
	next := *c
	next.members = c.members.set(l.host, member.WithState(MemberLeaving, revision))
	return &next, accept(true)
}

// findProcess returns the member with the given host and incarnation, or a
// refusal and false.
func (c *Config) findProcess(host ident.Host, incarnation ident.Incarnation) (Member, Outcome, bool) {
	member, ok := c.members.get(host)
	if !ok {
		return Member{}, refuse(ReasonUnknownHost, "host %q is not a member", host), false
	}
	if member.incarnation != incarnation {
		return Member{}, refuse(ReasonStaleIncarnation, "host %q has incarnation %d, not %d",
			host, member.incarnation, incarnation), false
	}
	return member, Outcome{}, true
}

// Expire removes a process whose session has expired: its roles become vacant
// and its running claims are marked as unknown.
type Expire struct {
	sharedBase
	host        ident.Host
	incarnation ident.Incarnation
}

var _ configCommand = Expire{}

// NewExpire returns a command that removes a process. The process cannot
// rejoin with the same incarnation.
func NewExpire(host ident.Host, incarnation ident.Incarnation) Expire {
	return Expire{host: host, incarnation: incarnation}
}

// Kind returns "expire".
func (e Expire) Kind() string { return "expire" }

// Host returns the host of the process.
func (e Expire) Host() ident.Host { return e.host }

// Incarnation returns the incarnation of the process.
func (e Expire) Incarnation() ident.Incarnation { return e.incarnation }

func (e Expire) stamp(at time.Time) Command { e.at = at; return e }

func (e Expire) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	if _, refusal, ok := c.findProcess(e.host, e.incarnation); !ok {
		return c, refusal
	}
	next := *c
	next.roles = c.vacateRoles(e.host, revision)
	next.members = c.members.remove(e.host)
	return &next, accept(true)
}
