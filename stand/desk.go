package stand

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"rhubarbrack/target"
	"rhubarbrack/tasks"
)

// maxHistory bounds the past loads that lagging reports are taken from.
const maxHistory = 1 << 14

// The messages of a desk.
type (
	// arrive asks for a slot.
	arrive struct {
		run     Run
		ticket  *ticket
		settled tasks.Reply[admission]
	}
	// giveUp ends the wait of a request for its slot. After the reply, the
	// request either has been settled or never will be.
	giveUp struct {
		ticket *ticket
		reply  tasks.Reply[struct{}]
	}
	// leave gives a slot back.
	leave struct {
		number int
		index  int
		end    RunStatus
	}
	// crash empties all slots.
	crash struct{ number, index int }
	// restart begins a cold start.
	restart struct{}
	// change alters what the target does and reports.
	change struct{ apply func(*behaviour) }
	// askRuns asks for the records.
	askRuns struct{ reply tasks.Reply[[]Run] }
	// askFigures asks for the counts.
	askFigures struct{ reply tasks.Reply[Stats] }
	// askReports asks for the state and load to report.
	askReports struct{ reply tasks.Reply[reports] }
	// askCut asks whether the next download breaks off.
	askCut struct{ reply tasks.Reply[int64] }
)

// ticket identifies a request by its address while it waits. Addresses of
// values without size can be equal.
type ticket struct{ _ byte }

// admission answers arrive.
type admission struct {
	admitted    bool
	reason      string
	number      int
	index       int
	serviceTime time.Duration
}

// reports is what the endpoints answer.
type reports struct {
	fault  int
	state  target.State
	load   target.LoadRecord
	silent bool
}

// behaviour is what a trial can change while the target runs.
type behaviour struct {
	draining   bool
	lag        time.Duration
	fault      int
	silent     bool
	claimState target.State
	claimBusy  int
	cuts       []int64
}

// sample is the load at a moment.
type sample struct {
	at     time.Time
	state  target.State
	busy   int
	queued int
}

// desk is the task that owns the slots, the queue and the records of a
// Target.
type desk struct {
	settings
	random    *rand.Rand
	behaviour behaviour
	figures   Stats
	queue     []arrive
	runs      []Run
	served    int
	history   []sample
}

var _ tasks.Task = (*desk)(nil)

func newDesk(s settings) *desk {
	d := &desk{settings: s, random: rand.New(rand.NewPCG(s.seed, s.seed))}
	d.behaviour.claimBusy = -1
	d.remember(s.clock.Now())
	return d
}

// Handle implements tasks.Task.
func (d *desk) Handle(message any) {
	// The time is read before a reply lets the clock of a trial move on.
	now := d.clock.Now()
	switch m := message.(type) {
	case arrive:
		d.arrive(m)
	case giveUp:
		d.queue = slices.DeleteFunc(d.queue, func(a arrive) bool { return a.ticket == m.ticket })
		d.figures.queued = len(d.queue)
		m.reply.Send(struct{}{})
	case leave:
		d.leave(m)
	case crash:
		d.crash(m)
	case restart:
		d.served = 0
	case change:
		m.apply(&d.behaviour)
	case askRuns:
		m.reply.Send(slices.Clone(d.runs))
		return
	case askFigures:
		m.reply.Send(d.figures)
		return
	case askReports:
		m.reply.Send(d.reports())
		return
	case askCut:
		m.reply.Send(d.nextCut())
		return
	}
	d.remember(now)
}

func (d *desk) arrive(a arrive) {
	if a.run.header.Get("Authorization") != "" {
		d.figures.keysSeen++
	}
	switch {
	case d.behaviour.draining:
		d.shed(a, "leaving")
	case d.figures.busy < d.slots:
		d.admit(a)
	case len(d.queue) < d.settings.queue:
		d.queue = append(d.queue, a)
		d.figures.queued = len(d.queue)
	default:
		d.shed(a, "overload")
	}
	d.figures.peak = max(d.figures.peak, d.figures.busy+d.figures.queued)
}

