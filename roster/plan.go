package roster

import (
	"cmp"
	"slices"

	"rhubarbrack/ident"
)

// Plan returns the assignments to make now, those of roles with a preferred
// region first. Roles without a holder are assigned; a role with a holder moves
// only if ended reports that the holder has left, has released the role or has
// expired. Without a live member nothing is assigned.
func Plan(members []Member, current []Assignment, roles []Role, ended func(Assignment) bool) []Assignment {
	assigner := newAssigner(members)
	held := map[string]Assignment{}
	for _, a := range current {
		held[a.role.name] = a
	}
	var vacant []Role
	for _, r := range roles {
		a, ok := held[r.name]
		if ok && !ended(a) {
			assigner.count(a.host)
			continue
		}
		vacant = append(vacant, r)
	}
	// Roles with a preferred region have fewer candidates, so they are
	// assigned first.
	slices.SortStableFunc(vacant, func(a, b Role) int { return assignmentPriority(a) - assignmentPriority(b) })
	var changes []Assignment
	for _, r := range vacant {
		m, ok := assigner.choose(r)
		if !ok {
			break
		}
		assigner.count(m.host)
		changes = append(changes, NewAssignment(r, m.host, m.incarnation))
	}
	return changes
}

// assignmentPriority returns the sort key by which vacant roles are assigned.
func assignmentPriority(r Role) int {
	if r.region != "" {
		return 0
	}
	return 1
}

// Releases returns the assignments that their holders should release: those of
// leaving members, and those of slot roles whose holder is in another region
// although the region has a live member. An assignment stays in force until its
// holder has released it.
func Releases(members []Member, current []Assignment) []Assignment {
	regions := map[ident.Region]bool{}
	hosts := map[ident.Host]Member{}
	for _, m := range members {
		hosts[m.host] = m
		if m.state == Live {
			regions[m.region] = true
		}
	}
	var list []Assignment
	for _, a := range current {
		m, ok := hosts[a.host]
		if !ok || m.incarnation != a.incarnation {
			continue
		}
		outsideRegion := a.role.region != "" && m.region != a.role.region && regions[a.role.region]
		if m.state == Leaving || outsideRegion {
			list = append(list, a)
		}
	}
	return list
}

// assigner holds the live members and the number of roles of each host and zone.
type assigner struct {
	live         []Member
	rolesPerHost map[ident.Host]int
	rolesPerZone map[ident.Zone]int
	hostZone     map[ident.Host]ident.Zone
}

func newAssigner(members []Member) *assigner {
	as := &assigner{rolesPerHost: map[ident.Host]int{}, rolesPerZone: map[ident.Zone]int{}, hostZone: map[ident.Host]ident.Zone{}}
	for _, m := range members {
		as.hostZone[m.host] = m.zone
		if m.state == Live {
			as.live = append(as.live, m)
		}
	}
	return as
}

func (as *assigner) count(h ident.Host) {
	as.rolesPerHost[h]++
	if z, ok := as.hostZone[h]; ok {
		as.rolesPerZone[z]++
	}
}

// choose returns the live member to assign a role to: a member in the preferred
// region if there is one, then the one with the fewest roles, then the one in
// the zone with the fewest roles, then the first by name, so that every leader
// makes the same choice.
func (as *assigner) choose(r Role) (Member, bool) {
	if len(as.live) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(as.live, func(a, b Member) int {
		return cmp.Or(
			regionMismatch(r, a)-regionMismatch(r, b),
			as.rolesPerHost[a.host]-as.rolesPerHost[b.host],
			as.rolesPerZone[a.zone]-as.rolesPerZone[b.zone],
			cmp.Compare(a.host, b.host),
		)
	}), true
}

// regionMismatch returns 1 if the member is outside the preferred region of the
// role, and otherwise 0.
func regionMismatch(r Role, m Member) int {
	if r.region == "" || r.region == m.region {
		return 0
	}
	return 1
}
