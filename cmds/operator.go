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
	// defaultControlURL is the base URL of the control host that the dev command
	// runs.
	defaultControlURL = "http://127.0.0.1:7301"
	// stepTimeout limits one wait for progress, after which progress is shown,
	// and the time that explain spends on one entry host.
	stepTimeout = time.Second
)

// operatorCommand holds the common flags and helpers of the commands that call the
// API for operators.
type operatorCommand struct {
	console       console
	controlURLs   string
	token         string
	authorityFile string
	timeout       time.Duration
	json          bool
	wait          bool
	request       string
	// retryFlags holds the flags besides -request that a retry needs to send the
	// same change.
	retryFlags string
}

func (o *operatorCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.controlURLs, "control", envOrDefault("RHUBARBRACK_CONTROL", defaultControlURL),
		"base URLs of the API, separated by commas (RHUBARBRACK_CONTROL)")
	f.StringVar(&o.token, "token", envOrDefault("RHUBARBRACK_TOKEN", ""), "operator token (RHUBARBRACK_TOKEN)")
	f.StringVar(&o.authorityFile, "authority", envOrDefault("RHUBARBRACK_AUTHORITY", ""),
		"file with the authority that signs the API's certificate (RHUBARBRACK_AUTHORITY)")
	f.DurationVar(&o.timeout, "timeout", 30*time.Second, "how long to try")
	f.BoolVar(&o.json, "json", false, "write JSON")
}

// setChangeFlags sets the flags of commands that make changes.
func (o *operatorCommand) setChangeFlags(f *flag.FlagSet) {
	o.setFlags(f)
	f.BoolVar(&o.wait, "wait", false, "wait until the change is in force at every entry host")
	f.StringVar(&o.request, "request", "", "id of the change; a resend with the same id gets the first outcome")
}

func (o *operatorCommand) client(baseURLs string) (*oper.Client, error) {
	var options []oper.ClientOption
	if o.authorityFile != "" {
		config, err := certs.NewClientConfig(o.authorityFile)
		if err != nil {
			return nil, fmt.Errorf("authority: %w", err)
		}
		transport := &http.Transport{TLSClientConfig: config}
		options = append(options, oper.WithHTTPClient(&http.Client{Transport: transport, Timeout: o.timeout}))
	}
	return oper.NewClient(strings.Split(baseURLs, ","), o.token, options...), nil
}

// requestID returns the request ID of the change. It generates an ID if the flag
// is not set, and keeps it so that reportError can show how to retry the change.
func (o *operatorCommand) requestID() string {
	if o.request == "" {
		o.request = oper.NewRequestID()
	}
	return o.request
}

// runWithClient calls a function with a client of the control hosts, and reports its
// error under the name of the command.
func (o *operatorCommand) runWithClient(ctx context.Context, name string, call func(ctx context.Context, c *oper.Client) error) subcommands.ExitStatus {
	client, err := o.client(o.controlURLs)
	if err != nil {
		return o.reportError(name, err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	if err := call(ctx, client); err != nil {
		return o.reportError(name, err)
	}
	return subcommands.ExitSuccess
}

// errUsage marks errors in the arguments of a command.
const errUsage = errors.ConstError("wrong usage")

// reportError prints an error and returns the exit code for it.
func (o *operatorCommand) reportError(name string, err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(o.console.errOut, "%s: %v\n", name, err)
	switch {
	case errors.Is(err, errUsage):
		return subcommands.ExitUsageError
	case errors.Is(err, oper.ErrConflict):
		return exitConflict
	case errors.Is(err, oper.ErrRefused):
		return exitRefused
	case errors.Is(err, oper.ErrUnavailable):
		if o.request != "" {
			_, _ = fmt.Fprintf(o.console.errOut, "%s: to learn the outcome, repeat the command with -request %s%s\n", name, o.request, o.retryFlags)
		}
		return exitUnavailable
	}
	return subcommands.ExitFailure
}

// printJSON prints a record as indented JSON.
func (o *operatorCommand) printJSON(record any) error {
	encoder := json.NewEncoder(o.console.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(record); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

func (o *operatorCommand) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.console.out, format, args...)
}

// reportOutcome prints the outcome of a change. With the flag -wait, it also waits
// until the change is in force and prints the progress.
func (o *operatorCommand) reportOutcome(ctx context.Context, c *oper.Client, subject string, outcome oper.OutcomeRecord) error {
	if o.json && !o.wait {
		return o.printJSON(outcome)
	}
	if !o.json {
		o.printf("%s: accepted at revision %d\n", subject, outcome.Revision)
	}
	if !o.wait {
		return nil
	}
	for {
		progress, err := c.InForce(ctx, outcome.Revision, stepTimeout)
		if err != nil {
			return fmt.Errorf("wait until revision %d is in force: %w", outcome.Revision, err)
		}
		if progress.InForce && o.json {
			return o.printJSON(progress)
		}
		if progress.InForce {
			o.printf("%s: in force everywhere\n", subject)
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("revision %d is not in force at %s: %w", outcome.Revision, strings.Join(progress.Behind, ", "), ctx.Err())
		}
		if !o.json {
			o.printf("%s: waiting for %s\n", subject, strings.Join(progress.Behind, ", "))
		}
	}
}

// parseAction returns the first argument, which must be one of the actions, and the
// remaining arguments.
func parseAction(f *flag.FlagSet, actions ...string) (string, []string, error) {
	args := f.Args()
	if len(args) == 0 {
		return "", nil, fmt.Errorf("%w: want one of %s", errUsage, strings.Join(actions, ", "))
	}
	for _, a := range actions {
		if args[0] == a {
			return a, args[1:], nil
		}
	}
	return "", nil, fmt.Errorf("%w: %q is not one of %s", errUsage, args[0], strings.Join(actions, ", "))
}

// checkArgs returns a usage error unless there is one argument for each name.
func checkArgs(args []string, names ...string) error {
	if len(args) != len(names) {
		return fmt.Errorf("%w: want the arguments %s", errUsage, strings.Join(names, " "))
	}
	return nil
}
