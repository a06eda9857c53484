package state

import (
	"time"

	"rhubarbrack/ident"
)

// maxMembers bounds the entry hosts, with room above the 3,400 that are
// expected in two years.
const maxMembers = 20_000

// Join makes a process of an entry host a member.
type Join struct {
	shared
	member Member
}

var _ configCommand = Join{}

// NewJoin returns the command for a member from NewMember. A greater
// incarnation replaces an earlier process of the host: its roles become vacant
// and its claims unknown.
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
		next.roles = c.rolesWithout(j.member.host, revision)
	}
	next.members = c.members.set(member.host, member)
	return &next, accept(true)
}

// rolesWithout makes the roles of a host vacant. Their epochs stay, so that
// the next assignment must be greater.
func (c *Config) rolesWithout(host ident.Host, revision ident.Revision) tree[RoleName, Role] {
	roles := c.roles
	c.roles.each(func(name RoleName, r Role) bool {
		if r.host == host {
			roles = roles.set(name, Role{name: name, epoch: r.epoch, revision: revision})
		}
		return true
	})
	return roles
}

// Leave marks a process as leaving: it gets no new roles and leaves look-ups.
type Leave struct {
	shared
	host        ident.Host
	incarnation ident.Incarnation
}

var _ configCommand = Leave{}

// NewLeave returns the command for a process that shuts down.
func NewLeave(host ident.Host, incarnation ident.Incarnation) Leave {
	return Leave{host: host, incarnation: incarnation}
}

// Kind returns "leave".
func (l Leave) Kind() string { return "leave" }

// Host returns the host of the process.
func (l Leave) Host() ident.Host { return l.host }

// Incarnation returns the number of the process.
func (l Leave) Incarnation() ident.Incarnation { return l.incarnation }

func (l Leave) stamp(at time.Time) Command { l.at = at; return l }

func (l Leave) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	member, refusal, ok := c.process(l.host, l.incarnation)
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

// process returns the member of that host and incarnation, or a refusal.
func (c *Config) process(host ident.Host, incarnation ident.Incarnation) (Member, Outcome, bool) {
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

// Expire ends a process whose session has ended: its roles become vacant and
// its running claims unknown.
type Expire struct {
	shared
	host        ident.Host
	incarnation ident.Incarnation
}

var _ configCommand = Expire{}

// NewExpire returns the command that ends a process. The process may not join
// again under the same incarnation.
func NewExpire(host ident.Host, incarnation ident.Incarnation) Expire {
	return Expire{host: host, incarnation: incarnation}
}

// Kind returns "expire".
func (e Expire) Kind() string { return "expire" }

// Host returns the host of the process.
func (e Expire) Host() ident.Host { return e.host }

// Incarnation returns the number of the process.
func (e Expire) Incarnation() ident.Incarnation { return e.incarnation }

func (e Expire) stamp(at time.Time) Command { e.at = at; return e }

func (e Expire) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	if _, refusal, ok := c.process(e.host, e.incarnation); !ok {
		return c, refusal
	}
	next := *c
	next.roles = c.rolesWithout(e.host, revision)
	next.members = c.members.remove(e.host)
	return &next, accept(true)
}