func (d *desk) shed(a arrive, reason string) {
	d.figures.shed++
	a.settled.Send(admission{reason: reason})
}

func (d *desk) admit(a arrive) {
	d.figures.busy++
	d.figures.ran++
	run := a.run
	run.number, run.started, run.end = d.figures.ran, d.clock.Now(), Running
	index := -1
	if len(d.runs) < d.settings.runs {
		index = len(d.runs)
		d.runs = append(d.runs, run)
	} else {
		d.figures.unsaved++
	}
	a.settled.Send(admission{
		admitted: true, number: run.number, index: index, serviceTime: d.draw(),
	})
}

// draw returns the next service time.
func (d *desk) draw() time.Duration {
	factor := math.Exp(d.spread * d.random.NormFloat64())
	if d.served < d.coldRequests {
		warm := float64(d.served) / float64(d.coldRequests)
		factor *= d.coldFactor + (1-d.coldFactor)*warm
	}
	d.served++
	return time.Duration(float64(d.serviceTime) * factor)
}

func (d *desk) leave(l leave) {
	d.close(l.index, l.end)
	d.figures.busy--
	if len(d.queue) > 0 && d.figures.busy < d.slots {
		next := d.queue[0]
		d.queue = d.queue[1:]
		d.figures.queued = len(d.queue)
		d.admit(next)
	}
}

func (d *desk) close(index int, end RunStatus) {
	if index >= 0 && d.runs[index].end == Running {
		d.runs[index].end, d.runs[index].ended = end, d.clock.Now()
	}
}

// crash records the end of the target. The requests in the slots leave on
// their own when their connections end.
func (d *desk) crash(c crash) {
	d.figures.crashes++
	d.close(c.index, Crashed)
	for _, a := range d.queue {
		d.shed(a, "crash")
	}
	d.queue, d.figures.queued = nil, 0
}

// nextCut returns the position at which the next download breaks off, or a
// negative number.
func (d *desk) nextCut() int64 {
	if len(d.behaviour.cuts) == 0 {
		return -1
	}
	cut := d.behaviour.cuts[0]
	d.behaviour.cuts = d.behaviour.cuts[1:]
	return cut
}

// remember keeps the load of this moment for lagging reports.
func (d *desk) remember(now time.Time) {
	s := sample{at: now, state: target.Ready, busy: d.figures.busy, queued: d.figures.queued}
	if d.behaviour.draining {
		s.state = target.Leaving
	}
	if n := len(d.history); n > 0 {
		last := d.history[n-1]
		if last.state == s.state && last.busy == s.busy && last.queued == s.queued {
			return
		}
	}
	if len(d.history) == maxHistory {
		d.history = append(d.history[:0], d.history[maxHistory/2:]...)
	}
	d.history = append(d.history, s)
}

// reports returns the load of lag ago, unless the trial claims another.
func (d *desk) reports() reports {
	as := d.clock.Now().Add(-d.behaviour.lag)
	shown := d.history[0]
	for i := len(d.history) - 1; i >= 0; i-- {
		if !d.history[i].at.After(as) {
			shown = d.history[i]
			break
		}
	}
	r := reports{fault: d.behaviour.fault, silent: d.behaviour.silent, state: shown.state}
	r.load = target.LoadRecord{Slots: d.slots, Busy: shown.busy, Queued: shown.queued}
	if d.behaviour.claimState != "" {
		r.state = d.behaviour.claimState
	}
	if d.behaviour.claimBusy >= 0 {
		r.load.Busy = d.behaviour.claimBusy
	}
	return r
}

// newRun returns the record of a request that asks for a slot.
func newRun(r *http.Request, body int64) Run {
	return Run{method: r.Method, path: r.URL.RequestURI(), header: r.Header.Clone(), body: body}
}
