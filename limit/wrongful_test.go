package limit

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
)

const wrongfulSeed = 20260801

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is a holder with the arrival times of its waiting requests. The network
// delay is 1 ms within a region and 12 ms between regions.
type node struct {
	holder *Holder
	region int
	queue  []time.Time
}

// simulation runs the requests of one team on ten nodes. Unless overRate is
// set, it sends only requests that one central bucket would admit, so that every
// refusal is wrongful.
type simulation struct {
	random        *rand.Rand
	now           time.Time
	pending       events
	nodes         []*node
	owner         *Owner
	ownerNode     *node
	limit         Limit
	hotspotPeriod time.Duration
	reference     referenceBucket
	overRate      bool
	sent          int
	refused       int
	admitted      int
	waits         []time.Duration
}

func newSimulation(l Limit) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(wrongfulSeed, 1)), now: time.Unix(1000, 0), limit: l}
	for i := range 10 {
		h := NewHolder(NewHolderID(ident.Host(rune('a'+i)), 1))
		h.SetLimits(map[ident.Team]Limit{testTeam: l}, 1)
		s.nodes = append(s.nodes, &node{holder: h, region: i % 3})
		s.every(20*time.Millisecond, func() { s.serve(s.nodes[i]) })
	}
	s.reference = referenceBucket{at: s.now}
	s.startOwner(s.nodes[0], 1)
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.pending, event{at: s.now.Add(d), run: run})
}

func (s *simulation) every(d time.Duration, run func()) {
	s.after(d, func() { run(); s.every(d, run) })
}

func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.pending) > 0 && s.pending[0].at.Before(end) {
		e := heap.Pop(&s.pending).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *simulation) delay(a, b *node) time.Duration {
	if a.region == b.region {
		return time.Millisecond
	}
	return 12 * time.Millisecond
}

// startOwner starts the owner of an epoch, which requests the holdings of every
// node.
func (s *simulation) startOwner(at *node, e ident.Epoch) {
	var live []HolderID
	for _, n := range s.nodes {
		live = append(live, n.holder.ID())
		n.holder.SetEpoch(0, e, s.now)
	}
	o := NewOwner(e, DefaultLifetime, live)
	o.SetLimit(testTeam, s.limit, s.now)
	s.owner, s.ownerNode = o, at
	for _, n := range s.nodes {
		s.collectHoldings(o, n, "", o.ReportRound(), func() {})
	}
}

func (s *simulation) collectHoldings(o *Owner, n *node, recalled ident.Team, round uint64, done func()) {
	d := s.delay(s.ownerNode, n)
	s.after(d, func() {
		r, _ := n.holder.Holdings(0, 1, o.Epoch(), recalled, s.now)
		s.after(d, func() { o.ApplyHoldings(r, round, s.now); done() })
	})
}

func (s *simulation) requestTokens(n *node) {
	r, ok := n.holder.NextRequest(testTeam, s.now, len(n.queue))
	if !ok {
		return
	}
	s.after(500*time.Millisecond, func() { n.holder.AbandonRequest(r, s.now) })
	if s.owner == nil {
		return
	}
	o, d := s.owner, s.delay(s.ownerNode, n)
	respond := func(r Response) {
		s.after(d, func() { n.holder.HandleResponse(r, s.now); s.serve(n) })
	}
	s.after(d, func() {
		if o != s.owner {
			return
		}
		response := o.Grant(r, s.now)
		var others []HolderID
		if response.IsShort(r) {
			others = o.Recall(testTeam, r.Holder(), s.now)
		}
		open := len(others)
		for _, other := range s.nodes {
			for _, id := range others {
				if other.holder.ID() == id {
					s.collectHoldings(o, other, testTeam, 0, func() {
						if open--; open == 0 && response.Status() == Refused {
							respond(o.RetryGrant(r, s.now))
						}
					})
				}
			}
		}
		if open == 0 || response.Status() != Refused {
			respond(response)
		}
	})
}

func (s *simulation) serve(n *node) {
	for len(n.queue) > 0 {
		d := n.holder.TryTake(testTeam, s.now, n.queue[0])
		if d.MustWait() {
			break
		}
		s.count(d, n.queue[0])
		n.queue = n.queue[1:]
	}
	s.requestTokens(n)
}

func (s *simulation) count(d Decision, since time.Time) {
	if d.Admitted() {
		s.admitted++
	} else {
		s.refused++
	}
	s.waits = append(s.waits, s.now.Sub(since))
}

func (s *simulation) arrive(n *node) {
	s.reference.advance(s.now, s.limit)
	if s.reference.level < 1 && !s.overRate {
		return
	}
	s.reference.level--
	s.sent++
	if d := n.holder.Admit(testTeam, s.now, len(n.queue) > 0); d.MustWait() {
		n.queue = append(n.queue, s.now)
	} else {
		s.count(d, s.now)
	}
	s.requestTokens(n)
}

