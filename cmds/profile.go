package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rhubarbrack/codec"
	"rhubarbrack/oper"
	"rhubarbrack/prof"
)

// profileCommand changes and shows documents of all kinds: profiles, the fleet,
// teams and services.
type profileCommand struct {
	operatorCommand
	expected int64
}

var _ subcommands.Command = (*profileCommand)(nil)

// Name implements subcommands.Command.
func (c *profileCommand) Name() string { return "profile" }

// Synopsis implements subcommands.Command.
func (c *profileCommand) Synopsis() string {
	return "put, get, list, delete documents and show their history"
}

// Usage implements subcommands.Command.
func (c *profileCommand) Usage() string {
	return `profile [flags] put FILE...
profile [flags] get|history|delete [KIND/]NAME
profile [flags] list [KIND]
  The kind of a document is fleet, profile, team or service; without one, a
  name means a profile. A file may hold several documents between lines of
  "---". put replaces the version given by -expected, or else the current one
  as it was read just before.
`
}

// SetFlags implements subcommands.Command.
func (c *profileCommand) SetFlags(f *flag.FlagSet) {
	c.setChangeFlags(f)
	f.Int64Var(&c.expected, "expected", -1, "revision that the change replaces, 0 for none")
}

// Execute implements subcommands.Command.
func (c *profileCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.runWithClient(ctx, "profile", func(ctx context.Context, client *oper.Client) error {
		action, args, err := parseAction(f, "put", "get", "list", "history", "delete")
		if err != nil {
			return fmt.Errorf("arguments: %w", err)
		}
		switch action {
		case "put":
			return c.putDocuments(ctx, client, args)
		case "list":
			return c.listDocuments(ctx, client, args)
		}
		if err := checkArgs(args, "[KIND/]NAME"); err != nil {
			return fmt.Errorf("arguments: %w", err)
		}
		kind, name := parseDocumentName(args[0])
		switch action {
		case "get":
			return c.printDocument(ctx, client, kind, name)
		case "history":
			return c.printHistory(ctx, client, kind, name)
		}
		return c.deleteDocument(ctx, client, kind, name)
	})
}

// parseDocumentName splits [KIND/]NAME. The default kind is profile.
func parseDocumentName(text string) (kind, name string) {
	if kind, name, ok := strings.Cut(text, "/"); ok {
		return kind, name
	}
	return string(prof.KindProfile), text
}

// putDocuments puts every document of the files. It decodes all of them before it
// sends the first one, so that a malformed document changes nothing.
func (c *profileCommand) putDocuments(ctx context.Context, client *oper.Client, files []string) error {
	documents, err := readDocuments(files)
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	request := c.requestID()
	for i, d := range documents {
		subject := string(d.Document().Kind()) + "/" + d.Document().Name()
		id := request
		if len(documents) > 1 {
			id = fmt.Sprintf("%s-%d", request, i+1)
		}
		expected, err := c.expectedRevision(ctx, client, d.Document())
		if err != nil {
			return fmt.Errorf("%s: %w", subject, err)
		}
		out, err := client.PutDocument(ctx, id, []byte(d.Source()), expected)
		if errors.Is(err, oper.ErrConflict) {
			c.printConflict(subject, d.Source(), out)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", subject, err)
		}
		if err := c.reportOutcome(ctx, client, subject, out); err != nil {
			return fmt.Errorf("%s: %w", subject, err)
		}
	}
	return nil
}

// printConflict prints the current revision and how its source text differs.
func (c *profileCommand) printConflict(subject, source string, outcome oper.OutcomeRecord) {
	_, _ = fmt.Fprintf(c.console.errOut, "%s: the current revision is %d. To replace it, use -expected %d. Differences (- current, + yours):\n%s",
		subject, outcome.Current, outcome.Current, diffLines(outcome.Source, source))
}

// expectedRevision returns the value of the flag -expected. Without the flag, it
// returns the current revision of the document, or 0 if the document does not
// exist.
func (c *profileCommand) expectedRevision(ctx context.Context, client *oper.Client, d prof.Document) (uint64, error) {
	if c.expected >= 0 {
		return uint64(c.expected), nil
	}
	documents, err := client.Documents(ctx, string(d.Kind()))
	if err != nil {
		return 0, fmt.Errorf("read current revision: %w", err)
	}
	for _, current := range documents {
		if current.Name == d.Name() {
			return current.Revision, nil
		}
	}
	return 0, nil
}

func readDocuments(files []string) ([]codec.SourceDocument, error) {
	if len(files) == 0 {
		return nil, fmt.Errorf("%w: want a file", errUsage)
	}
	var out []codec.SourceDocument
	for _, name := range files {
		data, err := readFile(name)
		if err != nil {
			return nil, fmt.Errorf("documents: %w", err)
		}
		documents, err := codec.DecodeDocuments(data)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, documents...)
	}
	return out, nil
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(io.LimitReader(os.Stdin, codec.MaxDocumentBytes+1))
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fmt.Errorf("read documents: %w", err)
	}
	return data, nil
}

func (c *profileCommand) printDocument(ctx context.Context, client *oper.Client, kind, name string) error {
	d, err := client.Document(ctx, kind, name)
	if err != nil {
		return fmt.Errorf("%s/%s: %w", kind, name, err)
	}
	if c.json {
		return c.printJSON(d)
	}
	c.printf("# revision %d\n%s", d.Revision, d.Source)
	return nil
}

func (c *profileCommand) listDocuments(ctx context.Context, client *oper.Client, args []string) error {
	kind := ""
	if len(args) > 0 {
		kind = args[0]
	}
	documents, err := client.Documents(ctx, kind)
	if err != nil {
		return fmt.Errorf("list documents: %w", err)
	}
	if c.json {
		return c.printJSON(documents)
	}
	for _, d := range documents {
		c.printf("%-32s revision %d\n", d.Kind+"/"+d.Name, d.Revision)
	}
	return nil
}

func (c *profileCommand) printHistory(ctx context.Context, client *oper.Client, kind, name string) error {
	versions, err := client.History(ctx, kind, name)
	if err != nil {
		return fmt.Errorf("history of %s/%s: %w", kind, name, err)
	}
	if c.json {
		return c.printJSON(versions)
	}
	previous := ""
	for _, v := range versions {
		action := "put"
		if v.Deleted {
			action = "deleted"
		}
		c.printf("revision %d, %s, %s by request %s\n%s", v.Revision, v.At.Format("2006-01-02 15:04:05 MST"), action, v.Request,
			diffLines(previous, v.Source))
		previous = v.Source
	}
	return nil
}

func (c *profileCommand) deleteDocument(ctx context.Context, client *oper.Client, kind, name string) error {
	expected := uint64(max(c.expected, 0))
	if c.expected < 0 {
		d, err := client.Document(ctx, kind, name)
		if err != nil {
			return fmt.Errorf("%s/%s: %w", kind, name, err)
		}
		expected = d.Revision
	}
	out, err := client.DeleteDocument(ctx, c.requestID(), kind, name, expected)
	if err != nil {
		return fmt.Errorf("%s/%s: %w", kind, name, err)
	}
	return c.reportOutcome(ctx, client, kind+"/"+name, out)
}
