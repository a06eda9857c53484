package cmds

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"rhubarbrack/codec"
	"rhubarbrack/conf"
)

// checkCommand validates settings and documents without applying them.
type checkCommand struct {
	console console
}

var _ subcommands.Command = (*checkCommand)(nil)

// Name implements subcommands.Command.
func (c *checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (c *checkCommand) Synopsis() string { return "check settings or documents without applying them" }

// Usage implements subcommands.Command.
func (c *checkCommand) Usage() string { return "check FILE...\n" }

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	if f.NArg() == 0 {
		_, _ = fmt.Fprintln(c.console.errOut, "check: want a file")
		return subcommands.ExitUsageError
	}
	for _, name := range f.Args() {
		contents, err := checkFile(name)
		if err != nil {
			_, _ = fmt.Fprintf(c.console.errOut, "check: %s: %v\n", name, err)
			status = exitRefused
			continue
		}
		_, _ = fmt.Fprintf(c.console.out, "%s: valid (%s)\n", name, contents)
	}
	return status
}

// checkFile validates a file and returns a summary of its contents.
func checkFile(name string) (string, error) {
	data, err := readFile(name)
	if err != nil {
		return "", fmt.Errorf("check file: %w", err)
	}
	if isSettings(string(data)) {
		s, err := conf.Decode(data)
		if err != nil {
			return "", fmt.Errorf("settings: %w", err)
		}
		return "settings of the " + string(s.Role()) + " role", nil
	}
	documents, err := codec.DecodeDocuments(data)
	if err != nil {
		return "", fmt.Errorf("documents: %w", err)
	}
	var names []string
	for _, d := range documents {
		names = append(names, string(d.Document().Kind())+"/"+d.Document().Name())
	}
	return strings.Join(names, ", "), nil
}

// isSettings reports whether a text holds settings rather than documents. It goes
// by the first of the fields role, which settings have, and kind, which documents
// have.
func isSettings(text string) bool {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "role:") {
			return true
		}
		if strings.HasPrefix(line, "kind:") {
			return false
		}
	}
	return false
}
