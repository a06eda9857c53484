package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// platformCommand runs a role with the settings file that the platform provides.
type platformCommand struct {
	console  console
	name     string
	synopsis string
	run      func(ctx context.Context, out io.Writer) error
}

var _ subcommands.Command = (*platformCommand)(nil)

// Name implements subcommands.Command.
func (c *platformCommand) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *platformCommand) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *platformCommand) Usage() string {
	return c.name + "\n  The settings file is named by the platform. SIGTERM stops without cutting requests.\n"
}

// SetFlags implements subcommands.Command.
func (c *platformCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := contextWithSignals(ctx)
	defer stop()
	if err := c.run(ctx, c.console.out); err != nil {
		_, _ = fmt.Fprintf(c.console.errOut, "%s: %v\n", c.name, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
