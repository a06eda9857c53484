package cmds

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"rhubarbrack/clock"
	"rhubarbrack/oper"
)

// drainCommand plans, cancels and lists drains.
type drainCommand struct {
	operatorCommand
	from, until string
}

var _ subcommands.Command = (*drainCommand)(nil)

// Name implements subcommands.Command.
func (c *drainCommand) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (c *drainCommand) Synopsis() string {
	return "plan, cancel and list drains of targets, zones and regions"
}

// Usage implements subcommands.Command.
func (c *drainCommand) Usage() string {
	return `drain [flags] plan ID target|zone|region NAME
drain [flags] cancel ID
drain [flags] list
  Times are RFC 3339, or durations from now such as 30m.
`
}

// SetFlags implements subcommands.Command.
func (c *drainCommand) SetFlags(f *flag.FlagSet) {
	c.setChangeFlags(f)
	f.StringVar(&c.from, "from", "0s", "when the drain begins")
	f.StringVar(&c.until, "until", "", "when the drain ends; without it, when it is cancelled")
}

// Execute implements subcommands.Command.
func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.runWithClient(ctx, "drain", func(ctx context.Context, client *oper.Client) error {
		action, args, err := parseAction(f, "plan", "cancel", "list")
		if err != nil {
			return fmt.Errorf("arguments: %w", err)
		}
		switch action {
		case "list":
			return c.listDrains(ctx, client)
		case "cancel":
			if err := checkArgs(args, "ID"); err != nil {
				return fmt.Errorf("arguments: %w", err)
			}
			out, err := client.CancelDrain(ctx, c.requestID(), args[0])
			if err != nil {
				return fmt.Errorf("drain %s: %w", args[0], err)
			}
			return c.reportOutcome(ctx, client, "drain "+args[0], out)
		}
		if err := checkArgs(args, "ID", "target|zone|region", "NAME"); err != nil {
			return fmt.Errorf("arguments: %w", err)
		}
		return c.plan(ctx, client, args[0], args[1], args[2])
	})
}

func (c *drainCommand) plan(ctx context.Context, client *oper.Client, id, scope, name string) error {
	now := clock.Wall().Now()
	from, err := parseTime(c.from, now)
	if err != nil {
		return fmt.Errorf("-from: %w", err)
	}
	record := oper.DrainRecord{ID: id, Scope: scope, Name: name, From: from}
	if c.until != "" {
		until, err := parseTime(c.until, now)
		if err != nil {
			return fmt.Errorf("-until: %w", err)
		}
		record.Until = &until
	}
	// Durations are relative to now, so a retry needs the absolute times.
	c.retryFlags = " -from " + from.Format(time.RFC3339Nano)
	if record.Until != nil {
		c.retryFlags += " -until " + record.Until.Format(time.RFC3339Nano)
	}
	out, err := client.PlanDrain(ctx, c.requestID(), record)
	if err != nil {
		return fmt.Errorf("drain %s: %w", id, err)
	}
	return c.reportOutcome(ctx, client, "drain "+id, out)
}

// parseTime parses an RFC 3339 time, or a duration relative to now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d).UTC(), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%w: %q is neither a duration nor an RFC 3339 time", errUsage, text)
	}
	return t.UTC(), nil
}

func (c *drainCommand) listDrains(ctx context.Context, client *oper.Client) error {
	status, err := client.Status(ctx)
	if err != nil {
		return fmt.Errorf("list drains: %w", err)
	}
	if c.json {
		return c.printJSON(status.Drains)
	}
	for _, d := range status.Drains {
		c.printf("%s\n", describeDrain(d))
	}
	return nil
}

func describeDrain(d oper.DrainRecord) string {
	until := "until cancelled"
	if d.Until != nil {
		until = "until " + d.Until.Format(time.RFC3339)
	}
	return fmt.Sprintf("%-16s %s %s, from %s, %s, %s", d.ID, d.Scope, d.Name, d.From.Format(time.RFC3339), until, d.State)
}
