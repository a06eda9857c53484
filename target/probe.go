package target

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// ErrMalformedReport means that a health or load endpoint answered with something
// else than a valid report.
const ErrMalformedReport = errors.ConstError("report is malformed")

const (
	// defaultProbeInterval leaves time for two probes within the 2 s in
	// which a leaving target stops receiving work.
	defaultProbeInterval = 500 * time.Millisecond
	// defaultProbeTimeout bounds the two requests of one probe.
	defaultProbeTimeout = time.Second
	// defaultProbes bounds the probes at a time.
	defaultProbes = 16
	// reportBytes bounds one report.
	reportBytes = 4 << 10
	// maxReported bounds the numbers of a report, and its stated age in
	// milliseconds.
	maxReported = 1 << 40
)

// ReportListener receives a Report after each probe. Tell must not block; a
// task's mailbox is the usual sink.
type ReportListener interface {
	Tell(message any)
}

// Prober is the task that polls the health and load endpoints of targets.
type Prober struct {
	ref  *tasks.Ref
	done chan struct{}
}

type probeSettings struct {
	clock    clock.Clock
	log      *slog.Logger
	name     string
	interval time.Duration
	timeout  time.Duration
	parallel int
}

// ProbeOption changes a default of StartProbe.
type ProbeOption func(*probeSettings)

// WithProbeClock sets the clock. The default is the clock of the machine.
func WithProbeClock(c clock.Clock) ProbeOption { return func(s *probeSettings) { s.clock = c } }

// WithProbeLog sets the log. The default is slog.Default.
func WithProbeLog(l *slog.Logger) ProbeOption { return func(s *probeSettings) { s.log = l } }

// WithProbeName sets the name of the task. The default is "probe".
func WithProbeName(name string) ProbeOption { return func(s *probeSettings) { s.name = name } }

// WithProbeInterval sets the time between rounds. The default is 500 ms.
func WithProbeInterval(d time.Duration) ProbeOption { return func(s *probeSettings) { s.interval = d } }

// WithProbeTimeout bounds one probe. The default is 1 s.
func WithProbeTimeout(d time.Duration) ProbeOption { return func(s *probeSettings) { s.timeout = d } }

// WithMaxProbes bounds the probes at a time. The default is 16.
func WithMaxProbes(n int) ProbeOption { return func(s *probeSettings) { s.parallel = n } }

// StartProber starts a task that probes, at each interval, the endpoints set
// last by SetEndpoints, until ctx ends. A target whose probe has not ended is
// left out of a round.
func StartProber(ctx context.Context, system *tasks.System, sink ReportListener, options ...ProbeOption) (*Prober, error) {
	s := probeSettings{
		clock: clock.Wall(), log: slog.Default(), name: "probe",
		interval: defaultProbeInterval, timeout: defaultProbeTimeout, parallel: defaultProbes,
	}
	for _, apply := range options {
		apply(&s)
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &prober{
		probeSettings: s, sink: sink, ctx: ctx, cancel: cancel, entries: make(map[ident.Target]*entry),
		client: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 1, MaxIdleConns: s.parallel},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	ref, err := tasks.Spawn(ctx, system, s.name, t)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start probe: %w", err)
	}
	t.ref = ref
	ticks := tasks.Every(ctx, s.clock, s.interval, ref, roundDue{})
	p := &Prober{ref: ref, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		<-ref.Done()
		cancel()
		<-ticks
	}()
	return p, nil
}

// SetEndpoints replaces the targets to probe. New ones are probed at once.
func (p *Prober) SetEndpoints(endpoints []Endpoint) {
	p.ref.Tell(setEndpoints{endpoints: slices.Clone(endpoints)})
}

// Stop ends the task.
func (p *Prober) Stop() { p.ref.Stop() }

// Done returns a channel that is closed when the task, its probes and its
// timer have ended.
func (p *Prober) Done() <-chan struct{} { return p.done }

// Err returns the panic that ended the task, or nil. It is valid once Done is
// closed.
func (p *Prober) Err() error { return p.ref.Err() }

type roundDue struct{}

type setEndpoints struct{ endpoints []Endpoint }

// probed is the end of one probe. Only the parts that were received are set.
type probed struct {
	endpoint Endpoint
	asked    time.Time
	health   ident.Option[HealthRecord]
	load     ident.Option[LoadRecord]
	err      error
}

// entry is the state of one target.
type entry struct {
	report  Report
	waiting bool
	running bool
}

// prober is the state of the task.
type prober struct {
	probeSettings
	sink    ReportListener
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	ref     *tasks.Ref
	entries map[ident.Target]*entry
	queue   []ident.Target
	running int
	work    sync.WaitGroup
}

var (
	_ tasks.Task    = (*prober)(nil)
	_ tasks.Stopper = (*prober)(nil)
)
