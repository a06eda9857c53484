package cmds

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"os"

	"github.com/google/subcommands"

	"rhubarbrack/load"
	"rhubarbrack/platform"
	"rhubarbrack/stand"
)

// The exit codes besides those of package subcommands.
const (
	exitConflict    subcommands.ExitStatus = 3
	exitRefused     subcommands.ExitStatus = 4
	exitUnavailable subcommands.ExitStatus = 5
)

// Run runs the command line and returns the exit code. Answers go to out,
// errors and logs to errs.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("rhubarbrack", flag.ContinueOnError)
	flags.SetOutput(errs)
	level := flags.String("log-level", "info", "lowest level of log lines: debug, info, warn or error")
	commander := subcommands.NewCommander(flags, "rhubarbrack")
	commander.Output, commander.Error = out, errs
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	register(commander, console{out: out, errs: errs})
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	var least slog.Level
	if err := least.UnmarshalText([]byte(*level)); err != nil {
		_, _ = io.WriteString(errs, "rhubarbrack: -log-level: want debug, info, warn or error\n")
		return int(subcommands.ExitUsageError)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: least})))
	return int(commander.Execute(ctx))
}

func register(c *subcommands.Commander, to console) {
	c.Register(&roleCommand{console: to, role: "entry", run: runEntry}, "roles")
	c.Register(&roleCommand{console: to, role: "control", run: runControl}, "roles")
	c.Register(&hostedCommand{
		console: to, name: "platform-entry", synopsis: "run an entry host on the platform", run: platform.RunEntry,
	}, "roles")
	c.Register(&hostedCommand{
		console: to, name: "platform-control", synopsis: "run a control host on the platform", run: platform.RunControl,
	}, "roles")
	c.Register(&checkCommand{console: to}, "operators")
	c.Register(&profileCommand{operator: operator{console: to}}, "operators")
	c.Register(&keyCommand{operator: operator{console: to}}, "operators")
	c.Register(&drainCommand{operator: operator{console: to}}, "operators")
	c.Register(&hostCommand{operator: operator{console: to}}, "operators")
	c.Register(&statusCommand{operator: operator{console: to}}, "operators")
	c.Register(&explainCommand{operator: operator{console: to}}, "operators")
	c.Register(&devCommand{console: to}, "trials")
	c.Register(&targetCommand{console: to}, "trials")
	c.Register(stand.NewCommand(to.out), "trials")
	c.Register(load.NewCommand(to.out), "trials")
}

// console is where a command writes.
type console struct {
	out, errs io.Writer
}

// environment returns a variable or the fallback.
func environment(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}
