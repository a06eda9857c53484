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

// Run runs the command line and returns the exit code. Output goes to out, errors
// and logs to errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("rhubarbrack", flag.ContinueOnError)
	flags.SetOutput(errOut)
	level := flags.String("log-level", "info", "lowest level of log lines: debug, info, warn or error")
	commander := subcommands.NewCommander(flags, "rhubarbrack")
	commander.Output, commander.Error = out, errOut
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	register(commander, console{out: out, errOut: errOut})
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(*level)); err != nil {
		_, _ = io.WriteString(errOut, "rhubarbrack: -log-level: want debug, info, warn or error\n")
		return int(subcommands.ExitUsageError)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(errOut, &slog.HandlerOptions{Level: minLevel})))
	return int(commander.Execute(ctx))
}

func register(commander *subcommands.Commander, con console) {
	commander.Register(&roleCommand{console: con, role: "entry", run: runEntry}, "roles")
	commander.Register(&roleCommand{console: con, role: "control", run: runControl}, "roles")
	commander.Register(&platformCommand{
		console: con, name: "platform-entry", synopsis: "run an entry host on the platform", run: platform.RunEntry,
	}, "roles")
	commander.Register(&platformCommand{
		console: con, name: "platform-control", synopsis: "run a control host on the platform", run: platform.RunControl,
	}, "roles")
	commander.Register(&checkCommand{console: con}, "operators")
	commander.Register(&profileCommand{operatorCommand: operatorCommand{console: con}}, "operators")
	commander.Register(&keyCommand{operatorCommand: operatorCommand{console: con}}, "operators")
	commander.Register(&drainCommand{operatorCommand: operatorCommand{console: con}}, "operators")
	commander.Register(&controlHostCommand{operatorCommand: operatorCommand{console: con}}, "operators")
	commander.Register(&statusCommand{operatorCommand: operatorCommand{console: con}}, "operators")
	commander.Register(&explainCommand{operatorCommand: operatorCommand{console: con}}, "operators")
	commander.Register(&devCommand{console: con}, "trials")
	commander.Register(&targetCommand{console: con}, "trials")
	commander.Register(stand.NewCommand(con.out), "trials")
	commander.Register(load.NewCommand(con.out), "trials")
}

// console holds the destinations of a command's output and of its errors.
type console struct {
	out, errOut io.Writer
}

// envOrDefault returns the value of an environment variable, or the fallback if it
// is unset or empty.
func envOrDefault(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}
