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
	planSeed = 20260803
	slack    = 1e-6
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

// Guards against load that stays where it must not, moves too far, or is
// refused from the wrong class.
func TestPlan(t *testing.T) {
	half := NewDrain("", "a", planStart.Add(5*time.Minute), planStart.Add(time.Hour))
	cases := []struct {
		name    string
		slots   map[ident.Region]float64
		shares  map[ident.Region]float64
		prepare func(in *Input, k Key)
		want    string
	}{
		{name: "nothing to do", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"a": 1}},
		{name: "overloaded region spills", slots: map[ident.Region]float64{"a": 50, "b": 100}, shares: map[ident.Region]float64{"a": 1},
			want: "spill a=0.8 b=0.2 refuse a/bulk 1.000"},
		{name: "region lost, cap refuses the rest", slots: map[ident.Region]float64{"b": 100}, shares: map[ident.Region]float64{"a": 0.5, "b": 0.5},
			want: "failover a=0.3 b=0.7 refuse a/bulk 1.000 a/normal 1.000 a/urgent 1.000"},
		{name: "little room elsewhere", slots: map[ident.Region]float64{"a": 50, "b": 10}, shares: map[ident.Region]float64{"a": 0.9, "b": 0.1},
			want: "spill a=0.867 b=0.133 refuse a/bulk 0.778"},
		{name: "load returns home", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"b": 1},
			want: "plan a=0.2 b=0.8"},
		{name: "last step not in force", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"b": 1},
			prepare: func(in *Input, k Key) {
				in.SetPending(k, in.placement[k].shares, in.placement[k].shares)
			}},
		{name: "drain not yet due", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"a": 0.2, "b": 0.8},
			prepare: func(in *Input, _ Key) { in.AddDrain(half) }, want: "plan a=0.4 b=0.6"},
		{name: "load leaves ahead of the drain", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"a": 0.8, "b": 0.2},
			prepare: func(in *Input, _ Key) { in.AddDrain(half) }, want: "drain a=0.6 b=0.4"},
		{name: "link with a small budget", slots: map[ident.Region]float64{"a": 50, "b": 100}, shares: map[ident.Region]float64{"a": 1},
			prepare: func(in *Input, _ Key) { in.SetLink("a", "b", 50) }, want: "spill a=0.95 b=0.05 refuse a/bulk 1.000"},
		{name: "link over its budget", slots: map[ident.Region]float64{"a": 20, "b": 100}, shares: map[ident.Region]float64{"a": 0.2, "b": 0.8},
			prepare: func(in *Input, _ Key) { in.SetLink("a", "b", 600) }, want: "spill a=0.267 b=0.733 refuse b/bulk 0.750"},
		{name: "region not allowed", slots: map[ident.Region]float64{"a": 100, "b": 100}, shares: map[ident.Region]float64{"a": 0.9, "b": 0.1},
			prepare: func(in *Input, k Key) { in.SetPermittedRegions(k.Service(), "a") }, want: "plan a=1 refuse b/bulk 1.000 b/normal 1.000 b/urgent 1.000"},
		{name: "cold caches", slots: map[ident.Region]float64{"a": 40, "b": 40}, shares: map[ident.Region]float64{"a": 1},
			want: "spill a=0.867 b=0.133 refuse a/bulk 1.000 a/normal 0.400"},
		{name: "cap used up", slots: map[ident.Region]float64{"a": 50, "b": 100}, shares: map[ident.Region]float64{"a": 1},
			prepare: func(in *Input, k Key) {
				in.ledger.Restore(k, NewEntry(planStart.Add(-time.Minute), 0.2, CauseOverflow))
			}, want: "none a=1 refuse a/bulk 1.000"},
		{name: "past unknown", slots: map[ident.Region]float64{"a": 50, "b": 100}, shares: map[ident.Region]float64{"a": 1},
			prepare: func(in *Input, _ Key) { in.ledger.known = planStart }, want: "none a=1 refuse a/bulk 1.000"},
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
				got += show(s)
			}
			if got != tc.want {
				t.Errorf("Plan = %q, want %q", got, tc.want)
			}
		})
	}
}

func show(s Step) string {
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
		out += fmt.Sprintf(" %s/%s %.3f", r.region, r.class, r.part)
	}
	return out
}

