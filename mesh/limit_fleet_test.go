package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

const (
	limitStep = 10 * time.Millisecond
	// limitAnswerTime is how long a target takes to answer.
	limitAnswerTime = 50 * time.Millisecond
	// limitBindsAfter is how long after its first statement, or after a change, a
	// limit binds, and limitSpan the span in which requests are counted. A target
	// may get limitOverage times its limit, and limitSlack requests.
	limitBindsAfter = 3 * time.Second
	limitSpan       = 4 * time.Second
	limitOverage    = 1.5
	limitSlack      = 5
)

// limitHost is an entry host of a limitFleet: its table of targets and its
// heartbeats to the leader.
type limitHost struct {
	name  string
	table *spread.Table
	// until is when a host that is cut off from the leader is in contact again.
	until time.Time
}

// limitTarget is a target that states a rate limit.
type limitTarget struct {
	id        ident.Target
	limit     spread.RateLimit
	changedAt time.Time
	// arrivals holds the times of the requests that it got.
	arrivals []time.Time
}

type limitAnswer struct {
	at     time.Time
	host   *limitHost
	target *limitTarget
	choice spread.Choice
	stated spread.RateLimit
}

// limitFleet simulates entry hosts, a leader and targets with rate limits.
type limitFleet struct {
	random   *rand.Rand
	registry *registry
	clock    *clock.Manual
	list     []spread.Target
	hosts    []*limitHost
	targets  []*limitTarget
	answers  []limitAnswer
}

func newLimitFleet(seed uint64, hosts, targets int) *limitFleet {
	manual := clock.NewManual(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	log := slog.New(slog.DiscardHandler)
	f := &limitFleet{random: rand.New(rand.NewPCG(seed, 21)), clock: manual}
	f.registry = newRegistry(context.Background(), tasks.NewSystem(log), manual, log, "own:1", nil)
	var listed []ListedTarget
	for i := range targets {
		id := ident.Target(fmt.Sprintf("i-%d", i))
		f.targets = append(f.targets, &limitTarget{id: id})
		f.list = append(f.list, spread.NewTarget(id, "s", fmt.Sprintf("i:%d", 80+i), "z", "r", 1000, false, time.Time{}))
		listed = append(listed, NewListedTarget(id, "s", fmt.Sprintf("i:%d", 80+i), "z", 1000, false, 0))
	}
	f.registry.updateList(listed)
	for i := range hosts {
		f.hosts = append(f.hosts, &limitHost{name: fmt.Sprint("h", i)})
	}
	for _, h := range f.hosts {
		f.restart(h)
	}
	return f
}

// restart replaces the process of a host, which knows no limits.
func (f *limitFleet) restart(h *limitHost) {
	h.table = spread.NewTable("z", "r", spread.NewColdBounds(1.5, 5), spread.WithHost(ident.Host(h.name)))
	h.table.SetShare(1 / float64(len(f.hosts)))
	h.table.Update(f.list)
}

// setLimit changes the limit that a target states.
func (f *limitFleet) setLimit(target int, limit spread.RateLimit) {
	f.targets[target].limit, f.targets[target].changedAt = limit, f.clock.Now()
}

// run lets time pass with a demand in requests per second of all hosts.
func (f *limitFleet) run(d time.Duration, demand float64) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(limitStep) {
		now := f.clock.Now()
		f.registry.confirmLeadership(now)
		f.deliverAnswers(now)
		for i, h := range f.hosts {
			// The heartbeats of the hosts are spread over their interval.
			if (now.UnixMilli()/limitStep.Milliseconds()+int64(i))%int64(heartbeatInterval/limitStep) == 0 && now.After(h.until) {
				f.exchange(now, h)
			}
		}
		for n := demand * limitStep.Seconds(); n > 0; n-- {
			if f.random.Float64() < n {
				f.request(now, f.hosts[f.random.IntN(len(f.hosts))])
			}
		}
	}
}

// exchange sends a heartbeat of a host and applies the reply.
func (f *limitFleet) exchange(now time.Time, h *limitHost) {
	record := testHeartbeat(h.name, true)
	record.ListTag = f.registry.list.tag
	for _, s := range h.table.Stats(now) {
		record.Counts = append(record.Counts, newTargetStatsRecord(s))
	}
	shares, err := decodeLimits(f.registry.heartbeat(record).Limits, f.registry.list.targets)
	if err == nil {
		h.table.ApplyLimits(now, shares)
	}
}

func (f *limitFleet) request(now time.Time, h *limitHost) {
	object := fmt.Sprint(f.random.IntN(50))
	c := h.table.Choose(now, spread.NewQuery("s", object, time.Second, false, nil, nil, nil))
	if !c.IsFound() {
		return
	}
	for _, target := range f.targets {
		if target.id == c.Target().ID() {
			target.arrivals = append(target.arrivals, now)
			f.answers = append(f.answers, limitAnswer{
				at: now.Add(limitAnswerTime), host: h, target: target, choice: c, stated: target.limit,
			})
		}
	}
}

