package cmds

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"

	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/node"
	"rhubarbrack/stand"
	"rhubarbrack/tasks"

	"log/slog"
)

// devCommand runs a whole system in one process.
type devCommand struct {
	console console
	port    int
	data    string
}

var _ subcommands.Command = (*devCommand)(nil)

// Name implements subcommands.Command.
func (c *devCommand) Name() string { return "dev" }

// Synopsis implements subcommands.Command.
func (c *devCommand) Synopsis() string { return "run a whole system in one process, for a first trial" }

// Usage implements subcommands.Command.
func (c *devCommand) Usage() string {
	return "dev [flags] SAMPLE\n  SAMPLE holds documents with two regions or more, such as sample/dev.yaml.\n"
}

// SetFlags implements subcommands.Command.
func (c *devCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.port, "port", 7300, "first of the loopback ports that are used")
	f.StringVar(&c.data, "data", "", "data directory to keep; without it, a temporary one is removed at the end")
}

// Execute implements subcommands.Command.
func (c *devCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		_, _ = fmt.Fprintln(c.console.errs, "dev: want one sample file")
		return subcommands.ExitUsageError
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	if err := c.run(ctx, f.Arg(0)); err != nil {
		_, _ = fmt.Fprintf(c.console.errs, "dev: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *devCommand) run(ctx context.Context, sample string) error {
	data, err := readFile(sample)
	if err != nil {
		return fmt.Errorf("sample: %w", err)
	}
	d, err := node.NewDevSystem(data, c.console.out, node.DevPort(c.port), node.DevDirectory(c.data))
	if err != nil {
		return fmt.Errorf("prepare: %w", err)
	}
	if err := d.Run(ctx); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}

// targetCommand runs stand-in targets and the platform's list of them.
type targetCommand struct {
	console console
	service string
	zone    string
	region  string
	count   int
	slots   int
	median  time.Duration
	seed    uint64
	address string
}

var _ subcommands.Command = (*targetCommand)(nil)

// Name implements subcommands.Command.
func (c *targetCommand) Name() string { return "target" }

// Synopsis implements subcommands.Command.
func (c *targetCommand) Synopsis() string {
	return "run stand-in targets and the platform's list of them"
}

// Usage implements subcommands.Command.
func (c *targetCommand) Usage() string {
	return "target [flags]\n  Prints the URL of the list; use it as platform-list in the settings.\n"
}

// SetFlags implements subcommands.Command.
func (c *targetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.service, "services", "commissions,alerts", "services, separated by commas")
	f.StringVar(&c.zone, "zones", "north-a,south-a", "zones, separated by commas")
	f.StringVar(&c.region, "regions", "north,south", "region of each zone, separated by commas")
	f.IntVar(&c.count, "count", 2, "targets of each service in each zone")
	f.IntVar(&c.slots, "slots", 4, "requests that a target runs at a time")
	f.DurationVar(&c.median, "service-time", 10*time.Millisecond, "median time to answer")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the service times")
	f.StringVar(&c.address, "list", "127.0.0.1:0", "IP:port at which the list is served; port 0 takes any free one")
}

// Execute implements subcommands.Command.
func (c *targetCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	zones, regions := splitList(c.zone), splitList(c.region)
	if len(zones) != len(regions) {
		_, _ = fmt.Fprintln(c.console.errs, "target: -zones and -regions differ in length")
		return subcommands.ExitUsageError
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	if err := c.run(ctx, zones, regions); err != nil {
		_, _ = fmt.Fprintf(c.console.errs, "target: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *targetCommand) run(ctx context.Context, zones, regions []string) error {
	system := tasks.NewSystem(slog.Default())
	defer system.Shutdown()
	var list []lister.Target
	for _, service := range splitList(c.service) {
		for i, zone := range zones {
			for range c.count {
				entry, err := c.start(ctx, system, service, zone, regions[i], len(list)+1)
				if err != nil {
					return fmt.Errorf("targets of %s: %w", service, err)
				}
				list = append(list, entry)
			}
		}
	}
	platform, err := stand.StartPlatform(ctx, system, stand.WithTargets(list...), stand.WithAddress(c.address))
	if err != nil {
		return fmt.Errorf("start platform list: %w", err)
	}
	_, _ = fmt.Fprintf(c.console.out, "%d targets, platform-list: %s\n", len(list), platform.URL())
	<-ctx.Done()
	return nil
}

func (c *targetCommand) start(ctx context.Context, system *tasks.System, service, zone, region string, number int) (lister.Target, error) {
	t, err := stand.StartTarget(ctx, system, stand.WithID(ident.Target(fmt.Sprintf("target-%d", number))),
		stand.WithService(ident.Service(service)), stand.WithPlace(ident.Zone(zone), ident.Region(region)),
		stand.WithSlots(c.slots), stand.WithServiceTime(c.median, 0.5), stand.WithSeed(c.seed+uint64(number)))
	if err != nil {
		return lister.Target{}, fmt.Errorf("start target %d: %w", number, err)
	}
	entry, err := t.Entry(lister.Live)
	if err != nil {
		return lister.Target{}, fmt.Errorf("start target %d: %w", number, err)
	}
	return entry, nil
}

func splitList(text string) []string {
	var out []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
