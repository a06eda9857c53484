package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/shift"
	"rhubarbrack/state"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// cluster is a configuration to which the planner's changes are applied.
type cluster struct {
	t        *testing.T
	config   *state.Config
	revision ident.Revision
	now      time.Time
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, config: state.NewConfig(), now: start}
	fleet := must(prof.NewFleet(prof.WithRegion("north", "north-a"), prof.WithRegion("south", "south-a"),
		prof.WithRegion("west", "west-a")))
	profile := must(prof.NewProfile("p", prof.WithShift(0.2, time.Minute), prof.WithRegions("north", "south", "west"),
		prof.WithHeadroom(0.2), prof.WithClass(prof.NewClass("normal"))))
	service := must(prof.NewService("s", "p", prof.WithHosts("s.test"),
		prof.WithRoute(prof.NewRoute("/", []string{"GET"}, prof.RouteIdempotent(true)))))
	for i, d := range []prof.Document{fleet, profile, service} {
		c.apply(state.NewPutDocument(ident.RequestID(fmt.Sprint(i)), 0, d, ""))
	}
	return c
}

func (c *cluster) apply(command state.Command) {
	c.t.Helper()
	c.revision++
	config, err := state.Replay(c.config, c.revision, state.Stamp(command, c.now))
	if err != nil {
		c.t.Fatal(err)
	}
	c.config = config
}

func (c *cluster) join(host ident.Host, region ident.Region) {
	c.apply(state.NewJoin(state.NewMember(host, 1, ident.Zone(region)+"-a", region, "127.0.0.1:1", "127.0.0.1:2")))
}

func targets(live map[ident.Region]bool) []Target {
	var out []Target
	for _, r := range []ident.Region{"north", "south", "west"} {
		for i := range 10 {
			id := ident.Target(fmt.Sprintf("%s-%d", r, i))
			out = append(out, NewTarget(id, "s", ident.Zone(r)+"-a", r, 4, live[r]))
		}
	}
	return out
}

func all(live bool) map[ident.Region]bool {
	return map[ident.Region]bool{"north": live, "south": live, "west": live}
}

func (c *cluster) shares(origin ident.Region) shift.Shares {
	planned, ok := c.config.Shares("s", origin)
	if !ok {
		c.t.Fatalf("no shares from %s", origin)
	}
	return must(shift.NewShares(shareMap(planned)))
}

// Guards against a role that is assigned to two hosts, or to none although a
// host is live.
func TestRoles(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(c *cluster) []state.Member
		want    int
		expires int
	}{
		{name: "no hosts", prepare: func(*cluster) []state.Member { return nil }},
		{
			name: "first hosts", want: 3 + RateShards,
			prepare: func(c *cluster) []state.Member { c.join("a", "north"); c.join("b", "south"); return nil },
		},
		{
			name: "held roles stay", want: 2 + RateShards,
			prepare: func(c *cluster) []state.Member {
				c.join("a", "north")
				c.apply(state.NewAssignRole("slots/north", "a", 1))
				return nil
			},
		},
		{
			name: "roles of an expired host wait for its end", want: 2 + RateShards, expires: 1,
			prepare: func(c *cluster) []state.Member {
				c.join("a", "north")
				c.join("b", "north")
				c.apply(state.NewAssignRole("slots/north", "a", 1))
				m, _ := c.config.Member("a")
				return []state.Member{m}
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t)
			expired := tc.prepare(c)
			roles, expires := 0, 0
			seen := make(map[state.RoleName]bool)
			for _, change := range New().Plan(c.now, NewInput(c.config, c.revision, WithExpired(expired))) {
				switch command := change.Command().(type) {
				case state.AssignRole:
					roles++
					if seen[command.Role()] || command.Host() == "" {
						t.Errorf("role %s assigned to %q, seen before: %v", command.Role(), command.Host(), seen[command.Role()])
					}
					seen[command.Role()] = true
				case state.Expire:
					expires++
				}
			}
			if roles != tc.want || expires != tc.expires {
				t.Errorf("%d roles assigned and %d members ended, want %d and %d", roles, expires, tc.want, tc.expires)
			}
		})
	}
}

// Guards against rate roles that stay on one host, and against roles that move
// back and forth.
func TestSurplus(t *testing.T) {
	cases := []struct {
		name  string
		hosts []ident.Host
		held  map[state.RoleName]ident.Host
		from  ident.Host
		want  state.RoleName
	}{
		{
			name: "first host has all", hosts: []ident.Host{"a", "b"}, from: "a", want: "rates/1",
			held: map[state.RoleName]ident.Host{"rates/0": "a", "rates/1": "a"},
		},
		{
			name: "difference of one stays", hosts: []ident.Host{"a", "b"}, from: "a",
			held: map[state.RoleName]ident.Host{"rates/0": "a", "rates/1": "a", "rates/2": "b"},
		},
		{
			name: "the host with fewer keeps its own", hosts: []ident.Host{"a", "b"}, from: "b",
			held: map[state.RoleName]ident.Host{"rates/0": "a", "rates/1": "a", "rates/2": "a", "rates/3": "b"},
		},
		{
			name: "slot roles stay in their region", hosts: []ident.Host{"a", "b"}, from: "a",
			held: map[state.RoleName]ident.Host{"slots/north": "a", "slots/west": "a"},
		},
		{
			name: "one move at a time", hosts: []ident.Host{"a", "b"}, from: "a",
			held: map[state.RoleName]ident.Host{"rates/0": "a", "rates/1": "a", "rates/2": "a", "rates/3": ""},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t)
			for _, h := range tc.hosts {
				c.join(h, "north")
			}
			for role, host := range tc.held {
				c.apply(state.NewAssignRole(role, host, 1))
			}
			got, ok := surplusRole(c.config, tc.from, 1)
			if ok != (tc.want != "") || got.Name() != tc.want {
				t.Errorf("surplus = %q, %v; want %q", got.Name(), ok, tc.want)
			}
		})
	}
}

