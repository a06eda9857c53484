package cmds

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"rhubarbrack/ident"
	"rhubarbrack/oper"
	"rhubarbrack/route"
)

// keyCommand issues, withdraws and lists the keys of teams.
type keyCommand struct {
	operatorCommand
	keyID   string
	keyText string
}

var _ subcommands.Command = (*keyCommand)(nil)

// Name implements subcommands.Command.
func (c *keyCommand) Name() string { return "key" }

// Synopsis implements subcommands.Command.
func (c *keyCommand) Synopsis() string { return "issue, withdraw and list the keys of teams" }

// Usage implements subcommands.Command.
func (c *keyCommand) Usage() string {
	return `key [flags] issue TEAM
key [flags] withdraw ID
key [flags] list
  issue prints the key once. Only its digest leaves this machine.
`
}

// SetFlags implements subcommands.Command.
func (c *keyCommand) SetFlags(f *flag.FlagSet) {
	c.setChangeFlags(f)
	f.StringVar(&c.keyText, "key", "", "text of the key, to repeat an issue whose outcome is unknown")
	f.StringVar(&c.keyID, "id", "", "public id of the key to issue; the default is the team and a random part")
}

// Execute implements subcommands.Command.
func (c *keyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.runWithClient(ctx, "key", func(ctx context.Context, client *oper.Client) error {
		action, args, err := parseAction(f, "issue", "withdraw", "list")
		if err != nil {
			return fmt.Errorf("arguments: %w", err)
		}
		if action == "list" {
			return c.listKeys(ctx, client)
		}
		if action == "issue" {
			if err := checkArgs(args, "TEAM"); err != nil {
				return fmt.Errorf("arguments: %w", err)
			}
			return c.issue(ctx, client, args[0])
		}
		if err := checkArgs(args, "ID"); err != nil {
			return fmt.Errorf("arguments: %w", err)
		}
		return c.withdraw(ctx, client, args[0])
	})
}

// keyIDSuffixLength is the number of random characters at the end of a generated
// key ID.
const keyIDSuffixLength = 6

func (c *keyCommand) issue(ctx context.Context, client *oper.Client, team string) error {
	id := c.keyID
	if id == "" {
		id = team + "-" + strings.ToLower(rand.Text()[:keyIDSuffixLength])
	}
	text := c.keyText
	if text == "" {
		text = route.KeyText(ident.KeyID(id), rand.Text())
	}
	if textID, _, _ := strings.Cut(text, "."); textID != id {
		return fmt.Errorf("%w: the key does not belong to the id %s", errUsage, id)
	}
	// A retry must send the same key: another key under the same request ID
	// counts as a reused request ID.
	c.retryFlags = fmt.Sprintf(" -id %s -key %s", id, text)
	hash := route.KeyHash(text)
	out, err := client.IssueKey(ctx, c.requestID(), oper.KeyRecord{ID: id, Team: team, SHA256: hex.EncodeToString(hash[:])})
	if err != nil {
		return fmt.Errorf("key %s: %w", id, err)
	}
	if !c.json {
		c.printf("key %s of team %s, shown this once:\n%s\n", id, team, text)
		return c.reportOutcome(ctx, client, "key "+id, out)
	}
	if err := c.printJSON(map[string]string{"id": id, "team": team, "key": text}); err != nil {
		return fmt.Errorf("key %s: %w", id, err)
	}
	return c.reportOutcome(ctx, client, "key "+id, out)
}

func (c *keyCommand) withdraw(ctx context.Context, client *oper.Client, id string) error {
	out, err := client.WithdrawKey(ctx, c.requestID(), id)
	if err != nil {
		return fmt.Errorf("key %s: %w", id, err)
	}
	return c.reportOutcome(ctx, client, "key "+id, out)
}

func (c *keyCommand) listKeys(ctx context.Context, client *oper.Client) error {
	keys, err := client.Keys(ctx)
	if err != nil {
		return fmt.Errorf("list keys: %w", err)
	}
	if c.json {
		return c.printJSON(keys)
	}
	for _, k := range keys {
		state := "valid"
		if k.Withdrawn != nil {
			state = "withdrawn " + k.Withdrawn.Format("2006-01-02 15:04:05 MST")
		}
		c.printf("%-24s team %-16s %s\n", k.ID, k.Team, state)
	}
	return nil
}
