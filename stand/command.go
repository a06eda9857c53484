package stand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/subcommands"

	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/tasks"
)

// maxSpecBytes bounds a specification file.
const maxSpecBytes = 1 << 20

// specRecord is the YAML form of the specification of a fleet.
type specRecord struct {
	Control  string         `yaml:"control"`
	Platform platformRecord `yaml:"platform"`
	Targets  []targetRecord `yaml:"targets"`
}

type platformRecord struct {
	Address string        `yaml:"address"`
	Lag     time.Duration `yaml:"lag"`
}

// targetRecord describes Count targets that differ only in their IDs and seeds.
// If there is more than one, a number is appended to the ID.
type targetRecord struct {
	ID           string        `yaml:"id"`
	Count        int           `yaml:"count"`
	Service      string        `yaml:"service"`
	Zone         string        `yaml:"zone"`
	Region       string        `yaml:"region"`
	Slots        int           `yaml:"slots"`
	Queue        int           `yaml:"queue"`
	Seed         uint64        `yaml:"seed"`
	ServiceTime  time.Duration `yaml:"service-time"`
	Spread       float64       `yaml:"spread"`
	ColdRequests int           `yaml:"cold-requests"`
	ColdFactor   float64       `yaml:"cold-factor"`
	RestartAfter time.Duration `yaml:"restart-after"`
	ReportLag    time.Duration `yaml:"report-lag"`
}

// Fleet is a set of target stand-ins with the platform stand-in that lists them.
type Fleet struct {
	platform *Platform
	targets  []*Target
	control  *httpServer
}

// StartFleet starts the stand-ins that a YAML specification describes. Absent
// fields keep the defaults of StartTarget. An example:
//
//	control: 127.0.0.1:9000
//	platform: {address: "127.0.0.1:9001", lag: 2s}
//	targets:
//	  - id: catalogue-a
//	    count: 3
//	    service: catalogue
//	    zone: zone-1
//	    region: region-1
//	    slots: 4
//	    queue: 0
//	    seed: 1
//	    service-time: 10ms
//	    spread: 0.5
//	    cold-requests: 50
//	    cold-factor: 4
//	    restart-after: 1s
//	    report-lag: 500ms
func StartFleet(ctx context.Context, system *tasks.System, spec io.Reader) (*Fleet, error) {
	var record specRecord
	if err := yaml.NewDecoder(io.LimitReader(spec, maxSpecBytes), yaml.Strict()).Decode(&record); err != nil {
		return nil, fmt.Errorf("read specification: %w", err)
	}
	f := &Fleet{}
	for _, r := range record.Targets {
		if err := f.startTargets(ctx, system, r); err != nil {
			f.Close()
			return nil, fmt.Errorf("start fleet: %w", err)
		}
	}
	if err := f.startPlatform(ctx, system, record.Platform); err != nil {
		f.Close()
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	control, err := startHTTPServer(valueOr(record.Control, "127.0.0.1:0"), f.ControlHandler())
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("start fleet: control: %w", err)
	}
	f.control = control
	return f, nil
}

func (f *Fleet) startTargets(ctx context.Context, system *tasks.System, r targetRecord) error {
	for i := range max(r.Count, 1) {
		id := r.ID
		if r.Count > 1 {
			id = fmt.Sprintf("%s-%d", r.ID, i+1)
		}
		if slices.ContainsFunc(f.targets, func(t *Target) bool { return t.ID() == ident.Target(id) }) {
			return fmt.Errorf("target %s: the id is used twice", id)
		}
		t, err := StartTarget(ctx, system, r.options(id, uint64(i))...)
		if err != nil {
			return fmt.Errorf("target %s: %w", id, err)
		}
		t.SetReportLag(r.ReportLag)
		f.targets = append(f.targets, t)
	}
	return nil
}

// options returns the options of one target. The seeds of the targets of one
// record are consecutive. Absent fields keep their defaults.
func (r targetRecord) options(id string, index uint64) []Option {
	return []Option{WithID(ident.Target(id)), func(s *settings) {
		s.service, s.zone = valueOr(ident.Service(r.Service), s.service), valueOr(ident.Zone(r.Zone), s.zone)
		s.region, s.slots = valueOr(ident.Region(r.Region), s.region), valueOr(r.Slots, s.slots)
		s.seed, s.maxQueued = valueOr(r.Seed, s.seed)+index, r.Queue
		s.serviceTime, s.spread = valueOr(r.ServiceTime, s.serviceTime), valueOr(r.Spread, s.spread)
		s.coldRequests, s.coldFactor = r.ColdRequests, valueOr(r.ColdFactor, s.coldFactor)
		s.restartAfter = r.RestartAfter
	}}
}

