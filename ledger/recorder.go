package ledger

import (
	"context"
	"fmt"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/plan"
	"rhubarbrack/route"
	"rhubarbrack/tasks"
)

const (
	// defaultCapacity is the default number of retained entries.
	defaultCapacity = 8192
	// reportInterval is the interval between demand reports.
	reportInterval = time.Second
)

// DemandReporter reports the demand of this host.
type DemandReporter interface {
	// Report is called with the demand of each service and class. It must not
	// block.
	Report(demand []plan.Demand)
}

// Recorder records requests and grants retries. It is the interface of the
// ledger task and safe for concurrent use.
type Recorder struct {
	ref *tasks.Ref
}

var _ route.RetryBudgets = (*Recorder)(nil)

// Option sets an option of a Recorder.
type Option func(*recorderTask)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(t *recorderTask) { t.clock = c } }

// WithCapacity sets the number of retained entries. The default is 8,192.
func WithCapacity(n int) Option { return func(t *recorderTask) { t.ring = newEntryRing(n) } }

// WithDemandReporter sets the reporter that is called with the demand every
// second.
func WithDemandReporter(r DemandReporter) Option { return func(t *recorderTask) { t.reporter = r } }

// Start starts the ledger task and returns its Recorder.
func Start(ctx context.Context, system *tasks.System, options ...Option) (*Recorder, error) {
	t := &recorderTask{clock: clock.Wall(), budgets: make(map[ident.Service]*retryBudget), retryRatios: make(map[ident.Service]float64)}
	for _, option := range options {
		option(t)
	}
	if t.ring == nil {
		t.ring = newEntryRing(defaultCapacity)
	}
	t.demand = newDemandEstimator(t.clock.Now())
	ref, err := tasks.Spawn(ctx, system, "ledger", t)
	if err != nil {
		return nil, fmt.Errorf("start ledger: %w", err)
	}
	tasks.Every(ctx, t.clock, reportInterval, ref, reportDemand{})
	return &Recorder{ref: ref}, nil
}

// Done returns a channel that is closed when the task has ended.
func (r *Recorder) Done() <-chan struct{} { return r.ref.Done() }

// Record records a request. The request counts towards the demand and the
// retry budget of its service.
func (r *Recorder) Record(request route.Request, result route.Result, startTime time.Time, latency time.Duration) {
	r.ref.Tell(NewEntry(request, result, startTime, latency))
}

// Explain returns the entry of a request, and whether it is retained.
func (r *Recorder) Explain(ctx context.Context, id ident.RequestID) (Entry, bool, error) {
	found, err := tasks.Ask(ctx, r.ref, func(reply tasks.Reply[ident.Option[Entry]]) any {
		return explainRequest{id: id, reply: reply}
	})
	if err != nil {
		return Entry{}, false, fmt.Errorf("explain %s: %w", id, err)
	}
	entry, ok := found.Get()
	return entry, ok, nil
}

// Allow implements route.RetryBudgets. It refuses the retry if the task does
// not respond.
func (r *Recorder) Allow(ctx context.Context, service ident.Service, ratio float64) bool {
	allowed, err := tasks.Ask(ctx, r.ref, func(reply tasks.Reply[bool]) any {
		return allowRetry{service: service, ratio: ratio, reply: reply}
	})
	return err == nil && allowed
}

// The messages of the ledger task. It also receives Entry.
type (
	reportDemand   struct{}
	explainRequest struct {
		id    ident.RequestID
		reply tasks.Reply[ident.Option[Entry]]
	}
	allowRetry struct {
		service ident.Service
		ratio   float64
		reply   tasks.Reply[bool]
	}
)

// recorderTask is the task that owns the state of a Recorder.
type recorderTask struct {
	clock    clock.Clock
	reporter DemandReporter
	ring     *entryRing
	demand   *demandEstimator
	budgets  map[ident.Service]*retryBudget
	// retryRatios holds the latest retry budget ratio of each service that has
	// requested a retry.
	retryRatios map[ident.Service]float64
}

var _ tasks.Task = (*recorderTask)(nil)

// Handle implements tasks.Task.
func (t *recorderTask) Handle(message any) {
	switch m := message.(type) {
	case Entry:
		t.recordEntry(m)
	case explainRequest:
		if e, ok := t.ring.find(m.id); ok {
			m.reply.Send(ident.Some(e))
		} else {
			m.reply.Send(ident.None[Entry]())
		}
	case allowRetry:
		t.retryRatios[m.service] = m.ratio
		m.reply.Send(t.budgetFor(m.service).tryRetry())
	case reportDemand:
		demand := t.demand.update(t.clock.Now())
		if t.reporter != nil {
			t.reporter.Report(demand)
		}
	}
}

func (t *recorderTask) recordEntry(e Entry) {
	t.ring.add(e)
	service := e.result.Service()
	if service == "" {
		return
	}
	t.demand.record(e.result, e.latency)
	t.budgetFor(service).recordRequest(t.retryRatios[service])
}

func (t *recorderTask) budgetFor(s ident.Service) *retryBudget {
	b, ok := t.budgets[s]
	if !ok {
		b = newRetryBudget()
		t.budgets[s] = b
	}
	return b
}
