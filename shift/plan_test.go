package shift

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/ident"
)

const (
	planSeed  = 20260803
	tolerance = 1e-6
)

var (
	planStart = time.Unix(1000, 0)
	classes   = []ident.Class{"bulk", "normal", "urgent"}
	regions   = []ident.Region{"a", "b", "c"}
)

func mustShares(t testing.TB, m map[ident.Region]float64) Shares {
	t.Helper()
	s, err := NewShares(m)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against load that stays in a region that must not serve it, moves more
// than the cap, or is refused from the wrong class.
func TestPlan(t *testing.T) {
	drain := NewDrain("", "a", planStart.Add(5*time.Minute), planStart.Add(time.Hour))
	cases := []struct {
		name    string
		slots   map[ident.Region]float64
		shares  map[ident.Region]float64
		prepare func(in *Input, k Key)
		want    string
	}{
		{name: "nothing to do", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"a": 1}},
		{name: "overloaded region overflows", slots: map[ident.Region]float64{"a": 50, "b": 100}, shares: map[ident.Region]float64{"a": 1},
			want: "spill a=0.8 b=0.2 refuse a/bulk 1.000"},
		{name: "region lost, load above the cap refused", slots: map[ident.Region]float64{"b": 100}, shares: map[ident.Region]float64{"a": 0.5, "b": 0.5},
			want: "failover a=0.3 b=0.7 refuse a/bulk 1.000 a/normal 1.000 a/urgent 1.000"},
		{name: "little free capacity elsewhere", slots: map[ident.Region]float64{"a": 50, "b": 10}, shares: map[ident.Region]float64{"a": 0.9, "b": 0.1},
			want: "spill a=0.867 b=0.133 refuse a/bulk 0.778"},
		{name: "load returns to its origin", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"b": 1},
			want: "plan a=0.2 b=0.8"},
		{name: "last step not in force", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"b": 1},
			prepare: func(in *Input, k Key) {
				in.SetPending(k, in.placement[k].shares, in.placement[k].shares)
			}},
		{name: "drain not yet due", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"a": 0.2, "b": 0.8},
			prepare: func(in *Input, _ Key) { in.AddDrain(drain) }, want: "plan a=0.4 b=0.6"},
		{name: "load leaves ahead of the drain", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"a": 0.8, "b": 0.2},
			prepare: func(in *Input, _ Key) { in.AddDrain(drain) }, want: "drain a=0.6 b=0.4"},
		{name: "link with a small budget", slots: map[ident.Region]float64{"a": 50, "b": 100}, shares: map[ident.Region]float64{"a": 1},
			prepare: func(in *Input, _ Key) { in.SetLink("a", "b", 50) }, want: "spill a=0.95 b=0.05 refuse a/bulk 1.000"},
		{name: "link over its budget", slots: map[ident.Region]float64{"a": 20, "b": 100}, shares: map[ident.Region]float64{"a": 0.2, "b": 0.8},
			prepare: func(in *Input, _ Key) { in.SetLink("a", "b", 600) }, want: "spill a=0.267 b=0.733 refuse b/bulk 0.750"},
		{name: "region not permitted", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"a": 0.9, "b": 0.1},
			prepare: func(in *Input, k Key) { in.SetPermittedRegions(k.Service(), "a") }, want: "plan a=1 refuse b/bulk 1.000 b/normal 1.000 b/urgent 1.000"},
		{name: "cold caches", slots: map[ident.Region]float64{"a": 40, "b": 40}, shares: map[ident.Region]float64{"a": 1},
			want: "spill a=0.867 b=0.133 refuse a/bulk 1.000 a/normal 0.400"},
		{name: "cap used up", slots: map[ident.Region]float64{"a": 50, "b": 100}, shares: map[ident.Region]float64{"a": 1},
			prepare: func(in *Input, k Key) {
				in.history.Restore(k, NewEntry(planStart.Add(-time.Minute), 0.2, CauseOverflow))
			}, want: "none a=1 refuse a/bulk 1.000"},
		{name: "earlier moves unknown", slots: map[ident.Region]float64{"a": 50, "b": 100}, shares: map[ident.Region]float64{"a": 1},
			prepare: func(in *Input, _ Key) { in.history.knownSince = planStart }, want: "none a=1 refuse a/bulk 1.000"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			k := NewKey("files", "a")
			in := NewInput(planStart, NewHistory(time.Time{}), classes...)
			in.SetProfile("files", NewProfile())
			for r, n := range tc.slots {
				in.SetCapacity("files", r, n)
			}
			in.SetShares(k, mustShares(t, tc.shares))
			for _, c := range classes {
				in.AddDemand(k, c, 20, 1000.0/3)
			}
			if tc.prepare != nil {
				tc.prepare(in, k)
			}
			got := ""
			for _, s := range Plan(in) {
				got += format(s)
			}
			if got != tc.want {
				t.Errorf("Plan = %q, want %q", got, tc.want)
			}
		})
	}
}

