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

// maxLoadSamples bounds the history from which delayed reports are taken.
const maxLoadSamples = 1 << 14

// The messages of a targetTask.
type (
	// slotRequest requests a slot for a request.
	slotRequest struct {
		run      Run
		handle   *requestHandle
		decision tasks.Reply[admission]
	}
	// cancelSlotRequest removes a request from the queue. Once the reply has
	// been sent, a decision about the request either has been sent already or
	// is never sent.
	cancelSlotRequest struct {
		handle *requestHandle
		reply  tasks.Reply[struct{}]
	}
	// slotRelease releases a slot.
	slotRelease struct {
		number int
		index  int
		status RunStatus
	}
	// crashNotice reports a crash: the queue is emptied, and the run with the
	// index, if not negative, is recorded as crashed.
	crashNotice struct{ number, index int }
	// restartNotice reports a restart, which begins a cold start.
	restartNotice struct{}
	// behaviourChange changes what the target does and reports.
	behaviourChange struct{ apply func(*behaviour) }
	// runsRequest requests the recorded runs.
	runsRequest struct{ reply tasks.Reply[[]Run] }
	// statsRequest requests the counts.
	statsRequest struct{ reply tasks.Reply[Stats] }
	// reportsRequest requests the state and load to report.
	reportsRequest struct{ reply tasks.Reply[reportContent] }
	// interruptionRequest requests the number of body bytes after which the next
	// download is interrupted. A negative number means no interruption.
	interruptionRequest struct{ reply tasks.Reply[int64] }
)

// requestHandle identifies a queued request by the address of the handle. It is
// not empty, because pointers to distinct zero-size values may be equal.
type requestHandle struct{ _ byte }

// admission is the decision on a slotRequest.
type admission struct {
	admitted    bool
	reason      string
	number      int
	index       int
	serviceTime time.Duration
}

// reportContent determines the responses of the health and load endpoints.
type reportContent struct {
	fault  int
	state  target.State
	load   target.LoadRecord
	silent bool
}

// behaviour holds what a test can change while the target runs.
type behaviour struct {
	draining      bool
	reportLag     time.Duration
	reportFault   int
	reportsSilent bool
	stateOverride target.State
	busyOverride  int
	interruptions []int64
}

// loadSample is the state and load at one time.
type loadSample struct {
	at     time.Time
	state  target.State
	busy   int
	queued int
}

// targetTask is the task that owns the slots, the queue, the recorded runs and
// the counts of a Target.
type targetTask struct {
	settings
	random           *rand.Rand
	behaviour        behaviour
	stats            Stats
	queue            []slotRequest
	runs             []Run
	servedSinceStart int
	history          []loadSample
}

var _ tasks.Task = (*targetTask)(nil)

func newTargetTask(s settings) *targetTask {
	t := &targetTask{settings: s, random: rand.New(rand.NewPCG(s.seed, s.seed))}
	t.behaviour.busyOverride = -1
	t.recordLoad(s.clock.Now())
	return t
}

// Handle implements tasks.Task.
func (t *targetTask) Handle(message any) {
	// The time is read first, because a reply may cause a test to advance its
	// clock.
	now := t.clock.Now()
	switch m := message.(type) {
	case slotRequest:
		t.handleRequest(m)
	case cancelSlotRequest:
		t.queue = slices.DeleteFunc(t.queue, func(r slotRequest) bool { return r.handle == m.handle })
		t.stats.queued = len(t.queue)
		m.reply.Send(struct{}{})
	case slotRelease:
		t.releaseSlot(m)
	case crashNotice:
		t.recordCrash(m)
	case restartNotice:
		t.servedSinceStart = 0
	case behaviourChange:
		m.apply(&t.behaviour)
	case runsRequest:
		m.reply.Send(slices.Clone(t.runs))
		return
	case statsRequest:
		m.reply.Send(t.stats)
		return
	case reportsRequest:
		m.reply.Send(t.currentReports())
		return
	case interruptionRequest:
		m.reply.Send(t.nextInterruption())
		return
	}
	t.recordLoad(now)
}

func (t *targetTask) handleRequest(r slotRequest) {
	if r.run.header.Get("Authorization") != "" {
		t.stats.keysSeen++
	}
	switch {
	case t.behaviour.draining:
		t.shed(r, "leaving")
	case t.stats.busy < t.slots:
		t.admit(r)
	case len(t.queue) < t.maxQueued:
		t.queue = append(t.queue, r)
		t.stats.queued = len(t.queue)
	default:
		t.shed(r, "overload")
	}
	t.stats.peak = max(t.stats.peak, t.stats.busy+t.stats.queued)
}

