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
	// defaultEntries is the number of requests that explain can look back.
	defaultEntries = 8192
	// reportInterval is how often the demand is reported.
	reportInterval = time.Second
)

// DemandSink learns of the demand at this host.
type DemandSink interface {
	// Report receives the load of each service and class. It must not block.
	Report(loads []plan.Load)
}

// Ledger is the task that remembers requests. It is safe for concurrent use.
type Ledger struct {
	ref *tasks.Ref
}

var _ route.RetryBudgets = (*Ledger)(nil)

// Option sets a part of a ledger.
type Option func(*ledger)

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(c clock.Clock) Option { return func(l *ledger) { l.clock = c } }

// WithEntries sets how many requests are kept. The default is 8,192.
func WithEntries(n int) Option { return func(l *ledger) { l.ring = newRing(n) } }

// WithDemandSink sets who learns of the demand, once a second.
func WithDemandSink(s DemandSink) Option { return func(l *ledger) { l.sink = s } }

// Start starts the task.
func Start(ctx context.Context, system *tasks.System, list ...Option) (*Ledger, error) {
	t := &ledger{clock: clock.Wall(), budgets: make(map[ident.Service]*budget), shares: make(map[ident.Service]float64)}
	for _, apply := range list {
		apply(t)
	}
	if t.ring == nil {
		t.ring = newRing(defaultEntries)
	}
	t.demand = newDemand(t.clock.Now())
	ref, err := tasks.Spawn(ctx, system, "ledger", t)
	if err != nil {
		return nil, fmt.Errorf("start ledger: %w", err)
	}
	tasks.Every(ctx, t.clock, reportInterval, ref, report{})
	return &Ledger{ref: ref}, nil
}

// Done returns a channel that is closed when the task has ended.
func (l *Ledger) Done() <-chan struct{} { return l.ref.Done() }

// Record keeps a request and counts it towards the demand of its service.
func (l *Ledger) Record(request route.Request, result route.Result, began time.Time, latency time.Duration) {
	l.ref.Tell(NewEntry(request, result, began, latency))
}

// Explain returns the entry of a request, and whether it is still kept.
func (l *Ledger) Explain(ctx context.Context, id ident.RequestID) (Entry, bool, error) {
	found, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[ident.Option[Entry]]) any {
		return explain{id: id, reply: r}
	})
	if err != nil {
		return Entry{}, false, fmt.Errorf("explain %s: %w", id, err)
	}
	entry, ok := found.Get()
	return entry, ok, nil
}

// Allow implements route.Budgets.
func (l *Ledger) Allow(ctx context.Context, service ident.Service, share float64) bool {
	allowed, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[bool]) any {
		return allow{service: service, share: share, reply: r}
	})
	return err == nil && allowed
}

type (
	report  struct{}
	explain struct {
		id    ident.RequestID
		reply tasks.Reply[ident.Option[Entry]]
	}
	allow struct {
		service ident.Service
		share   float64
		reply   tasks.Reply[bool]
	}
)

// ledger is the task behind Ledger.
type ledger struct {
	clock   clock.Clock
	sink    DemandSink
	ring    *ring
	demand  *demand
	budgets map[ident.Service]*budget
	// shares holds the latest share of each service that has retried.
	shares map[ident.Service]float64
}

var _ tasks.Task = (*ledger)(nil)

// Handle implements tasks.Task.
func (l *ledger) Handle(message any) {
	switch m := message.(type) {
	case Entry:
		l.record(m)
	case explain:
		if e, ok := l.ring.find(m.id); ok {
			m.reply.Send(ident.Some(e))
		} else {
			m.reply.Send(ident.None[Entry]())
		}
	case allow:
		l.shares[m.service] = m.share
		m.reply.Send(l.budget(m.service).spend())
	case report:
		out := l.demand.update(l.clock.Now())
		if l.sink != nil {
			l.sink.Report(out)
		}
	}
}

func (l *ledger) record(e Entry) {
	l.ring.add(e)
	service := e.result.Service()
	if service == "" {
		return
	}
	l.demand.count(e.result, e.latency)
	l.budget(service).earn(l.shares[service])
}

func (l *ledger) budget(s ident.Service) *budget {
	b, ok := l.budgets[s]
	if !ok {
		b = newBudget()
		l.budgets[s] = b
	}
	return b
}
