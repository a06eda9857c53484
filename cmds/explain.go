package cmds

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"rhubarbrack/oper"
)

// defaultEntryURLs are the base URLs of the entry hosts that the dev command runs.
const defaultEntryURLs = "http://127.0.0.1:7312,http://127.0.0.1:7322"

// explainCommand shows how one request was handled.
type explainCommand struct {
	operatorCommand
	entryURLs string
}

var _ subcommands.Command = (*explainCommand)(nil)

// Name implements subcommands.Command.
func (c *explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (c *explainCommand) Synopsis() string { return "show the decisions on the way of one request" }

// Usage implements subcommands.Command.
func (c *explainCommand) Usage() string {
	return "explain [flags] REQUEST-ID\n  The id is in the header Rhubarbrack-Request of the answer.\n"
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.entryURLs, "entries", envOrDefault("RHUBARBRACK_ENTRIES", defaultEntryURLs),
		"base URLs of the entry hosts' API, separated by commas (RHUBARBRACK_ENTRIES)")
}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkArgs(f.Args(), "REQUEST-ID"); err != nil {
		return c.reportError("explain", err)
	}
	return c.runWithClient(ctx, "explain", func(ctx context.Context, _ *oper.Client) error {
		record, err := c.findRecord(ctx, f.Arg(0))
		if err != nil {
			return fmt.Errorf("explain: %w", err)
		}
		if c.json {
			return c.printJSON(record)
		}
		c.printRecord(record)
		return nil
	})
}

// findRecord queries the entry hosts in turn until one returns the record of the
// request.
func (c *explainCommand) findRecord(ctx context.Context, id string) (oper.ExplainRecord, error) {
	var lastErr error
	for _, base := range splitList(c.entryURLs) {
		client, err := c.client(base)
		if err != nil {
			return oper.ExplainRecord{}, fmt.Errorf("entry host %s: %w", base, err)
		}
		callCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		record, err := client.Explain(callCtx, id)
		cancel()
		if err == nil {
			return record, nil
		}
		lastErr = err
	}
	return oper.ExplainRecord{}, fmt.Errorf("no entry host explains %s: %w", id, lastErr)
}

func (c *explainCommand) printRecord(r oper.ExplainRecord) {
	c.printf("%s %s, service %s, team %s, class %s\n", r.Method, r.Path, orVacant(r.Service), orVacant(r.Team), orVacant(r.Class))
	c.printf("outcome %s", r.Outcome)
	if r.Reason != "" {
		c.printf(", reason %s", r.Reason)
	}
	if r.Detail != "" {
		c.printf(" (%s)", r.Detail)
	}
	c.printf(", %.3f ms, began %s\n", r.LatencyMS, r.Began.Format("2006-01-02 15:04:05.000 MST"))
	for _, s := range r.Steps {
		c.printf("  %9.3f ms  %-10s %s\n", s.AfterMS, s.Step, s.Detail)
	}
}
