package roster

import (
	"fmt"

	"rhubarbrack/ident"
)

// State tells whether roles may be assigned to a member.
type State int

const (
	// Live members can be assigned roles.
	Live State = iota
	// Leaving members are assigned no roles and release those they have.
	Leaving
)

// Member is a process of an entry host that is a member of the fleet.
type Member struct {
	host        ident.Host
	incarnation ident.Incarnation
	zone        ident.Zone
	region      ident.Region
	state       State
}

// NewMember returns a member.
func NewMember(h ident.Host, i ident.Incarnation, z ident.Zone, r ident.Region, s State) Member {
	return Member{host: h, incarnation: i, zone: z, region: r, state: s}
}

// Host returns the name of the member's host.
func (m Member) Host() ident.Host { return m.host }

// Incarnation returns the incarnation number of the member's process.
func (m Member) Incarnation() ident.Incarnation { return m.incarnation }

// Zone returns the availability zone of the member.
func (m Member) Zone() ident.Zone { return m.zone }

// Region returns the region of the member.
func (m Member) Region() ident.Region { return m.region }

// State returns whether roles may be assigned to the member.
func (m Member) State() State { return m.state }

// Role is a responsibility that one member at a time has.
type Role struct {
	name   string
	region ident.Region
}

// SlotRole returns the role of the slot owner of a region. Members in the
// region are preferred.
func SlotRole(r ident.Region) Role { return Role{name: "slots/" + string(r), region: r} }

// RateRole returns the role of the rate owner of a shard of teams.
func RateRole(shard int) Role { return Role{name: fmt.Sprintf("rates/%d", shard)} }

// Roles returns one slot role per region and the given number of rate roles.
func Roles(regions []ident.Region, shards int) []Role {
	list := make([]Role, 0, len(regions)+shards)
	for _, r := range regions {
		list = append(list, SlotRole(r))
	}
	for n := range shards {
		list = append(list, RateRole(n))
	}
	return list
}

// Name returns the name of the role, such as "slots/alps" or "rates/0".
func (r Role) Name() string { return r.name }

// Region returns the region whose members are preferred, or "".
func (r Role) Region() ident.Region { return r.region }

// Assignment assigns a role to a process of a host.
type Assignment struct {
	role        Role
	host        ident.Host
	incarnation ident.Incarnation
}

// NewAssignment returns an assignment.
func NewAssignment(r Role, h ident.Host, i ident.Incarnation) Assignment {
	return Assignment{role: r, host: h, incarnation: i}
}

// Role returns the role.
func (a Assignment) Role() Role { return a.role }

// Host returns the host that has the role.
func (a Assignment) Host() ident.Host { return a.host }

// Incarnation returns the incarnation number of the process that has the role.
func (a Assignment) Incarnation() ident.Incarnation { return a.incarnation }