// trial lets two services live through random demand, failures and drains.
type trial struct {
	random  *rand.Rand
	now     time.Time
	ledger  *History
	profile Profile
	keys    []Key
	shares  map[Key]Shares
	before  map[Key]Shares
	slots   map[place]float64
	drains  []Drain
	history map[Key][]Entry
	steps   int
}

func newTrial(t testing.TB, seed uint64) *trial {
	r := rand.New(rand.NewPCG(seed, 1))
	p := NewProfile(WithCap(0.05+0.3*r.Float64(), time.Minute), WithRamp(0.1+r.Float64()), WithHeadroom(0.3*r.Float64()))
	m := &trial{
		random: r, now: planStart, ledger: NewHistory(time.Time{}), profile: p, shares: map[Key]Shares{},
		before: map[Key]Shares{}, slots: map[place]float64{}, history: map[Key][]Entry{},
	}
	for _, s := range []ident.Service{"files", "orders"} {
		for _, o := range regions {
			k := NewKey(s, o)
			m.keys = append(m.keys, k)
			m.shares[k] = mustShares(t, map[ident.Region]float64{o: 1})
			m.slots[place{s, o}] = 100
		}
	}
	return m
}

func (m *trial) input() *Input {
	in := NewInput(m.now, m.ledger, classes...)
	for at, n := range m.slots {
		in.SetProfile(at.service, m.profile)
		in.SetCapacity(at.service, at.region, n)
	}
	for _, k := range m.keys {
		if b, ok := m.before[k]; ok {
			in.SetPending(k, b, m.shares[k])
		} else {
			in.SetShares(k, m.shares[k])
		}
		for _, c := range classes {
			in.AddDemand(k, c, 40*m.random.Float64(), 1000*m.random.Float64())
		}
	}
	in.SetLink("a", "b", 1500*m.random.Float64())
	in.SetLink("b", "c", 1500*m.random.Float64())
	for _, d := range m.drains {
		in.AddDrain(d)
	}
	return in
}

func (m *trial) disturb() {
	m.now = m.now.Add(time.Duration(m.random.IntN(40)) * time.Second)
	for _, k := range m.keys {
		if m.random.IntN(2) == 0 {
			delete(m.before, k)
		}
	}
	at := place{m.keys[m.random.IntN(len(m.keys))].service, regions[m.random.IntN(3)]}
	switch m.random.IntN(8) {
	case 0:
		m.slots[at] = 0
	case 1, 2:
		m.slots[at] = float64(20 + m.random.IntN(150))
	case 3:
		from := m.now.Add(time.Duration(m.random.IntN(600)) * time.Second)
		m.drains = append(m.drains[:0], NewDrain(at.service, at.region, from, from.Add(5*time.Minute)))
	case 4:
		k := m.keys[m.random.IntN(len(m.keys))]
		share := 0.1 * m.random.Float64()
		if m.ledger.RecordMove(k, share, CauseOverflow, m.profile, m.now) == nil {
			m.history[k] = append(m.history[k], NewEntry(m.now, share, CauseOverflow))
		}
	}
}

// round plans, checks every step against the input alone, and takes it.
func (m *trial) round() string {
	in := m.input()
	grown := map[place]bool{}
	after := map[Key]Shares{}
	steps := Plan(in)
	for _, s := range steps {
		old := m.shares[s.key]
		if s.moved == 0 {
			continue
		}
		if _, pending := m.before[s.key]; pending {
			return "a step before the last one is in force"
		}
		m.steps++
		after[s.key] = s.shares
		m.history[s.key] = append(m.history[s.key], NewEntry(m.now, old.DistanceTo(s.shares), s.cause))
		for _, r := range regions {
			grown[place{s.key.service, r}] = grown[place{s.key.service, r}] || s.shares.Of(r) > old.Of(r)+slack
		}
		if err := m.ledger.RecordStep(s, m.profile, m.now); err != nil {
			return err.Error()
		}
	}
	if fault := m.checkLoad(in, after, grown); fault != "" {
		return fault
	}
	if fault := m.checkRefusals(in, steps); fault != "" {
		return fault
	}
	for k, s := range after {
		m.before[k], m.shares[k] = m.shares[k], s
	}
	return m.checkCap()
}