func (f *limitFleet) deliverAnswers(now time.Time) {
	for len(f.answers) > 0 && !f.answers[0].at.After(now) {
		a := f.answers[0]
		f.answers = f.answers[1:]
		a.host.table.RecordResult(now, a.choice, spread.Served, ident.None[spread.Load]())
		a.host.table.Observe(now, a.choice, spread.NewStatement(spread.WithLimit(a.stated)))
	}
}

// inSpan returns the largest number of requests that a target got in a span that
// began after its limit was binding, and the number that it may get.
func (l *limitTarget) inSpan() (got, allowed int) {
	rate, _ := l.limit.Rate()
	binds := l.changedAt.Add(limitBindsAfter)
	for i, first := range l.arrivals {
		if first.Before(binds) {
			continue
		}
		n := 0
		for _, at := range l.arrivals[i:] {
			if at.Sub(first) < limitSpan {
				n++
			}
		}
		got = max(got, n)
	}
	return got, int(limitOverage*rate*limitSpan.Seconds()) + limitSlack
}

// TestLimitOfFleet guards against targets that get more requests than 1.5 times
// the limit that they state, summed over all hosts, in each phase of a series of
// changes of the limits and disturbances of the hosts.
func TestLimitOfFleet(t *testing.T) {
	type phase struct {
		name string
		do   func(f *limitFleet)
	}
	limits := func(rates ...float64) func(f *limitFleet) {
		return func(f *limitFleet) {
			for i := range f.targets {
				f.setLimit(i, spread.NewRateLimit(rates[i%len(rates)]))
			}
		}
	}
	cases := []struct {
		name           string
		hosts, targets int
		demand         float64
		phases         []phase
	}{
		{name: "lowered and raised", hosts: 8, targets: 1, demand: 60, phases: []phase{
			{"first", limits(20)}, {"lowered", limits(4)}, {"raised", limits(12)}, {"lowered to nothing", limits(0)},
		}},
		{name: "withdrawn and stated again", hosts: 8, targets: 1, demand: 60, phases: []phase{
			{"first", limits(8)},
			{"withdrawn", func(f *limitFleet) { f.setLimit(0, spread.RateLimit{}); f.run(20*time.Second, 60) }},
			{"again", limits(8)},
		}},
		{name: "several targets", hosts: 8, targets: 6, demand: 200, phases: []phase{
			{"first", limits(3, 9.5, 20)}, {"exchanged", limits(20, 3, 9.5)},
		}},
		{name: "hosts restart", hosts: 10, targets: 2, demand: 100, phases: []phase{
			{"first", limits(10)},
			{"one after the other", func(f *limitFleet) {
				for _, h := range f.hosts {
					f.restart(h)
					f.run(500*time.Millisecond, 100)
				}
				f.setLimit(0, f.targets[0].limit)
				f.setLimit(1, f.targets[1].limit)
			}},
		}},
		{name: "hosts hear late", hosts: 10, targets: 2, demand: 100, phases: []phase{
			{"first", limits(10)},
			{"half of them cut off from the leader", func(f *limitFleet) {
				for _, h := range f.hosts[:5] {
					h.until = f.clock.Now().Add(30 * time.Second)
				}
			}},
			{"lowered meanwhile", limits(4)},
		}},
		{name: "many hosts", hosts: 71, targets: 3, demand: 150, phases: []phase{{"first", limits(2.5, 9.5)}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newLimitFleet(1, c.hosts, c.targets)
			f.run(2*time.Second, c.demand)
			for _, p := range c.phases {
				p.do(f)
				f.run(limitBindsAfter+20*time.Second, c.demand)
				for _, target := range f.targets {
					if _, isLimited := target.limit.Rate(); !isLimited {
						continue
					}
					if got, allowed := target.inSpan(); got > allowed {
						t.Errorf("%s: %s got %d requests in %v, at most %d are allowed", p.name, target.id, got, limitSpan, allowed)
					}
				}
			}
		})
	}
}

// BenchmarkLimitUse reports how many requests targets get of those that their
// limits allow, with enough demand.
func BenchmarkLimitUse(b *testing.B) {
	cases := []struct {
		hosts, targets int
		rate           float64
	}{
		{8, 1, 20},
		{8, 4, 5},
		{71, 4, 9.5},
		{295, 4, 9.5},
	}
	for _, c := range cases {
		b.Run(fmt.Sprintf("hosts-%d-targets-%d-rate-%v", c.hosts, c.targets, c.rate), func(b *testing.B) {
			got, allowed := 0.0, 0.0
			for i := range b.N {
				f := newLimitFleet(uint64(i), c.hosts, c.targets)
				for target := range f.targets {
					f.setLimit(target, spread.NewRateLimit(c.rate))
				}
				demand := 3 * c.rate * float64(c.targets)
				f.run(limitBindsAfter, demand)
				for _, target := range f.targets {
					target.arrivals = nil
				}
				const d = 20 * time.Second
				f.run(d, demand)
				for _, target := range f.targets {
					got += float64(len(target.arrivals))
					allowed += c.rate * d.Seconds()
				}
			}
			b.ReportMetric(got/allowed, "admitted/allowed")
		})
	}
}
