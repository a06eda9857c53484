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

// hostChoiceStream is the number of the random stream for the choice of hosts.
// The streams of the teams are numbered from 1.
const hostChoiceStream = 1 << 32

type settings struct {
	clock clock.Clock
	log   *slog.Logger
	http  http.RoundTripper
	wrap  func(http.RoundTripper) http.RoundTripper
}

// Option changes a default of Run.
type Option func(*settings)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLogger sets the logger. The default is slog.Default.
func WithLogger(l *slog.Logger) Option { return func(s *settings) { s.log = l } }

// WithRoundTripper replaces the HTTP transport.
func WithRoundTripper(t http.RoundTripper) Option { return func(s *settings) { s.http = t } }

// WithTransportWrapper wraps the HTTP transport, so that a test can observe the
// attempts.
func WithTransportWrapper(wrap func(http.RoundTripper) http.RoundTripper) Option {
	return func(s *settings) { s.wrap = wrap }
}

// runner holds the state of one run of a plan.
type runner struct {
	settings
	plan      Plan
	start     time.Time
	resolver  *tasks.Ref
	collector *tasks.Ref
	inFlight  chan struct{}
	requests  sync.WaitGroup
}

// Run sends the requests of the plan and returns the report once the last one
// has completed. If ctx ends first, the report covers the requests until then.
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
	r := &runner{settings: s, plan: p, start: s.clock.Now(), inFlight: make(chan struct{}, p.inFlight)}
	// The tasks outlive ctx, so that the report can still be collected.
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := r.startTasks(taskCtx, system); err != nil {
		return Report{}, fmt.Errorf("run plan: %w", err)
	}
	r.log.Info("load: run started", "seed", p.seed, "teams", len(p.teams), "duration", p.duration)
	r.runStreams(ctx)
	r.requests.Wait()
	report, err := r.report(taskCtx)
	cancel()
	<-r.resolver.Done()
	<-r.collector.Done()
	if err != nil {
		return Report{}, fmt.Errorf("run plan: %w", err)
	}
	return report, nil
}

func (r *runner) startTasks(ctx context.Context, system *tasks.System) error {
	hosts := &resolver{
		ctx: ctx, clock: r.clock, http: r.http, entry: r.plan.entry, client: r.plan.client,
		random: rand.New(rand.NewPCG(r.plan.seed, hostChoiceStream)), cache: make(map[ident.Service]*cacheEntry),
	}
	var err error
	if hosts.ref, err = tasks.Spawn(ctx, system, "finder", hosts); err != nil {
		return fmt.Errorf("start host resolver: %w", err)
	}
	r.resolver = hosts.ref
	if r.collector, err = tasks.Spawn(ctx, system, "tally", newStatsCollector(r.plan)); err != nil {
		return fmt.Errorf("start statistics collector: %w", err)
	}
	return nil
}

func (r *runner) report(ctx context.Context) (Report, error) {
	report, err := tasks.Ask(ctx, r.collector, func(reply tasks.Reply[Report]) any { return reportRequest{reply: reply} })
	if err != nil {
		return Report{}, fmt.Errorf("collect report: %w", err)
	}
	counts, err := tasks.Ask(ctx, r.resolver, func(reply tasks.Reply[lookupCounts]) any { return reply })
	if err != nil {
		return Report{}, fmt.Errorf("collect report: %w", err)
	}
	report.Seed, report.Seconds = r.plan.seed, r.clock.Now().Sub(r.start).Seconds()
	report.Lookups, report.FailedLookups = counts.lookups, counts.failed
	return report, nil
}

// runStreams starts the requests of all teams, and the direct calls, until the
// duration of the plan has passed.
func (r *runner) runStreams(ctx context.Context) {
	var streams []<-chan struct{}
	for i, t := range r.plan.teams {
		stream := uint64(i) + 1
		b := newBucket(t.rate, t.burst, r.plan.tolerance, r.start)
		streams = append(streams, tasks.Go(ctx, func(ctx context.Context) {
			s := newSchedule(r.plan.seed, stream, t.offered, r.plan.doublingInterval, r.plan.maxFactor, t.routes)
			r.stream(ctx, s, t.routes, func(n int, route Route, scheduled time.Time) requestResult {
				x := exchange{runner: r, team: t, route: route, bucket: b, scheduled: scheduled, requestID: requestID(r.start.UnixNano(), stream, n)}
				return x.run(ctx)
			}, func(route Route) requestResult {
				return requestResult{team: t.name, class: route.class, outcome: skipped}
			})
		}))
	}
	if len(r.plan.directAddresses) > 0 {
		stream := uint64(len(r.plan.teams)) + 1
		streams = append(streams, tasks.Go(ctx, func(ctx context.Context) {
			// The rate of direct calls stays constant while the teams' rates grow.
			s := newSchedule(r.plan.seed, stream, r.plan.directRate, 0, 1, []Route{r.plan.directRoute})
			r.stream(ctx, s, []Route{r.plan.directRoute}, func(n int, route Route, scheduled time.Time) requestResult {
				return r.callDirect(ctx, n, route, scheduled)
			}, func(Route) requestResult { return requestResult{direct: true, outcome: skipped} })
		}))
	}
	for _, done := range streams {
		<-done
	}
}

// stream starts a request at each arrival without waiting for earlier ones. An
// arrival beyond the limit of requests in flight is skipped.
func (r *runner) stream(ctx context.Context, s *schedule, routes []Route,
	request func(n int, route Route, scheduled time.Time) requestResult, skip func(Route) requestResult) {
	for n := 1; ; n++ {
		offset, index := s.next()
		scheduled := r.start.Add(offset)
		if offset >= r.plan.duration || !r.waitUntil(ctx, scheduled) {
			return
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.collector.Tell(skip(routes[index]))
			continue
		}
		r.requests.Add(1)
		tasks.Go(ctx, func(context.Context) {
			defer r.requests.Done()
			r.collector.Tell(request(n, routes[index], scheduled))
			<-r.inFlight
		})
	}
}

// waitUntil waits until the given time and reports whether it was reached
// before ctx ended.
func (r *runner) waitUntil(ctx context.Context, deadline time.Time) bool {
	remaining := deadline.Sub(r.clock.Now())
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	return clock.Sleep(ctx, r.clock, remaining)
}

// callDirect calls one target directly, bypassing the system.
func (r *runner) callDirect(ctx context.Context, n int, route Route, scheduled time.Time) requestResult {
	ctx, cancel := context.WithTimeout(ctx, r.plan.timeout)
	defer cancel()
	result := requestResult{direct: true, lateness: r.clock.Now().Sub(scheduled)}
	address := r.plan.directAddresses[n%len(r.plan.directAddresses)]
	last := send(ctx, r.http, address, "", requestID(r.start.UnixNano(), 0, n), route)
	result.latency = r.clock.Now().Sub(scheduled)
	result.status, result.reason = last.status, last.reason
	result.outcome = outcomeOf(last)
	return result
}

// outcomeOf returns the outcome of a request from the result of its last
// attempt.
func outcomeOf(last attemptResult) outcome {
	switch {
	case errors.Is(last.err, errUnsent):
		return unsent
	case last.err != nil || last.outcomeHeader == headerValueUnknown:
		return unknown
	case last.outcomeHeader == headerValueNotRun:
		return refused
	}
	return ran
}
