package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/ident"
)

const rosterSeed = 20260802

// Guards against roles that are assigned outside their region, to leaving hosts,
// or to two hosts.
func TestPlan(t *testing.T) {
	a := NewMember("a", 1, "z1", "alps", Live)
	b := NewMember("b", 1, "z2", "coast", Live)
	c := NewMember("c", 1, "z3", "coast", Live)
	leaving := NewMember("c", 1, "z3", "coast", Leaving)
	alps, coast := SlotRole("alps"), SlotRole("coast")
	cases := []struct {
		name    string
		members []Member
		current []Assignment
		roles   []Role
		ended   ident.Host
		want    string
	}{
		{name: "first assignment", members: []Member{a, b, c}, roles: Roles([]ident.Region{"alps", "coast"}, 4),
			want: "[slots/alps=a slots/coast=b rates/0=c rates/1=a rates/2=b rates/3=c]"},
		{name: "spread over zones", members: []Member{NewMember("bb", 1, "z2", "coast", Live), b, c}, roles: Roles(nil, 2),
			want: "[rates/0=b rates/1=c]"},
		{name: "region without a host", members: []Member{a}, roles: []Role{coast}, want: "[slots/coast=a]"},
		{name: "silent holder has not ended", members: []Member{a}, current: []Assignment{NewAssignment(coast, "b", 1)},
			roles: []Role{coast}, want: "[]"},
		{name: "holder ended", members: []Member{a, c}, current: []Assignment{NewAssignment(coast, "b", 1)},
			roles: []Role{coast}, ended: "b", want: "[slots/coast=c]"},
		{name: "leaving host takes nothing", members: []Member{a, leaving}, current: []Assignment{NewAssignment(coast, "b", 1)},
			roles: []Role{coast, alps}, ended: "b", want: "[slots/coast=a slots/alps=a]"},
		{name: "no live host", members: []Member{leaving}, roles: []Role{coast}, want: "[]"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := Plan(tc.members, tc.current, tc.roles, func(a Assignment) bool { return a.host == tc.ended })
			if s := format(got); s != tc.want {
				t.Errorf("Plan = %s, want %s", s, tc.want)
			}
		})
	}
}

// Guards against roles that stay on leaving hosts or outside their region.
func TestReleases(t *testing.T) {
	members := []Member{NewMember("a", 2, "z1", "alps", Live), NewMember("b", 1, "z2", "coast", Leaving)}
	current := []Assignment{
		NewAssignment(SlotRole("alps"), "b", 1), NewAssignment(SlotRole("coast"), "a", 2),
		NewAssignment(RateRole(0), "a", 2), NewAssignment(RateRole(1), "b", 1), NewAssignment(RateRole(2), "a", 1),
	}
	want := "[slots/alps=b rates/1=b]"
	if got := format(Releases(members, current)); got != want {
		t.Errorf("Releases = %s, want %s", got, want)
	}
}

func format(list []Assignment) string {
	out := []string{}
	for _, a := range list {
		out = append(out, fmt.Sprintf("%s=%s", a.role.name, a.host))
	}
	return fmt.Sprint(out)
}

// fleet is a fleet in which random hosts join, leave and fail.
type fleet struct {
	random   *rand.Rand
	members  []Member
	current  []Assignment
	roles    []Role
	nextHost int
}

func (f *fleet) changeMembers() {
	switch k := f.random.IntN(4); {
	case k < 2 || len(f.members) == 0:
		f.nextHost++
		zone := f.random.IntN(6)
		f.members = append(f.members, NewMember(ident.Host(fmt.Sprintf("h%03d", f.nextHost)), 1,
			ident.Zone(fmt.Sprint(zone)), ident.Region(fmt.Sprint(zone/2)), Live))
	case k == 2:
		f.members[f.random.IntN(len(f.members))].state = Leaving
	default:
		i := f.random.IntN(len(f.members))
		f.members = append(f.members[:i], f.members[i+1:]...)
	}
}

// planAndCheck applies one plan and checks the assignments.
func (f *fleet) planAndCheck() string {
	ended := func(a Assignment) bool { return !f.hasMember(a.host, Live) }
	changes := Plan(f.members, f.current, f.roles, ended)
	next := map[string]Assignment{}
	for _, a := range f.current {
		next[a.role.name] = a
	}
	for _, a := range changes {
		if old, ok := next[a.role.name]; ok && !ended(old) {
			return "a live holder lost " + a.role.name
		}
		if !f.hasMember(a.host, Live) {
			return "assigned to a host that is not live"
		}
		next[a.role.name] = a
	}
	f.current = f.current[:0]
	for _, r := range f.roles {
		if a, ok := next[r.name]; ok {
			f.current = append(f.current, a)
		}
	}
	if repeated := Plan(f.members, f.current, f.roles, ended); len(repeated) > 0 && f.live() > 0 {
		return "a second plan changes roles again"
	}
	return f.checkBalance(changes)
}

// checkBalance checks that a new holder of a rate role has at most one role
// more than any live host.
func (f *fleet) checkBalance(changes []Assignment) string {
	load := map[ident.Host]int{}
	for _, a := range f.current {
		load[a.host]++
	}
	for _, a := range changes {
		for _, m := range f.members {
			if m.state == Live && a.role.region == "" && load[a.host] > load[m.host]+1 {
				return fmt.Sprintf("%s has %d roles, %s has %d", a.host, load[a.host], m.host, load[m.host])
			}
		}
	}
	return ""
}

func (f *fleet) hasMember(h ident.Host, s State) bool {
	for _, m := range f.members {
		if m.host == h && m.state == s {
			return true
		}
	}
	return false
}

func (f *fleet) live() (n int) {
	for _, m := range f.members {
		if m.state == Live {
			n++
		}
	}
	return n
}

// Guards against roles that move needlessly, get lost, or accumulate on one
// host while random hosts join and fail.
func TestPlanIsStable(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(rosterSeed)
	p.MinSuccessfulTests = 500
	properties := gopter.NewProperties(p)
	properties.Property("live holders keep their roles and the rest is balanced", prop.ForAll(func(seed uint64, steps int) string {
		f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), roles: Roles([]ident.Region{"0", "1", "2"}, 8)}
		for range steps {
			f.changeMembers()
			if fault := f.planAndCheck(); fault != "" {
				return fault
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 60)))
	properties.TestingRun(t)
	t.Logf("seed %d", rosterSeed)
}