func format(s Step) string {
	cause := s.cause
	if cause == "" {
		cause = "none"
	}
	out := string(cause)
	for i, r := range s.shares.regions {
		out += fmt.Sprintf(" %s=%.3g", r, s.shares.values[i])
	}
	for i, r := range s.refusals {
		if i == 0 {
			out += " refuse"
		}
		out += fmt.Sprintf(" %s/%s %.3f", r.region, r.class, r.fraction)
	}
	return out
}

// simulation plans the shares of two services under random demand, failures and
// drains.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	history  *History
	profile  Profile
	keys     []Key
	shares   map[Key]Shares
	before   map[Key]Shares
	slots    map[serviceRegion]float64
	drains   []Drain
	recorded map[Key][]Entry
	steps    int
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 1))
	p := NewProfile(WithCap(0.05+0.3*r.Float64(), time.Minute), WithRamp(0.1+r.Float64()), WithHeadroom(0.3*r.Float64()))
	sim := &simulation{
		random: r, now: planStart, history: NewHistory(time.Time{}), profile: p, shares: map[Key]Shares{},
		before: map[Key]Shares{}, slots: map[serviceRegion]float64{}, recorded: map[Key][]Entry{},
	}
	for _, s := range []ident.Service{"files", "orders"} {
		for _, o := range regions {
			k := NewKey(s, o)
			sim.keys = append(sim.keys, k)
			sim.shares[k] = mustShares(t, map[ident.Region]float64{o: 1})
			sim.slots[serviceRegion{s, o}] = 100
		}
	}
	return sim
}

func (sim *simulation) input() *Input {
	in := NewInput(sim.now, sim.history, classes...)
	for at, n := range sim.slots {
		in.SetProfile(at.service, sim.profile)
		in.SetCapacity(at.service, at.region, n)
	}
	for _, k := range sim.keys {
		if b, ok := sim.before[k]; ok {
			in.SetPending(k, b, sim.shares[k])
		} else {
			in.SetShares(k, sim.shares[k])
		}
		for _, c := range classes {
			in.AddDemand(k, c, 40*sim.random.Float64(), 1000*sim.random.Float64())
		}
	}
	in.SetLink("a", "b", 1500*sim.random.Float64())
	in.SetLink("b", "c", 1500*sim.random.Float64())
	for _, d := range sim.drains {
		in.AddDrain(d)
	}
	return in
}

