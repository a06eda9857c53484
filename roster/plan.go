package roster

import (
	"cmp"
	"slices"

	"rhubarbrack/ident"
)

// Plan returns the assignments to make now, in order of the roles. Roles
// without a holder are assigned; a role with a holder moves only if ended
// reports that the holder has left, has released the role or has expired.
// Without a live member nothing is assigned.
func Plan(members []Member, current []Assignment, roles []Role, ended func(Assignment) bool) []Assignment {
	p := newPlan(members)
	held := map[string]Assignment{}
	for _, a := range current {
		held[a.role.name] = a
	}
	var vacant []Role
	for _, r := range roles {
		a, ok := held[r.name]
		if ok && !ended(a) {
			p.count(a.host)
			continue
		}
		vacant = append(vacant, r)
	}
	// Roles with a preferred region have fewer candidates, so they choose
	// first.
	slices.SortStableFunc(vacant, func(a, b Role) int { return preference(a) - preference(b) })
	var changes []Assignment
	for _, r := range vacant {
		m, ok := p.choose(r)
		if !ok {
			break
		}
		p.count(m.host)
		changes = append(changes, NewAssignment(r, m.host, m.incarnation))
	}
	return changes
}

func preference(r Role) int {
	if r.region != "" {
		return 0
	}
	return 1
}

// Releases returns the assignments that their holders should give up: those of
// leaving members, and those of a region that are held elsewhere although the
// region has a live member. An assignment stays in force until its holder has
// released it.
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
		elsewhere := a.role.region != "" && m.region != a.role.region && regions[a.role.region]
		if m.state == Leaving || elsewhere {
			list = append(list, a)
		}
	}
	return list
}

// plan counts the roles of each host and zone.
type plan struct {
	live  []Member
	hosts map[ident.Host]int
	zones map[ident.Zone]int
	zone  map[ident.Host]ident.Zone
}

func newPlan(members []Member) *plan {
	p := &plan{hosts: map[ident.Host]int{}, zones: map[ident.Zone]int{}, zone: map[ident.Host]ident.Zone{}}
	for _, m := range members {
		p.zone[m.host] = m.zone
		if m.state == Live {
			p.live = append(p.live, m)
		}
	}
	return p
}

func (p *plan) count(h ident.Host) {
	p.hosts[h]++
	if z, ok := p.zone[h]; ok {
		p.zones[z]++
	}
}

// choose returns the live member for a role: in the preferred region when that
// has one, then with the fewest roles, then in the zone with the fewest, then
// by name, so that every leader chooses alike.
func (p *plan) choose(r Role) (Member, bool) {
	if len(p.live) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(p.live, func(a, b Member) int {
		return cmp.Or(
			distance(r, a)-distance(r, b),
			p.hosts[a.host]-p.hosts[b.host],
			p.zones[a.zone]-p.zones[b.zone],
			cmp.Compare(a.host, b.host),
		)
	}), true
}

func distance(r Role, m Member) int {
	if r.region == "" || r.region == m.region {
		return 0
	}
	return 1
}
