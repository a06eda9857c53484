package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// hostedCommand runs a role by the settings file of the platform.
type hostedCommand struct {
	console  console
	name     string
	synopsis string
	run      func(ctx context.Context, out io.Writer) error
}

var _ subcommands.Command = (*hostedCommand)(nil)

// Name implements subcommands.Command.
func (c *hostedCommand) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *hostedCommand) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *hostedCommand) Usage() string {
	return c.name + "\n  The settings file is named by the platform. SIGTERM stops without cutting requests.\n"
}

// SetFlags implements subcommands.Command.
func (c *hostedCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *hostedCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := untilSignal(ctx)
	defer stop()
	if err := c.run(ctx, c.console.out); err != nil {
		_, _ = fmt.Fprintf(c.console.errs, "%s: %v\n", c.name, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