// delayAlternate delays the effect of every other step by the longest time that
// commits and polls may take.
func delayAlternate(list []move) []move {
	out := slices.Clone(list)
	for i := range out {
		if i%2 == 0 {
			out[i].at = out[i].at.Add(effectDelay)
		}
	}
	slices.SortStableFunc(out, func(a, b move) int { return a.at.Compare(b.at) })
	return out
}

// run plans every 200 ms for the given duration and returns the moves. Commands
// are in force one plan later.
func (c *cluster) run(p *Planner, d time.Duration, live map[ident.Region]bool, load float64) []move {
	var out []move
	inForce := c.revision
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(200 * time.Millisecond) {
		demand := []Demand{NewDemand("s", "north", "normal", load), NewDemand("s", "south", "normal", load)}
		input := NewInput(c.config, inForce, WithTargets(targets(live)), WithDemand(demand))
		inForce = c.revision
		for _, change := range p.Plan(c.now, input) {
			set, ok := change.Command().(state.SetShares)
			if !ok {
				continue
			}
			before, had := c.config.Shares(set.Service(), set.Origin())
			c.apply(change.Command())
			if had {
				after := c.shares(set.Origin())
				out = append(out, move{at: c.now, origin: set.Origin(), fraction: must(shift.NewShares(shareMap(before))).DistanceTo(after)})
			}
		}
	}
	return out
}

// move is a planned shift of one origin.
type move struct {
	at       time.Time
	origin   ident.Region
	fraction float64
}

// greatestMove returns the greatest fraction of the load of one origin that
// moved within any window.
func greatestMove(list []move, window time.Duration) float64 {
	greatest := 0.0
	for i, first := range list {
		sum := 0.0
		for _, m := range list[i:] {
			if m.origin == first.origin && m.at.Sub(first.at) < window {
				sum += m.fraction
			}
		}
		greatest = max(greatest, sum)
	}
	return greatest
}

// Guards against a shift above the cap during failover, during a drain, when a
// region recovers and when leaders change.
func TestShiftsKeepTheCap(t *testing.T) {
	const shiftCap, window = 0.2, time.Minute
	cases := []struct {
		name string
		run  func(c *cluster, p *Planner) []move
		// minMoved is the fraction of the load of region north that must have moved
		// to other regions.
		minMoved float64
	}{
		{
			name: "nothing to move", minMoved: 0,
			run: func(c *cluster, p *Planner) []move { return c.run(p, 3*time.Minute, all(true), 4) },
		},
		{
			name: "region lost", minMoved: 0.5,
			run: func(c *cluster, p *Planner) []move {
				return c.run(p, 5*time.Minute, map[ident.Region]bool{"south": true, "west": true}, 4)
			},
		},
		{
			name: "region lost and back", minMoved: 0,
			run: func(c *cluster, p *Planner) []move {
				out := c.run(p, 150*time.Second, map[ident.Region]bool{"south": true, "west": true}, 4)
				return append(out, c.run(p, 5*time.Minute, all(true), 4)...)
			},
		},
		{
			name: "region drained ahead", minMoved: 0.9,
			run: func(c *cluster, p *Planner) []move {
				c.apply(state.NewPlanDrain("d", 0, "d", state.RegionScope("north"), c.now.Add(10*time.Minute), time.Time{}))
				return c.run(p, 11*time.Minute, all(true), 4)
			},
		},
		{
			name: "leaders change while load moves", minMoved: 0.2,
			run: func(c *cluster, p *Planner) []move {
				live := map[ident.Region]bool{"south": true, "west": true}
				var out []move
				for range 20 {
					out = append(out, c.run(p, 20*time.Second, live, 4)...)
					p.Reset()
				}
				return out
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, p := newCluster(t), New()
			c.run(p, time.Second, all(true), 4)
			if got := c.shares("north").Of("north"); got != 1 {
				t.Fatalf("first share of the own region = %v, want 1", got)
			}
			c.now = c.now.Add(2 * window)
			list := tc.run(c, p)
			for _, effects := range [][]move{list, delayAlternate(list)} {
				if got := greatestMove(effects, window); got > shiftCap+1e-9 {
					t.Errorf("%v of the load moved within %v, the cap is %v", got, window, shiftCap)
				}
			}
			if left := 1 - c.shares("north").Of("north"); left < tc.minMoved {
				t.Errorf("%v of the load left north, want %v at least", left, tc.minMoved)
			}
		})
	}
}