func (sim *simulation) perturb() {
	sim.now = sim.now.Add(time.Duration(sim.random.IntN(40)) * time.Second)
	for _, k := range sim.keys {
		if sim.random.IntN(2) == 0 {
			delete(sim.before, k)
		}
	}
	at := serviceRegion{sim.keys[sim.random.IntN(len(sim.keys))].service, regions[sim.random.IntN(3)]}
	switch sim.random.IntN(8) {
	case 0:
		sim.slots[at] = 0
	case 1, 2:
		sim.slots[at] = float64(20 + sim.random.IntN(150))
	case 3:
		from := sim.now.Add(time.Duration(sim.random.IntN(600)) * time.Second)
		sim.drains = append(sim.drains[:0], NewDrain(at.service, at.region, from, from.Add(5*time.Minute)))
	case 4:
		k := sim.keys[sim.random.IntN(len(sim.keys))]
		share := 0.1 * sim.random.Float64()
		if sim.history.RecordMove(k, share, CauseOverflow, sim.profile, sim.now) == nil {
			sim.recorded[k] = append(sim.recorded[k], NewEntry(sim.now, share, CauseOverflow))
		}
	}
}

// planAndApply plans, checks the steps against the input, and applies them.
func (sim *simulation) planAndApply() string {
	in := sim.input()
	increased := map[serviceRegion]bool{}
	after := map[Key]Shares{}
	steps := Plan(in)
	for _, s := range steps {
		old := sim.shares[s.key]
		if s.moved == 0 {
			continue
		}
		if _, pending := sim.before[s.key]; pending {
			return "a step before the last one is in force"
		}
		sim.steps++
		after[s.key] = s.shares
		sim.recorded[s.key] = append(sim.recorded[s.key], NewEntry(sim.now, old.DistanceTo(s.shares), s.cause))
		for _, r := range regions {
			increased[serviceRegion{s.key.service, r}] = increased[serviceRegion{s.key.service, r}] || s.shares.Of(r) > old.Of(r)+tolerance
		}
		if err := sim.history.RecordStep(s, sim.profile, sim.now); err != nil {
			return err.Error()
		}
	}
	if fault := sim.checkLoad(in, after, increased); fault != "" {
		return fault
	}
	if fault := sim.checkRefusals(in, steps); fault != "" {
		return fault
	}
	for k, s := range after {
		sim.before[k], sim.shares[k] = sim.shares[k], s
	}
	return sim.checkCap()
}

type refusalKey struct {
	key    Key
	region ident.Region
	class  ident.Class
}

// loadOf returns the load of a region under the greatest shares that a host may
// use, without the refused part of each class.
func (sim *simulation) loadOf(in *Input, at serviceRegion, after map[Key]Shares, refused map[refusalKey]float64) float64 {
	load := 0.0
	for _, k := range sim.keys {
		if k.service != at.service {
			continue
		}
		share := max(sim.shares[k].Of(at.region), sim.before[k].Of(at.region), after[k].Of(at.region))
		for c, slots := range in.demand[k].slots {
			load += share * slots * (1 - refused[refusalKey{k, at.region, classes[c]}])
		}
	}
	return load
}

func (sim *simulation) checkLoad(in *Input, after map[Key]Shares, increased map[serviceRegion]bool) string {
	for at := range increased {
		usable := sim.slots[at] * (1 - sim.profile.headroom)
		if load := sim.loadOf(in, at, after, nil); increased[at] && load > usable+tolerance {
			return fmt.Sprintf("a step raised the load of %v to %v of %v", at, load, usable)
		}
	}
	for l, budget := range in.links {
		bytes, raised := 0.0, false
		for _, k := range sim.keys {
			if k.origin == l.from {
				raised = raised || after[k].Of(l.to) > sim.shares[k].Of(l.to)+tolerance
				bytes += in.demand[k].bytes * max(sim.shares[k].Of(l.to), sim.before[k].Of(l.to), after[k].Of(l.to))
			}
		}
		if raised && bytes > budget+1e-3 {
			return fmt.Sprintf("a step raised the link %v to %v of %v", l, bytes, budget)
		}
	}
	return ""
}

