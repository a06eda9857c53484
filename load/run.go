package load

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// finderStream is the random stream of the choice of hosts. Teams have the
// streams from one on.
const finderStream = 1 << 32

type settings struct {
	clock clock.Clock
	log   *slog.Logger
	http  http.RoundTripper
	wrap  func(http.RoundTripper) http.RoundTripper
}

// Option changes a default of Run.
type Option func(*settings)

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(c clock.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLog sets the log. The default is slog.Default.
func WithLog(l *slog.Logger) Option { return func(s *settings) { s.log = l } }

// WithRoundTripper replaces the HTTP transport.
func WithRoundTripper(t http.RoundTripper) Option { return func(s *settings) { s.http = t } }

// WithTransportWrapper wraps the HTTP transport, so that a trial can observe the
// attempts.
func WithTransportWrapper(wrap func(http.RoundTripper) http.RoundTripper) Option {
	return func(s *settings) { s.wrap = wrap }
}

// runner is one run of a plan.
type runner struct {
	settings
	plan   Plan
	start  time.Time
	finder *tasks.Ref
	tally  *tasks.Ref
	slots  chan struct{}
	work   sync.WaitGroup
}

// Run sends the requests of the plan and returns the report when the last one
// has ended. When ctx ends first, the report covers the requests until then.
func Run(ctx context.Context, p Plan, options ...Option) (Report, error) {
	s := settings{clock: clock.Wall(), log: slog.Default()}
	for _, apply := range options {
		apply(&s)
	}
	if s.http == nil {
		transport := newTransport()
		defer transport.CloseIdleConnections()
		s.http = transport
	}
	if s.wrap != nil {
		s.http = s.wrap(s.http)
	}
	system := tasks.NewSystem(s.log)
	defer system.Shutdown()
	r := &runner{settings: s, plan: p, start: s.clock.Now(), slots: make(chan struct{}, p.inFlight)}
	// The tasks outlive ctx, so that they can still report.
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := r.spawn(own, system); err != nil {
		return Report{}, fmt.Errorf("run plan: %w", err)
	}
	r.log.Info("load: run started", "seed", p.seed, "teams", len(p.teams), "duration", p.duration)
	r.generate(ctx)
	r.work.Wait()
	report, err := r.report(own)
	cancel()
	<-r.finder.Done()
	<-r.tally.Done()
	if err != nil {
		return Report{}, fmt.Errorf("run plan: %w", err)
	}
	return report, nil
}

func (r *runner) spawn(ctx context.Context, system *tasks.System) error {
	f := &finder{
		ctx: ctx, clock: r.clock, http: r.http, entry: r.plan.entry, client: r.plan.client,
		random: rand.New(rand.NewPCG(r.plan.seed, finderStream)), answers: make(map[ident.Service]*answer),
	}
	var err error
	if f.ref, err = tasks.Spawn(ctx, system, "finder", f); err != nil {
		return fmt.Errorf("start finder: %w", err)
	}
	r.finder = f.ref
	if r.tally, err = tasks.Spawn(ctx, system, "tally", newTally(r.plan)); err != nil {
		return fmt.Errorf("start tally: %w", err)
	}
	return nil
}

func (r *runner) report(ctx context.Context) (Report, error) {
	report, err := tasks.Ask(ctx, r.tally, func(reply tasks.Reply[Report]) any { return askReport{reply: reply} })
	if err != nil {
		return Report{}, fmt.Errorf("collect report: %w", err)
	}
	counts, err := tasks.Ask(ctx, r.finder, func(reply tasks.Reply[lookupFigures]) any { return reply })
	if err != nil {
		return Report{}, fmt.Errorf("collect report: %w", err)
	}
	report.Seed, report.Seconds = r.plan.seed, r.clock.Now().Sub(r.start).Seconds()
	report.Lookups, report.FailedLookups = counts.lookups, counts.failed
	return report, nil
}

// generate runs all streams until the duration of the plan has passed.
func (r *runner) generate(ctx context.Context) {
	var streams []<-chan struct{}
	for i, t := range r.plan.teams {
		stream := uint64(i) + 1
		b := newBucket(t.rate, t.burst, r.plan.tolerance, r.start)
		streams = append(streams, tasks.Go(ctx, func(ctx context.Context) {
			s := newSchedule(r.plan.seed, stream, t.offered, r.plan.doubleEvery, r.plan.mostFactor, t.routes)
			r.stream(ctx, s, t.routes, func(n int, route Route, due time.Time) ended {
				c := course{runner: r, team: t, route: route, bucket: b, due: due, id: requestID(r.start.UnixNano(), stream, n)}
				return c.run(ctx)
			}, func(route Route) ended { return ended{team: t.name, class: route.class, fate: skipped} })
		}))
	}
	if len(r.plan.direct) > 0 {
		stream := uint64(len(r.plan.teams)) + 1
		streams = append(streams, tasks.Go(ctx, func(ctx context.Context) {
			// The comparison keeps its rate when the demand grows.
			s := newSchedule(r.plan.seed, stream, r.plan.directRate, 0, 1, []Route{r.plan.directRoute})
			r.stream(ctx, s, []Route{r.plan.directRoute}, func(n int, route Route, due time.Time) ended {
				return r.direct(ctx, n, route, due)
			}, func(Route) ended { return ended{direct: true, fate: skipped} })
		}))
	}
	for _, done := range streams {
		<-done
	}
}

// stream starts a request at each arrival, also while earlier ones run.
func (r *runner) stream(ctx context.Context, s *schedule, routes []Route,
	request func(n int, route Route, due time.Time) ended, skip func(Route) ended) {
	for n := 1; ; n++ {
		offset, index := s.next()
		due := r.start.Add(offset)
		if offset >= r.plan.duration || !r.await(ctx, due) {
			return
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.tally.Tell(skip(routes[index]))
			continue
		}
		r.work.Add(1)
		tasks.Go(ctx, func(context.Context) {
			defer r.work.Done()
			r.tally.Tell(request(n, routes[index], due))
			<-r.slots
		})
	}
}

// await reports whether the time has come before ctx ended.
func (r *runner) await(ctx context.Context, due time.Time) bool {
	left := due.Sub(r.clock.Now())
	if left <= 0 {
		return ctx.Err() == nil
	}
	return clock.Sleep(ctx, r.clock, left)
}

// direct calls one target without the system in between.
func (r *runner) direct(ctx context.Context, n int, route Route, due time.Time) ended {
	ctx, cancel := context.WithTimeout(ctx, r.plan.timeout)
	defer cancel()
	e := ended{direct: true, lateness: r.clock.Now().Sub(due)}
	address := r.plan.direct[n%len(r.plan.direct)]
	v := send(ctx, r.http, address, "", requestID(r.start.UnixNano(), 0, n), route)
	e.latency = r.clock.Now().Sub(due)
	e.status, e.reason = v.status, v.reason
	e.fate = fateOf(v)
	return e
}

// fateOf returns the end of a request after its last attempt.
func fateOf(v verdict) fate {
	switch {
	case errors.Is(v.err, errUnsent):
		return unsent
	case v.err != nil || v.outcome == outcomeUnknown:
		return unknown
	case v.outcome == outcomeNotRun:
		return refused
	}
	return ran
}