func (t *targetTask) shed(r slotRequest, reason string) {
	t.stats.shed++
	r.decision.Send(admission{reason: reason})
}

func (t *targetTask) admit(r slotRequest) {
	t.stats.busy++
	t.stats.ran++
	run := r.run
	run.number, run.started, run.status = t.stats.ran, t.clock.Now(), Running
	index := -1
	if len(t.runs) < t.maxRuns {
		index = len(t.runs)
		t.runs = append(t.runs, run)
	} else {
		t.stats.unrecorded++
	}
	r.decision.Send(admission{
		admitted: true, number: run.number, index: index, serviceTime: t.nextServiceTime(),
	})
}

// nextServiceTime draws the next service time from the seeded distribution. It
// is longer during a cold start.
func (t *targetTask) nextServiceTime() time.Duration {
	factor := math.Exp(t.spread * t.random.NormFloat64())
	if t.servedSinceStart < t.coldRequests {
		progress := float64(t.servedSinceStart) / float64(t.coldRequests)
		factor *= t.coldFactor + (1-t.coldFactor)*progress
	}
	t.servedSinceStart++
	return time.Duration(float64(t.serviceTime) * factor)
}

func (t *targetTask) releaseSlot(m slotRelease) {
	t.setStatus(m.index, m.status)
	t.stats.busy--
	if len(t.queue) > 0 && t.stats.busy < t.slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.stats.queued = len(t.queue)
		t.admit(next)
	}
}

// setStatus sets the final status of a recorded run that has none yet. A
// negative index denotes a run that is not recorded.
func (t *targetTask) setStatus(index int, status RunStatus) {
	if index >= 0 && t.runs[index].status == Running {
		t.runs[index].status, t.runs[index].ended = status, t.clock.Now()
	}
}

// recordCrash counts a crash and sheds all queued requests. The requests in the
// slots release them when their connections are closed.
func (t *targetTask) recordCrash(m crashNotice) {
	t.stats.crashes++
	t.setStatus(m.index, Crashed)
	for _, r := range t.queue {
		t.shed(r, "crash")
	}
	t.queue, t.stats.queued = nil, 0
}

// nextInterruption removes and returns the number of body bytes after which the
// next download is interrupted, or returns a negative number.
func (t *targetTask) nextInterruption() int64 {
	if len(t.behaviour.interruptions) == 0 {
		return -1
	}
	next := t.behaviour.interruptions[0]
	t.behaviour.interruptions = t.behaviour.interruptions[1:]
	return next
}

// recordLoad appends the current state and load to the history, if they have
// changed.
func (t *targetTask) recordLoad(now time.Time) {
	s := loadSample{at: now, state: target.Ready, busy: t.stats.busy, queued: t.stats.queued}
	if t.behaviour.draining {
		s.state = target.Leaving
	}
	if n := len(t.history); n > 0 {
		last := t.history[n-1]
		if last.state == s.state && last.busy == s.busy && last.queued == s.queued {
			return
		}
	}
	if len(t.history) == maxLoadSamples {
		t.history = append(t.history[:0], t.history[maxLoadSamples/2:]...)
	}
	t.history = append(t.history, s)
}

// currentReports returns the state and load as they were before the report lag,
// except for overridden values.
func (t *targetTask) currentReports() reportContent {
	cutoff := t.clock.Now().Add(-t.behaviour.reportLag)
	reported := t.history[0]
	for i := len(t.history) - 1; i >= 0; i-- {
		if !t.history[i].at.After(cutoff) {
			reported = t.history[i]
			break
		}
	}
	r := reportContent{fault: t.behaviour.reportFault, silent: t.behaviour.reportsSilent, state: reported.state}
	r.load = target.LoadRecord{Slots: t.slots, Busy: reported.busy, Queued: reported.queued}
	if t.behaviour.stateOverride != "" {
		r.state = t.behaviour.stateOverride
	}
	if t.behaviour.busyOverride >= 0 {
		r.load.Busy = t.behaviour.busyOverride
	}
	return r
}

// newRun returns the record of a request with the given size of the body.
func newRun(r *http.Request, bodyBytes int64) Run {
	return Run{method: r.Method, path: r.URL.RequestURI(), header: r.Header.Clone(), bodyBytes: bodyBytes}
}