// checkRefusals checks that regions and links can carry the load that is not
// refused.
func (sim *simulation) checkRefusals(in *Input, steps []Step) string {
	refused := map[refusalKey]float64{}
	for _, s := range steps {
		for _, r := range s.refusals {
			refused[refusalKey{s.key, r.region, r.class}] = r.fraction
		}
	}
	for at, slots := range sim.slots {
		if load := sim.loadOf(in, at, nil, refused); load > slots*(1-sim.profile.headroom)+tolerance {
			return fmt.Sprintf("%v serves %v after refusals", at, load)
		}
	}
	for l, budget := range in.links {
		bytes := 0.0
		for _, k := range sim.keys {
			d := in.demand[k]
			for c, slots := range d.slots {
				if k.origin == l.from {
					share := max(sim.shares[k].Of(l.to), sim.before[k].Of(l.to))
					bytes += d.bytes * share * slots / d.total() * (1 - refused[refusalKey{k, l.to, classes[c]}])
				}
			}
		}
		if bytes > budget+1e-3 {
			return fmt.Sprintf("link %v carries %v of %v after refusals", l, bytes, budget)
		}
	}
	return ""
}

// checkCap checks the sum of the moves in the closed window that ends now.
func (sim *simulation) checkCap() string {
	for k, list := range sim.recorded {
		sum := 0.0
		for _, e := range list {
			if sim.now.Sub(e.at) <= sim.profile.window {
				sum += e.amount
			}
		}
		if sum > sim.profile.moveCap+tolerance {
			return fmt.Sprintf("%v moved %v within a window, cap %v", k, sum, sim.profile.moveCap)
		}
	}
	return ""
}

// Guards against shifts above the cap in any window, steps that overload a
// region or a link, and load beyond the capacity that is not refused.
func TestPlanHoldsInvariants(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(planSeed)
	p.MinSuccessfulTests = 300
	properties := gopter.NewProperties(p)
	steps := 0
	properties.Property("cap, capacity and refusals hold", prop.ForAll(func(seed uint64, rounds int) string {
		sim := newSimulation(t, seed)
		defer func() { steps += sim.steps }()
		for range rounds {
			sim.perturb()
			if fault := sim.planAndApply(); fault != "" {
				return fault
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(10, 150)))
	properties.TestingRun(t)
	t.Logf("seed %d: %d steps", planSeed, steps)
	if steps < 1000 {
		t.Errorf("only %d steps, too few to mean anything", steps)
	}
}

// Guards against load that is still in a region when its drain starts, and
// against refusals because of a drain before its start.
func TestDrainIsAheadOfTime(t *testing.T) {
	cases := []struct {
		name    string
		moveCap float64
		share   float64
		lag     time.Duration
	}{
		{name: "one window", moveCap: 0.3, share: 0.25},
		{name: "several windows", moveCap: 0.1, share: 0.8},
		{name: "steps come into force late", moveCap: 0.2, share: 1, lag: 10 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			k := NewKey("files", "a")
			p := NewProfile(WithCap(tc.moveCap, time.Minute))
			h := NewHistory(time.Time{})
			start := planStart.Add(20 * time.Minute)
			shares := mustShares(t, map[ident.Region]float64{"a": tc.share, "b": 1 - tc.share})
			before, inForce := shares, planStart
			for now := planStart; now.Before(start); now = now.Add(5 * time.Second) {
				in := NewInput(now, h, classes...)
				in.SetProfile("files", p)
				in.SetCapacity("files", "a", 60)
				in.SetCapacity("files", "b", 200)
				in.AddDemand(k, "normal", 40, 0)
				in.AddDrain(NewDrain("files", "a", start, start.Add(time.Hour)))
				in.SetShares(k, shares)
				if now.Before(inForce) {
					in.SetPending(k, before, shares)
				}
				for _, s := range Plan(in) {
					if len(s.Refusals()) > 0 {
						t.Fatalf("%v before the start: refuses %v", start.Sub(now), s.Refusals())
					}
					if err := h.RecordStep(s, p, now); err != nil {
						t.Fatal(err)
					}
					before, shares, inForce = shares, s.Shares(), now.Add(tc.lag)
				}
			}
			if share := shares.Of("a"); share > 0 {
				t.Errorf("share %v remains at the start of the drain", share)
			}
		})
	}
}
