package cmds

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"rhubarbrack/oper"
)

// controlHostCommand adds and removes control hosts.
type controlHostCommand struct {
	operatorCommand
}

var _ subcommands.Command = (*controlHostCommand)(nil)

// Name implements subcommands.Command.
func (c *controlHostCommand) Name() string { return "control-host" }

// Synopsis implements subcommands.Command.
func (c *controlHostCommand) Synopsis() string { return "add and remove control hosts" }

// Usage implements subcommands.Command.
func (c *controlHostCommand) Usage() string {
	return `control-host [flags] add HOST IP:PORT
control-host [flags] remove HOST
  A new host must be running with an empty data directory and a name that was
  never used before. Add it first, then remove the one that it replaces.
`
}

// SetFlags implements subcommands.Command.
func (c *controlHostCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

// Execute implements subcommands.Command.
func (c *controlHostCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.runWithClient(ctx, "control-host", func(ctx context.Context, client *oper.Client) error {
		action, args, err := parseAction(f, "add", "remove")
		if err != nil {
			return fmt.Errorf("arguments: %w", err)
		}
		if action == "add" {
			if err := checkArgs(args, "HOST", "IP:PORT"); err != nil {
				return fmt.Errorf("arguments: %w", err)
			}
			if err := client.AddControlHost(ctx, args[0], args[1]); err != nil {
				return fmt.Errorf("add %s: %w", args[0], err)
			}
			c.printf("control host %s is a voter\n", args[0])
			return nil
		}
		if err := checkArgs(args, "HOST"); err != nil {
			return fmt.Errorf("arguments: %w", err)
		}
		if err := client.RemoveControlHost(ctx, args[0]); err != nil {
			return fmt.Errorf("remove %s: %w", args[0], err)
		}
		c.printf("control host %s is removed\n", args[0])
		return nil
	})
}
