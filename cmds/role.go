package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"rhubarbrack/conf"
	"rhubarbrack/node"
)

// roleCommand runs a process with a settings file.
type roleCommand struct {
	console      console
	role         conf.Role
	settingsFile string
	run          func(ctx context.Context, s *conf.Settings) error
}

var _ subcommands.Command = (*roleCommand)(nil)

// Name implements subcommands.Command.
func (c *roleCommand) Name() string { return string(c.role) }

// Synopsis implements subcommands.Command.
func (c *roleCommand) Synopsis() string { return "run the " + string(c.role) + " role of this host" }

// Usage implements subcommands.Command.
func (c *roleCommand) Usage() string {
	return string(c.role) + " -settings FILE\n  SIGTERM stops the host without cutting requests, a second one at once.\n"
}

// SetFlags implements subcommands.Command.
func (c *roleCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "file with the settings of the process in YAML")
}

// Execute implements subcommands.Command.
func (c *roleCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settingsFile == "" {
		_, _ = fmt.Fprintf(c.console.errOut, "%s: -settings is missing\n", c.role)
		return subcommands.ExitUsageError
	}
	s, err := conf.Load(c.settingsFile)
	if err == nil && s.Role() != c.role {
		err = fmt.Errorf("settings %s are for the role %s", c.settingsFile, s.Role())
	}
	if err != nil {
		_, _ = fmt.Fprintf(c.console.errOut, "%s: %v\n", c.role, err)
		return subcommands.ExitUsageError
	}
	ctx, stop := contextWithSignals(ctx)
	defer stop()
	if err := c.run(ctx, s); err != nil {
		_, _ = fmt.Fprintf(c.console.errOut, "%s: %v\n", c.role, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func runEntry(ctx context.Context, s *conf.Settings) error { return node.RunEntry(ctx, s) }

func runControl(ctx context.Context, s *conf.Settings) error { return node.RunControl(ctx, s) }

// contextWithSignals returns a context that the first SIGTERM or SIGINT cancels. It
// then removes the signal handler, so that a second signal kills the process.
func contextWithSignals(ctx context.Context) (context.Context, func()) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}