// generateLoad sends random arrivals at a share of the rate, with a burst every
// two seconds. With a hotspot period, most of them arrive at one node, which
// changes after each period.
func (s *simulation) generateLoad(share, burst float64) {
	hotspot := s.nodes[s.random.IntN(len(s.nodes))]
	if s.hotspotPeriod > 0 {
		s.every(s.hotspotPeriod, func() { hotspot = s.nodes[s.random.IntN(len(s.nodes))] })
	}
	s.every(2*time.Second, func() {
		for range int(burst * s.limit.burst) {
			s.arrive(hotspot)
		}
	})
	var next func()
	next = func() {
		n := hotspot
		if s.hotspotPeriod == 0 || s.random.IntN(10) < 4 {
			n = s.nodes[s.random.IntN(len(s.nodes))]
		}
		s.arrive(n)
		s.after(time.Duration(s.random.ExpFloat64()/(share*s.limit.rate)*float64(time.Second)), next)
	}
	next()
}

// Guards against refusals of requests within the rate: none are allowed
// without faults, and at most 0.1% while an owner is replaced. Also guards
// against a round trip per request under steady load.
func TestWrongfulRefusals(t *testing.T) {
	cases := []struct {
		name         string
		rate, burst  float64
		share, spike float64
		hotspot      time.Duration
		noWait       bool
		replace      bool
		tolerated    float64
	}{
		{name: "steady, spread over hosts", rate: 200, burst: 100, share: 0.5, noWait: true},
		{name: "half the rate", rate: 200, burst: 100, share: 0.5, spike: 0.2, hotspot: time.Second},
		{name: "nine tenths", rate: 200, burst: 100, share: 0.9, spike: 0.1, hotspot: time.Second},
		{name: "quiet team, small burst", rate: 2, burst: 4, share: 0.3, spike: 0.5, hotspot: time.Second},
		{name: "whole bursts on one host", rate: 50, burst: 100, share: 0.01, spike: 0.9, hotspot: time.Second},
		{name: "burst of 50 ms of the rate", rate: 1000, burst: 50, share: 0.5, spike: 0.2, hotspot: time.Second},
		{name: "burst of 100 ms, nine tenths", rate: 1000, burst: 100, share: 0.9, spike: 0.2, hotspot: time.Second},
		{name: "owner replaced at half the rate", rate: 200, burst: 100, share: 0.5, spike: 0.1, hotspot: time.Second, replace: true, tolerated: 0.001},
		{name: "owner replaced, large team", rate: 1000, burst: 500, share: 0.7, spike: 0.2, hotspot: time.Second, replace: true, tolerated: 0.001},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSimulation(mustLimit(tc.rate, tc.burst))
			s.hotspotPeriod = tc.hotspot
			s.runFor(10 * time.Second)
			s.generateLoad(tc.share, tc.spike)
			s.runFor(60 * time.Second)
			if tc.replace {
				s.owner, s.sent, s.refused, s.waits = nil, 0, 0, nil
				s.runFor(3500 * time.Millisecond)
				s.startOwner(s.nodes[1], 2)
				s.runFor(20 * time.Second)
			}
			s.runFor(20 * time.Second)
			slices.Sort(s.waits)
			t.Logf("seed %d: %d sent, %d refused, wait p50 %v, p90 %v, p99 %v", wrongfulSeed, s.sent, s.refused,
				s.waits[len(s.waits)/2], s.waits[len(s.waits)*9/10], s.waits[len(s.waits)*99/100])
			if wait := s.waits[len(s.waits)*99/100]; tc.noWait && wait > 0 {
				t.Errorf("p99 of the wait is %v, want none on hosts with steady load", wait)
			}
			if s.sent < 50 || float64(s.refused) > tc.tolerated*float64(s.sent) {
				t.Errorf("%d of %d requests refused, want at most %v", s.refused, s.sent, tc.tolerated)
			}
		})
	}
}

// Guards against a team that exceeds its rate and gets less than its rate.
func TestTeamOverRateGetsItsRate(t *testing.T) {
	s := newSimulation(mustLimit(200, 100))
	s.overRate, s.hotspotPeriod = true, time.Second
	s.runFor(10 * time.Second)
	s.generateLoad(5, 0)
	s.runFor(30 * time.Second)
	s.admitted = 0
	s.runFor(20 * time.Second)
	t.Logf("seed %d: %d of %d admitted", wrongfulSeed, s.admitted, s.sent)
	if s.admitted < 3800 || s.admitted > 4100 {
		t.Errorf("%d requests admitted in 20 s at a rate of 200/s, want 3800 to 4100", s.admitted)
	}
}
