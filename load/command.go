package load

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"
)

// command implements the subcommand "load".
type command struct {
	out      io.Writer
	plan     string
	json     bool
	duration time.Duration
	seed     uint64
}

var _ subcommands.Command = (*command)(nil)

// NewCommand returns the subcommand "load", which runs a plan file and writes
// its report to out.
func NewCommand(out io.Writer) subcommands.Command { return &command{out: out} }

// Name implements subcommands.Command.
func (*command) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*command) Synopsis() string { return "send requests by a plan and report latencies and refusals" }

// Usage implements subcommands.Command.
func (*command) Usage() string { return "load -plan FILE [-json] [-duration D] [-seed N]\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.plan, "plan", "", "file with the plan in YAML")
	f.BoolVar(&c.json, "json", false, "write the report in JSON")
	f.DurationVar(&c.duration, "duration", 0, "how long requests arrive, instead of the plan's duration")
	f.Uint64Var(&c.seed, "seed", 0, "seed of the schedule, instead of the plan's seed")
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command) run(ctx context.Context) error {
	file, err := os.Open(c.plan)
	if err != nil {
		return fmt.Errorf("open plan: %w", err)
	}
	defer func() { _ = file.Close() }()
	p, err := ReadPlan(file, func(p *Plan) {
		p.duration, p.seed = valueOr(c.duration, p.duration), valueOr(c.seed, p.seed)
	})
	if err != nil {
		return fmt.Errorf("plan %s: %w", c.plan, err)
	}
	report, err := Run(ctx, p)
	if err != nil {
		return fmt.Errorf("plan %s: %w", c.plan, err)
	}
	if c.json {
		return report.WriteJSON(c.out)
	}
	return report.WriteText(c.out)
}