// valueOr returns the value, or the fallback if the value is zero.
func valueOr[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (f *Fleet) startPlatform(ctx context.Context, system *tasks.System, r platformRecord) error {
	var entries []lister.Target
	for _, t := range f.targets {
		entry, err := t.ListEntry(lister.Live)
		if err != nil {
			return fmt.Errorf("list targets: %w", err)
		}
		entries = append(entries, entry)
	}
	p, err := StartPlatform(ctx, system, WithTargets(entries...), WithLag(r.Lag), func(s *settings) {
		s.address = valueOr(r.Address, s.address)
	})
	if err != nil {
		return fmt.Errorf("list targets: %w", err)
	}
	f.platform = p
	return nil
}

// Platform returns the platform that lists the targets.
func (f *Fleet) Platform() *Platform { return f.platform }

// Targets returns the targets in the order of the specification.
func (f *Fleet) Targets() []*Target { return f.targets }

// ControlAddress returns the address at which the ControlHandler is served.
func (f *Fleet) ControlAddress() string { return f.control.address }

// Close stops all stand-ins immediately.
func (f *Fleet) Close() {
	if f.control != nil {
		f.control.close()
	}
	if f.platform != nil {
		f.platform.Close()
	}
	for _, t := range f.targets {
		t.Close()
	}
}

// command implements the subcommand "stand".
type command struct {
	out  io.Writer
	spec string
}

var _ subcommands.Command = (*command)(nil)

// NewCommand returns the subcommand "stand", which starts the stand-ins of a
// specification file and writes their addresses to out. It stops on an
// interrupt or SIGTERM, and then writes the counts of the targets.
func NewCommand(out io.Writer) subcommands.Command { return &command{out: out} }

// Name implements subcommands.Command.
func (*command) Name() string { return "stand" }

// Synopsis implements subcommands.Command.
func (*command) Synopsis() string {
	return "run stand-ins of targets and of the platform's list for trials"
}

// Usage implements subcommands.Command.
func (*command) Usage() string { return "stand -spec FILE\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.spec, "spec", "", "file with the stand-ins in YAML")
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command) run(ctx context.Context) error {
	spec, err := os.Open(c.spec)
	if err != nil {
		return fmt.Errorf("open specification: %w", err)
	}
	defer func() { _ = spec.Close() }()
	system := tasks.NewSystem(slog.Default())
	defer system.Shutdown()
	// The stand-ins outlive ctx, so that their counts can still be read.
	fleetCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	f, err := StartFleet(fleetCtx, system, spec)
	if err != nil {
		return fmt.Errorf("specification %s: %w", c.spec, err)
	}
	defer f.Close()
	_, _ = fmt.Fprintf(c.out, "platform %s\n", f.platform.URL())
	_, _ = fmt.Fprintf(c.out, "control http://%s\n", f.ControlAddress())
	for _, t := range f.targets {
		_, _ = fmt.Fprintf(c.out, "target %s %s %s\n", t.settings.service, t.ID(), t.Address())
	}
	<-ctx.Done()
	return c.writeStats(fleetCtx, f)
}

// writeStats writes the counts of the targets and the idempotency keys that ran
// more than once.
func (c *command) writeStats(ctx context.Context, f *Fleet) error {
	var allRuns [][]Run
	for _, t := range f.targets {
		stats, err := t.Stats(ctx)
		if err != nil {
			return fmt.Errorf("sum up: %w", err)
		}
		runs, err := t.Runs(ctx)
		if err != nil {
			return fmt.Errorf("sum up: %w", err)
		}
		allRuns = append(allRuns, runs)
		_, _ = fmt.Fprintf(c.out, "target %s ran %d shed %d crashes %d keys-seen %d unrecorded %d\n",
			t.ID(), stats.Ran(), stats.Shed(), stats.Crashes(), stats.KeysSeen(), stats.Unrecorded())
	}
	for key, n := range Duplicates(allRuns...) {
		_, _ = fmt.Fprintf(c.out, "idempotency key %s ran %d times\n", key, n)
	}
	return nil
}