type refusalKey struct {
	key    Key
	region ident.Region
	class  ident.Class
}

// served returns the load of a region under the greatest share that a host
// may go by, without the given part of each class.
func (m *trial) served(in *Input, at place, after map[Key]Shares, refused map[refusalKey]float64) float64 {
	load := 0.0
	for _, k := range m.keys {
		if k.service != at.service {
			continue
		}
		share := max(m.shares[k].Of(at.region), m.before[k].Of(at.region), after[k].Of(at.region))
		for c, slots := range in.demand[k].slots {
			load += share * slots * (1 - refused[refusalKey{k, at.region, classes[c]}])
		}
	}
	return load
}

func (m *trial) checkLoad(in *Input, after map[Key]Shares, grown map[place]bool) string {
	for at := range grown {
		usable := m.slots[at] * (1 - m.profile.headroom)
		if load := m.served(in, at, after, nil); grown[at] && load > usable+slack {
			return fmt.Sprintf("a step raised the load of %v to %v of %v", at, load, usable)
		}
	}
	for l, budget := range in.links {
		bytes, raised := 0.0, false
		for _, k := range m.keys {
			if k.origin == l.from {
				raised = raised || after[k].Of(l.to) > m.shares[k].Of(l.to)+slack
				bytes += in.demand[k].bytes * max(m.shares[k].Of(l.to), m.before[k].Of(l.to), after[k].Of(l.to))
			}
		}
		if raised && bytes > budget+1e-3 {
			return fmt.Sprintf("a step raised the link %v to %v of %v", l, bytes, budget)
		}
	}
	return ""
}

// checkRefusals checks that what is not refused fits.
func (m *trial) checkRefusals(in *Input, steps []Step) string {
	refused := map[refusalKey]float64{}
	for _, s := range steps {
		for _, r := range s.refusals {
			refused[refusalKey{s.key, r.region, r.class}] = r.part
		}
	}
	for at, slots := range m.slots {
		if load := m.served(in, at, nil, refused); load > slots*(1-m.profile.headroom)+slack {
			return fmt.Sprintf("%v serves %v after refusals", at, load)
		}
	}
	for l, budget := range in.links {
		bytes := 0.0
		for _, k := range m.keys {
			d := in.demand[k]
			for c, slots := range d.slots {
				if k.origin == l.from {
					share := max(m.shares[k].Of(l.to), m.before[k].Of(l.to))
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

// checkCap sums what moved in the closed window that ends with each movement.
func (m *trial) checkCap() string {
	for k, list := range m.history {
		sum := 0.0
		for _, e := range list {
			if m.now.Sub(e.at) <= m.profile.window {
				sum += e.amount
			}
		}
		if sum > m.profile.moveCap+slack {
			return fmt.Sprintf("%v moved %v within a window, cap %v", k, sum, m.profile.moveCap)
		}
	}
	return ""
}

// Guards against shifts above the cap in any window, steps that overload a
// region or a link, and load that is neither refused nor has room.
func TestPlanHoldsInvariants(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(planSeed)
	p.MinSuccessfulTests = 300
	properties := gopter.NewProperties(p)
	steps := 0
	properties.Property("cap, capacity and refusals hold", prop.ForAll(func(seed uint64, rounds int) string {
		m := newTrial(t, seed)
		defer func() { steps += m.steps }()
		for range rounds {
			m.disturb()
			if fault := m.round(); fault != "" {
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

// Guards against load that is still in a region when its drain starts, or that
// is refused for the sake of the drain before.
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
			l := NewHistory(time.Time{})
			start := planStart.Add(20 * time.Minute)
			shares := mustShares(t, map[ident.Region]float64{"a": tc.share, "b": 1 - tc.share})
			before, inForce := shares, planStart
			for now := planStart; now.Before(start); now = now.Add(5 * time.Second) {
				in := NewInput(now, l, classes...)
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
					if err := l.RecordStep(s, p, now); err != nil {
						t.Fatal(err)
					}
					before, shares, inForce = shares, s.Shares(), now.Add(tc.lag)
				}
			}
			if left := shares.Of("a"); left > 0 {
				t.Errorf("share %v left at the start of the drain", left)
			}
		})
	}
}
