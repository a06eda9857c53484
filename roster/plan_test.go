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

// Guards against roles in the wrong region, on leaving hosts, or on two hosts.
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
			if s := show(got); s != tc.want {
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
	if got := show(Releases(members, current)); got != want {
		t.Errorf("Releases = %s, want %s", got, want)
	}
}

func show(list []Assignment) string {
	out := []string{}
	for _, a := range list {
		out = append(out, fmt.Sprintf("%s=%s", a.role.name, a.host))
	}
	return fmt.Sprint(out)
}

// community is a fleet whose hosts come, leave and fail at random.
type community struct {
	random  *rand.Rand
	members []Member
	current []Assignment
	roles   []Role
	next    int
}

func (c *community) disturb() {
	switch k := c.random.IntN(4); {
	case k < 2 || len(c.members) == 0:
		c.next++
		zone := c.random.IntN(6)
		c.members = append(c.members, NewMember(ident.Host(fmt.Sprintf("h%03d", c.next)), 1,
			ident.Zone(fmt.Sprint(zone)), ident.Region(fmt.Sprint(zone/2)), Live))
	case k == 2:
		c.members[c.random.IntN(len(c.members))].state = Leaving
	default:
		i := c.random.IntN(len(c.members))
		c.members = append(c.members[:i], c.members[i+1:]...)
	}
}

// round plans once and checks the outcome.
func (c *community) round() string {
	ended := func(a Assignment) bool { return !c.has(a.host, Live) }
	changes := Plan(c.members, c.current, c.roles, ended)
	next := map[string]Assignment{}
	for _, a := range c.current {
		next[a.role.name] = a
	}
	for _, a := range changes {
		if old, ok := next[a.role.name]; ok && !ended(old) {
			return "a live holder lost " + a.role.name
		}
		if !c.has(a.host, Live) {
			return "assigned to a host that is not live"
		}
		next[a.role.name] = a
	}
	c.current = c.current[:0]
	for _, r := range c.roles {
		if a, ok := next[r.name]; ok {
			c.current = append(c.current, a)
		}
	}
	if again := Plan(c.members, c.current, c.roles, ended); len(again) > 0 && c.live() > 0 {
		return "a second plan changes roles again"
	}
	return c.balanced(changes)
}

// balanced checks that a new holder of a rate role has at most one role more
// than any live host.
func (c *community) balanced(changes []Assignment) string {
	load := map[ident.Host]int{}
	for _, a := range c.current {
		load[a.host]++
	}
	for _, a := range changes {
		for _, m := range c.members {
			if m.state == Live && a.role.region == "" && load[a.host] > load[m.host]+1 {
				return fmt.Sprintf("%s has %d roles, %s has %d", a.host, load[a.host], m.host, load[m.host])
			}
		}
	}
	return ""
}

func (c *community) has(h ident.Host, s State) bool {
	for _, m := range c.members {
		if m.host == h && m.state == s {
			return true
		}
	}
	return false
}

func (c *community) live() (n int) {
	for _, m := range c.members {
		if m.state == Live {
			n++
		}
	}
	return n
}

// Guards against roles that move without need, get lost, or pile up on one
// host, over random arrivals and losses.
func TestPlanIsStable(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(rosterSeed)
	p.MinSuccessfulTests = 500
	properties := gopter.NewProperties(p)
	properties.Property("live holders keep their roles and the rest is balanced", prop.ForAll(func(seed uint64, steps int) string {
		c := &community{random: rand.New(rand.NewPCG(seed, 1)), roles: Roles([]ident.Region{"0", "1", "2"}, 8)}
		for range steps {
			c.disturb()
			if fault := c.round(); fault != "" {
				return fault
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 60)))
	properties.TestingRun(t)
	t.Logf("seed %d", rosterSeed)
}
