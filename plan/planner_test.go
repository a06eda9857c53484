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

// world applies the planner's changes to a configuration.
type world struct {
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

func newWorld(t *testing.T) *world {
	w := &world{t: t, config: state.NewConfig(), now: start}
	fleet := must(prof.NewFleet(prof.WithRegion("north", "north-a"), prof.WithRegion("south", "south-a"),
		prof.WithRegion("west", "west-a")))
	profile := must(prof.NewProfile("p", prof.WithShift(0.2, time.Minute), prof.WithRegions("north", "south", "west"),
		prof.WithHeadroom(0.2), prof.WithClass(prof.NewClass("normal"))))
	service := must(prof.NewService("s", "p", prof.WithHosts("s.test"),
		prof.WithRoute(prof.NewRoute("/", []string{"GET"}, prof.RouteIdempotent(true)))))
	for i, d := range []prof.Document{fleet, profile, service} {
		w.apply(state.NewPutDocument(ident.RequestID(fmt.Sprint(i)), 0, d, ""))
	}
	return w
}

func (w *world) apply(c state.Command) {
	w.t.Helper()
	w.revision++
	config, err := state.Replay(w.config, w.revision, state.Stamp(c, w.now))
	if err != nil {
		w.t.Fatal(err)
	}
	w.config = config
}

func (w *world) join(host ident.Host, region ident.Region) {
	w.apply(state.NewJoin(state.NewMember(host, 1, ident.Zone(region)+"-a", region, "127.0.0.1:1", "127.0.0.1:2")))
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

func (w *world) shares(origin ident.Region) shift.Shares {
	planned, ok := w.config.Shares("s", origin)
	if !ok {
		w.t.Fatalf("no shares from %s", origin)
	}
	return must(shift.NewShares(partsOf(planned)))
}

// Guards against a role that two hosts have, or that none has although a host
// lives.
func TestRoles(t *testing.T) {
	cases := []struct {
		name    string
		set     func(w *world) []state.Member
		want    int
		expires int
	}{
		{name: "no hosts", set: func(*world) []state.Member { return nil }},
		{
			name: "first hosts", want: 3 + RateShards,
			set: func(w *world) []state.Member { w.join("a", "north"); w.join("b", "south"); return nil },
		},
		{
			name: "held roles stay", want: 2 + RateShards,
			set: func(w *world) []state.Member {
				w.join("a", "north")
				w.apply(state.NewAssignRole("slots/north", "a", 1))
				return nil
			},
		},
		{
			name: "roles of an expired host wait for its end", want: 2 + RateShards, expires: 1,
			set: func(w *world) []state.Member {
				w.join("a", "north")
				w.join("b", "north")
				w.apply(state.NewAssignRole("slots/north", "a", 1))
				m, _ := w.config.Member("a")
				return []state.Member{m}
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			expired := tc.set(w)
			roles, expires := 0, 0
			seen := make(map[state.RoleName]bool)
			for _, c := range New().Plan(w.now, NewInput(w.config, w.revision, WithExpired(expired))) {
				switch command := c.Command().(type) {
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

// Guards against all rate roles on one host, and against roles that move back
// and forth.
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
			w := newWorld(t)
			for _, h := range tc.hosts {
				w.join(h, "north")
			}
			for role, host := range tc.held {
				w.apply(state.NewAssignRole(role, host, 1))
			}
			got, ok := surplus(w.config, tc.from, 1)
			if ok != (tc.want != "") || got.Name() != tc.want {
				t.Errorf("surplus = %q, %v; want %q", got.Name(), ok, tc.want)
			}
		})
	}
}

// late delays the effect of every second step by as much as commits and polls
// may take.
func late(list []moved) []moved {
	out := slices.Clone(list)
	for i := range out {
		if i%2 == 0 {
			out[i].at = out[i].at.Add(effectDelay)
		}
	}
	slices.SortStableFunc(out, func(a, b moved) int { return a.at.Compare(b.at) })
	return out
}

// run plans every 200 ms for a while. Commands are in force after a delay.
func (w *world) run(p *Planner, d time.Duration, live map[ident.Region]bool, load float64) []moved {
	var out []moved
	inForce := w.revision
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(200 * time.Millisecond) {
		demand := []Load{NewLoad("s", "north", "normal", load), NewLoad("s", "south", "normal", load)}
		situation := NewInput(w.config, inForce, WithTargets(targets(live)), WithDemand(demand))
		inForce = w.revision
		for _, c := range p.Plan(w.now, situation) {
			set, ok := c.Command().(state.SetShares)
			if !ok {
				continue
			}
			before, had := w.config.Shares(set.Service(), set.Origin())
			w.apply(c.Command())
			if had {
				after := w.shares(set.Origin())
				out = append(out, moved{at: w.now, origin: set.Origin(), part: must(shift.NewShares(partsOf(before))).DistanceTo(after)})
			}
		}
	}
	return out
}

// moved is a shift that was planned.
type moved struct {
	at     time.Time
	origin ident.Region
	part   float64
}

// worst returns the greatest share that moved within a window.
func worst(list []moved, window time.Duration) float64 {
	most := 0.0
	for i, first := range list {
		sum := 0.0
		for _, m := range list[i:] {
			if m.origin == first.origin && m.at.Sub(first.at) < window {
				sum += m.part
			}
		}
		most = max(most, sum)
	}
	return most
}

// Guards against a shift over the cap through failover, drains, the return of a
// region and a change of leaders.
func TestShiftsKeepTheCap(t *testing.T) {
	const capShare, window = 0.2, time.Minute
	cases := []struct {
		name string
		run  func(w *world, p *Planner) []moved
		// least is the share of north's load that must have left its region.
		least float64
	}{
		{
			name: "nothing to move", least: 0,
			run: func(w *world, p *Planner) []moved { return w.run(p, 3*time.Minute, all(true), 4) },
		},
		{
			name: "region lost", least: 0.5,
			run: func(w *world, p *Planner) []moved {
				return w.run(p, 5*time.Minute, map[ident.Region]bool{"south": true, "west": true}, 4)
			},
		},
		{
			name: "region lost and back", least: 0,
			run: func(w *world, p *Planner) []moved {
				out := w.run(p, 150*time.Second, map[ident.Region]bool{"south": true, "west": true}, 4)
				return append(out, w.run(p, 5*time.Minute, all(true), 4)...)
			},
		},
		{
			name: "region drained ahead", least: 0.9,
			run: func(w *world, p *Planner) []moved {
				w.apply(state.NewPlanDrain("d", 0, "d", state.RegionScope("north"), w.now.Add(10*time.Minute), time.Time{}))
				return w.run(p, 11*time.Minute, all(true), 4)
			},
		},
		{
			name: "leaders change while load moves", least: 0.2,
			run: func(w *world, p *Planner) []moved {
				live := map[ident.Region]bool{"south": true, "west": true}
				var out []moved
				for range 20 {
					out = append(out, w.run(p, 20*time.Second, live, 4)...)
					p.Reset()
				}
				return out
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w, p := newWorld(t), New()
			w.run(p, time.Second, all(true), 4)
			if got := w.shares("north").Of("north"); got != 1 {
				t.Fatalf("first share of the own region = %v, want 1", got)
			}
			w.now = w.now.Add(2 * window)
			list := tc.run(w, p)
			for _, effects := range [][]moved{list, late(list)} {
				if got := worst(effects, window); got > capShare+1e-9 {
					t.Errorf("%v of the load moved within %v, the cap is %v", got, window, capShare)
				}
			}
			if left := 1 - w.shares("north").Of("north"); left < tc.least {
				t.Errorf("%v of the load left north, want %v at least", left, tc.least)
			}
		})
	}
}
