package target

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// ErrMalformedReport means that a health or load endpoint did not return a
// valid report.
const ErrMalformedReport = errors.ConstError("report is malformed")

const (
	// defaultProbeInterval allows for two probes within the 2 s in which a
	// leaving target must stop receiving requests.
	defaultProbeInterval = 500 * time.Millisecond
	// defaultProbeTimeout limits the two requests of one probe together.
	defaultProbeTimeout = time.Second
	// defaultProbes is the default number of concurrent probes.
	defaultProbes = 16
	// maxReportBytes limits the size of one report.
	maxReportBytes = 4 << 10
	// maxReportedValue limits the numbers in a report, including its stated
	// age in milliseconds.
	maxReportedValue = 1 << 40
)

// ReportListener receives a Report after each probe. Tell must not block;
// usually it is the mailbox of a task.
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

// ProbeOption changes a default of StartProber.
type ProbeOption func(*probeSettings)

// WithProbeClock sets the clock. The default is the system clock.
func WithProbeClock(c clock.Clock) ProbeOption { return func(s *probeSettings) { s.clock = c } }

// WithProbeLogger sets the logger. The default is slog.Default.
func WithProbeLogger(l *slog.Logger) ProbeOption { return func(s *probeSettings) { s.log = l } }

// WithProbeName sets the name of the task. The default is "probe".
func WithProbeName(name string) ProbeOption { return func(s *probeSettings) { s.name = name } }

// WithProbeInterval sets the time between rounds. The default is 500 ms.
func WithProbeInterval(d time.Duration) ProbeOption { return func(s *probeSettings) { s.interval = d } }

// WithProbeTimeout limits the duration of one probe. The default is 1 s.
func WithProbeTimeout(d time.Duration) ProbeOption { return func(s *probeSettings) { s.timeout = d } }

// WithMaxProbes limits the number of concurrent probes. The default is 16.
func WithMaxProbes(n int) ProbeOption { return func(s *probeSettings) { s.parallel = n } }

// StartProber starts a task that probes the endpoints last set by SetEndpoints
// at each interval, until ctx ends. Each probe opens a connection of its own. A
// round skips targets whose previous probe has not ended.
func StartProber(ctx context.Context, system *tasks.System, listener ReportListener, options ...ProbeOption) (*Prober, error) {
	s := probeSettings{
		clock: clock.Wall(), log: slog.Default(), name: "probe",
		interval: defaultProbeInterval, timeout: defaultProbeTimeout, parallel: defaultProbes,
	}
	for _, apply := range options {
		apply(&s)
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &proberTask{
		probeSettings: s, listener: listener, ctx: ctx, cancel: cancel, targets: make(map[ident.Target]*targetState),
	}
	ref, err := tasks.Spawn(ctx, system, s.name, t)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start prober: %w", err)
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

// SetEndpoints replaces the targets to probe. New ones are probed immediately.
func (p *Prober) SetEndpoints(endpoints []Endpoint) {
	p.ref.Tell(setEndpoints{endpoints: slices.Clone(endpoints)})
}

// Stop stops the task.
func (p *Prober) Stop() { p.ref.Stop() }

// Done returns a channel that is closed when the task, its probes and its
// timer have stopped.
func (p *Prober) Done() <-chan struct{} { return p.done }

// Err returns the panic that stopped the task, or nil. It is valid once Done
// is closed.
func (p *Prober) Err() error { return p.ref.Err() }

// roundDue starts a round of probes.
type roundDue struct{}

type setEndpoints struct{ endpoints []Endpoint }

// probeDone is the result of one probe. Only the parts that were received are
// set.
type probeDone struct {
	endpoint  Endpoint
	startedAt time.Time
	health    ident.Option[HealthRecord]
	load      ident.Option[LoadRecord]
	err       error
}

// targetState is the state of one probed target.
type targetState struct {
	report  Report
	queued  bool
	probing bool
}

// proberTask is the task behind Prober.
type proberTask struct {
	probeSettings
	listener ReportListener
	ctx      context.Context
	cancel   context.CancelFunc
	ref      *tasks.Ref
	targets  map[ident.Target]*targetState
	queue    []ident.Target
	running  int
	probes   sync.WaitGroup
}

var (
	_ tasks.Task    = (*proberTask)(nil)
	_ tasks.Stopper = (*proberTask)(nil)
)
