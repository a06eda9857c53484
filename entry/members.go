package entry

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"rhubarbrack/ident"
)

// Role names a role that is assigned to at most one entry host at a time.
type Role string

const (
	slotRolePrefix = "slots/"
	rateRolePrefix = "rates/"
)

// SlotRole returns the role of the slot owner of a region.
func SlotRole(r ident.Region) Role { return Role(slotRolePrefix + string(r)) }

// RateRole returns the role of the rate owner of a shard of teams.
func RateRole(shard int) Role { return Role(fmt.Sprintf("%s%d", rateRolePrefix, shard)) }

// Region returns the region of a slot role. It reports false for any other
// role.
func (r Role) Region() (ident.Region, bool) {
	name, ok := strings.CutPrefix(string(r), slotRolePrefix)
	return ident.Region(name), ok
}

// Assignment records the process that a role is assigned to.
type Assignment struct {
	host        ident.Host
	incarnation ident.Incarnation
	epoch       ident.Epoch
}

// NewAssignment returns the assignment of a role to a process of a host.
func NewAssignment(h ident.Host, i ident.Incarnation, e ident.Epoch) Assignment {
	return Assignment{host: h, incarnation: i, epoch: e}
}

// Host returns the host that has the role.
func (a Assignment) Host() ident.Host { return a.host }

// Incarnation returns the incarnation of the process that has the role.
func (a Assignment) Incarnation() ident.Incarnation { return a.incarnation }

// Epoch returns the epoch of the assignment. It is greater than that of every
// earlier assignment of the role.
func (a Assignment) Epoch() ident.Epoch { return a.epoch }

// Member is a live or leaving entry host.
type Member struct {
	host        ident.Host
	incarnation ident.Incarnation
	region      ident.Region
	address     string
}

// NewMember returns a member whose peer RPC listens on address.
func NewMember(h ident.Host, i ident.Incarnation, r ident.Region, address string) Member {
	return Member{host: h, incarnation: i, region: r, address: address}
}

// Host returns the name of the member.
func (m Member) Host() ident.Host { return m.host }

// Incarnation returns the incarnation of the member's process.
func (m Member) Incarnation() ident.Incarnation { return m.incarnation }

// Region returns the region of the member.
func (m Member) Region() ident.Region { return m.region }

// Address returns the IP address and port of the member's peer RPC.
func (m Member) Address() string { return m.address }

// Members is the membership as known to one entry host: the members, the role
// assignments and the expiry of the host's own leases. It is immutable.
type Members struct {
	self           ident.Host
	incarnation    ident.Incarnation
	revision       ident.Revision
	freshUntil     time.Time
	roleLeaseUntil time.Time
	members        []Member
	roles          map[Role]Assignment
}

// NewMembers returns the membership as known to the process incarnation of
// host self. The view lease and the role lease both expire at freshUntil, by
// the local clock; WithLeases sets them separately.
func NewMembers(self ident.Host, incarnation ident.Incarnation, revision ident.Revision,
	freshUntil time.Time, members []Member, roles map[Role]Assignment,
) Members {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.host, b.host) })
	return Members{
		self: self, incarnation: incarnation, revision: revision,
		freshUntil: freshUntil, roleLeaseUntil: freshUntil, members: sorted, roles: roles,
	}
}

// WithLeases returns a copy with the given expiry times of the view lease and
// of the role lease.
func (m Members) WithLeases(freshUntil, roleLeaseUntil time.Time) Members {
	m.freshUntil, m.roleLeaseUntil = freshUntil, roleLeaseUntil
	return m
}

// Self returns the host that this process runs on.
func (m Members) Self() ident.Host { return m.self }

// Incarnation returns the incarnation of this process.
func (m Members) Incarnation() ident.Incarnation { return m.incarnation }

// Revision returns the revision of the view that the membership was read from.
func (m Members) Revision() ident.Revision { return m.revision }

// Fresh reports whether the view lease of this process is still valid at now.
func (m Members) Fresh(now time.Time) bool { return now.Before(m.freshUntil) }

// FreshUntil returns the expiry of this process's view lease.
func (m Members) FreshUntil() time.Time { return m.freshUntil }

// All returns the members sorted by host. The caller must not change it.
func (m Members) All() []Member { return m.members }

// Member returns the member on a host.
func (m Members) Member(h ident.Host) (Member, bool) {
	at, found := slices.BinarySearchFunc(m.members, h, func(e Member, h ident.Host) int {
		return cmp.Compare(e.host, h)
	})
	if !found {
		return Member{}, false
	}
	return m.members[at], true
}

// Role returns the assignment of a role.
func (m Members) Role(r Role) (Assignment, bool) {
	a, ok := m.roles[r]
	return a, ok
}

// Owns returns the epoch under which this process has the role. It reports
// false when the role is not assigned to this process or its role lease has
// expired at now.
func (m Members) Owns(r Role, now time.Time) (ident.Epoch, bool) {
	a, ok := m.roles[r]
	if !ok || a.host != m.self || a.incarnation != m.incarnation || !now.Before(m.roleLeaseUntil) {
		return 0, false
	}
	return a.epoch, true
}

// MembersChanged notifies a task of this package that the members, the roles
// or the leases have changed. The task that owns the view sends it after each
// poll.
type MembersChanged struct {
	members Members
}

// NewMembersChanged returns the notification with the new membership.
func NewMembersChanged(m Members) MembersChanged { return MembersChanged{members: m} }

// Members returns the current membership.
func (c MembersChanged) Members() Members { return c.members }
