package cmds

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/google/subcommands"

	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/node"
	"rhubarbrack/stand"
	"rhubarbrack/tasks"
)

// devCommand runs a whole system, control and entry hosts, in one process.
type devCommand struct {
	console       console
	firstPort     int
	dataDirectory string
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
	f.IntVar(&c.firstPort, "port", 7300, "first of the loopback ports that are used")
	f.StringVar(&c.dataDirectory, "data", "", "data directory to keep; without it, a temporary one is removed at the end")
}

// Execute implements subcommands.Command.
func (c *devCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		_, _ = fmt.Fprintln(c.console.errOut, "dev: want one sample file")
		return subcommands.ExitUsageError
	}
	ctx, stop := contextWithSignals(ctx)
	defer stop()
	if err := c.run(ctx, f.Arg(0)); err != nil {
		_, _ = fmt.Fprintf(c.console.errOut, "dev: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *devCommand) run(ctx context.Context, sample string) error {
	data, err := readFile(sample)
	if err != nil {
		return fmt.Errorf("sample: %w", err)
	}
	d, err := node.NewDevSystem(data, c.console.out, node.DevPort(c.firstPort), node.DevDirectory(c.dataDirectory))
	if err != nil {
		return fmt.Errorf("prepare: %w", err)
	}
	if err := d.Run(ctx); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}

// targetCommand runs stand-in targets and serves the platform list with them.
type targetCommand struct {
	console           console
	services          string
	zones             string
	regions           string
	targetsPerZone    int
	slots             int
	medianServiceTime time.Duration
	seed              uint64
	listAddress       string
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
	f.StringVar(&c.services, "services", "commissions,alerts", "services, separated by commas")
	f.StringVar(&c.zones, "zones", "north-a,south-a", "zones, separated by commas")
	f.StringVar(&c.regions, "regions", "north,south", "region of each zone, separated by commas")
	f.IntVar(&c.targetsPerZone, "count", 2, "targets of each service in each zone")
	f.IntVar(&c.slots, "slots", 4, "requests that a target runs at a time")
	f.DurationVar(&c.medianServiceTime, "service-time", 10*time.Millisecond, "median time to answer")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the service times")
	f.StringVar(&c.listAddress, "list", "127.0.0.1:0", "IP:port at which the list is served; port 0 takes any free one")
}

// Execute implements subcommands.Command.
func (c *targetCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	zones, regions := splitList(c.zones), splitList(c.regions)
	if len(zones) != len(regions) {
		_, _ = fmt.Fprintln(c.console.errOut, "target: -zones and -regions differ in length")
		return subcommands.ExitUsageError
	}
	ctx, stop := contextWithSignals(ctx)
	defer stop()
	if err := c.run(ctx, zones, regions); err != nil {
		_, _ = fmt.Fprintf(c.console.errOut, "target: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *targetCommand) run(ctx context.Context, zones, regions []string) error {
	system := tasks.NewSystem(slog.Default())
	defer system.Shutdown()
	var targets []lister.Target
	for _, service := range splitList(c.services) {
		for i, zone := range zones {
			for range c.targetsPerZone {
				target, err := c.startTarget(ctx, system, service, zone, regions[i], len(targets)+1)
				if err != nil {
					return fmt.Errorf("targets of %s: %w", service, err)
				}
				targets = append(targets, target)
			}
		}
	}
	platform, err := stand.StartPlatform(ctx, system, stand.WithTargets(targets...), stand.WithAddress(c.listAddress))
	if err != nil {
		return fmt.Errorf("start platform list: %w", err)
	}
	_, _ = fmt.Fprintf(c.console.out, "%d targets, platform-list: %s\n", len(targets), platform.URL())
	<-ctx.Done()
	return nil
}

func (c *targetCommand) startTarget(ctx context.Context, system *tasks.System, service, zone, region string, number int) (lister.Target, error) {
	t, err := stand.StartTarget(ctx, system, stand.WithID(ident.Target(fmt.Sprintf("target-%d", number))),
		stand.WithService(ident.Service(service)), stand.WithLocation(ident.Zone(zone), ident.Region(region)),
		stand.WithSlots(c.slots), stand.WithServiceTime(c.medianServiceTime, 0.5), stand.WithSeed(c.seed+uint64(number)))
	if err != nil {
		return lister.Target{}, fmt.Errorf("start target %d: %w", number, err)
	}
	target, err := t.ListEntry(lister.Live)
	if err != nil {
		return lister.Target{}, fmt.Errorf("start target %d: %w", number, err)
	}
	return target, nil
}

// splitList splits a comma-separated list. It trims the elements and omits empty
// ones.
func splitList(text string) []string {
	var out []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
