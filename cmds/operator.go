package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rhubarbrack/certs"
	"rhubarbrack/oper"
)

const (
	// defaultControl is the address of the API in a trial process.
	defaultControl = "http://127.0.0.1:7301"
	// waitStep is how often progress is shown while waiting.
	waitStep = time.Second
)

// operator is what the commands for operators have in common.
type operator struct {
	console   console
	control   string
	token     string
	authority string
	timeout   time.Duration
	json      bool
	wait      bool
	request   string
	// repeat holds the other flags that a repetition of the command needs.
	repeat string
}

func (o *operator) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.control, "control", environment("RHUBARBRACK_CONTROL", defaultControl),
		"base URLs of the API, separated by commas (RHUBARBRACK_CONTROL)")
	f.StringVar(&o.token, "token", environment("RHUBARBRACK_TOKEN", ""), "operator token (RHUBARBRACK_TOKEN)")
	f.StringVar(&o.authority, "authority", environment("RHUBARBRACK_AUTHORITY", ""),
		"file with the authority that signs the API's certificate (RHUBARBRACK_AUTHORITY)")
	f.DurationVar(&o.timeout, "timeout", 30*time.Second, "how long to try")
	f.BoolVar(&o.json, "json", false, "write JSON")
}

func (o *operator) setChangeFlags(f *flag.FlagSet) {
	o.setFlags(f)
	f.BoolVar(&o.wait, "wait", false, "wait until the change is in force at every entry host")
	f.StringVar(&o.request, "request", "", "id of the change; a resend with the same id gets the first outcome")
}

func (o *operator) client(bases string) (*oper.Client, error) {
	var list []oper.ClientOption
	if o.authority != "" {
		config, err := certs.NewClientConfig(o.authority)
		if err != nil {
			return nil, fmt.Errorf("authority: %w", err)
		}
		transport := &http.Transport{TLSClientConfig: config}
		list = append(list, oper.WithHTTPClient(&http.Client{Transport: transport, Timeout: o.timeout}))
	}
	return oper.NewClient(strings.Split(bases, ","), o.token, list...), nil
}

// requestID returns the id of the change and tells a generated one, so that
// the operator can send the change again.
func (o *operator) requestID() string {
	if o.request == "" {
		o.request = oper.NewRequestID()
	}
	return o.request
}

// do runs one command against the API.
func (o *operator) do(ctx context.Context, name string, work func(ctx context.Context, c *oper.Client) error) subcommands.ExitStatus {
	client, err := o.client(o.control)
	if err != nil {
		return o.fail(name, err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	if err := work(ctx, client); err != nil {
		return o.fail(name, err)
	}
	return subcommands.ExitSuccess
}

// errUsage marks errors in the arguments of a command.
const errUsage = errors.ConstError("wrong usage")

func (o *operator) fail(name string, err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(o.console.errs, "%s: %v\n", name, err)
	switch {
	case errors.Is(err, errUsage):
		return subcommands.ExitUsageError
	case errors.Is(err, oper.ErrConflict):
		return exitConflict
	case errors.Is(err, oper.ErrRefused):
		return exitRefused
	case errors.Is(err, oper.ErrUnavailable):
		if o.request != "" {
			_, _ = fmt.Fprintf(o.console.errs, "%s: to learn the outcome, repeat the command with -request %s%s\n", name, o.request, o.repeat)
		}
		return exitUnavailable
	}
	return subcommands.ExitFailure
}

// printJSON writes a record.
func (o *operator) printJSON(record any) error {
	encoder := json.NewEncoder(o.console.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(record); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

func (o *operator) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.console.out, format, args...)
}

// finish tells the outcome of a change and, when asked, waits until it is in
// force.
func (o *operator) finish(ctx context.Context, c *oper.Client, what string, out oper.OutcomeRecord) error {
	if o.json && !o.wait {
		return o.printJSON(out)
	}
	if !o.json {
		o.printf("%s: accepted at revision %d\n", what, out.Revision)
	}
	if !o.wait {
		return nil
	}
	for {
		progress, err := c.InForce(ctx, out.Revision, waitStep)
		if err != nil {
			return fmt.Errorf("wait until revision %d is in force: %w", out.Revision, err)
		}
		if progress.InForce && o.json {
			return o.printJSON(progress)
		}
		if progress.InForce {
			o.printf("%s: in force everywhere\n", what)
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("revision %d is not in force at %s: %w", out.Revision, strings.Join(progress.Behind, ", "), ctx.Err())
		}
		if !o.json {
			o.printf("%s: waiting for %s\n", what, strings.Join(progress.Behind, ", "))
		}
	}
}

// verb returns the first argument and the others.
func verb(f *flag.FlagSet, known ...string) (string, []string, error) {
	args := f.Args()
	if len(args) == 0 {
		return "", nil, fmt.Errorf("%w: want one of %s", errUsage, strings.Join(known, ", "))
	}
	for _, k := range known {
		if args[0] == k {
			return k, args[1:], nil
		}
	}
	return "", nil, fmt.Errorf("%w: %q is not one of %s", errUsage, args[0], strings.Join(known, ", "))
}

// need checks the number of arguments.
func need(args []string, names ...string) error {
	if len(args) != len(names) {
		return fmt.Errorf("%w: want the arguments %s", errUsage, strings.Join(names, " "))
	}
	return nil
}
