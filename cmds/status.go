package cmds

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"rhubarbrack/oper"
)

// statusCommand shows the state of the system, or the automatic changes that the
// leader made.
type statusCommand struct {
	operatorCommand
	events bool
}

var _ subcommands.Command = (*statusCommand)(nil)

// Name implements subcommands.Command.
func (c *statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (c *statusCommand) Synopsis() string {
	return "show hosts, roles, shares and revisions, or the repairs made"
}

// Usage implements subcommands.Command.
func (c *statusCommand) Usage() string { return "status [flags]\n" }

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.BoolVar(&c.events, "events", false, "show what the leader changed by itself, and why")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.runWithClient(ctx, "status", func(ctx context.Context, client *oper.Client) error {
		if c.events {
			return c.printEvents(ctx, client)
		}
		status, err := client.Status(ctx)
		if err != nil {
			return fmt.Errorf("read status: %w", err)
		}
		if c.json {
			return c.printJSON(status)
		}
		c.printStatus(status)
		return nil
	})
}

func (c *statusCommand) printEvents(ctx context.Context, client *oper.Client) error {
	events, err := client.Events(ctx)
	if err != nil {
		return fmt.Errorf("read events: %w", err)
	}
	if c.json {
		return c.printJSON(events)
	}
	for _, e := range events {
		c.printf("%s  %-12s %s (%s)", e.At.Format("2006-01-02 15:04:05.000"), e.Kind, e.Detail, e.Reason)
		if e.Error != "" {
			c.printf(" failed: %s", e.Error)
		}
		c.printf("\n")
	}
	return nil
}

func (c *statusCommand) printStatus(s oper.StatusRecord) {
	c.printf("revision %d, in force everywhere: %d, term %d\n", s.Revision, s.InForce, s.Term)
	c.printf("\ncontrol hosts\n")
	for _, h := range s.Controls {
		c.printf("  %-16s %-8s %s, revision on disk %d\n", h.Host, h.Role, h.Address, h.Match)
	}
	c.printf("\nentry hosts\n")
	for _, h := range s.Entries {
		c.printf("  %-16s %-8s %s/%s, %s, revision %d\n", h.Host, h.State, h.Region, h.Zone, h.Address, h.Applied)
	}
	c.printf("\nroles\n")
	for _, r := range s.Roles {
		c.printf("  %-16s %s, epoch %d\n", r.Role, orVacant(r.Host), r.Epoch)
	}
	c.printf("\nshares\n")
	for _, p := range s.Shares {
		c.printf("  %-16s from %s: %s\n", p.Service, p.Origin, describeShares(p.Shares))
	}
	if len(s.Drains) > 0 {
		c.printf("\ndrains\n")
	}
	for _, d := range s.Drains {
		c.printf("  %s\n", describeDrain(d))
	}
	if len(s.Suspects) > 0 {
		c.printf("\nrequests that crashed targets\n")
	}
	for _, q := range s.Suspects {
		c.printf("  %s, %d crashes, until %s\n", q.Fingerprint, q.Crashes, q.Until.Format("2006-01-02 15:04:05"))
	}
}

// orVacant returns the text, or "(vacant)" if it is empty.
func orVacant(text string) string {
	if text == "" {
		return "(vacant)"
	}
	return text
}

func describeShares(shares map[string]float64) string {
	var parts []string
	for region, part := range shares {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", region, 100*part))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
