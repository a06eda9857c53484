// Command stand3 runs one case of the third review: it starts the programs of the
// system with stand-ins of the platform, the servers, the operator and the clients,
// and judges what they see.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// trial is one run of a case.
type trial struct {
	ctx      context.Context
	network  *network
	record   *record
	platform *platform
	fleet    *fleet
	clients  *clients
	trouble  bool
}

// cases are the cases by name. Each returns the violations of its rule.
var cases = map[string]func(*trial) ([]string, error){
	"stale-entry":  staleEntry,
	"cold-restart": coldRestart,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE ROOT DIRECTORY")
		return exitNotRun
	}
	violations, err := runCase(cases[os.Args[1]], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}

func runCase(c func(*trial) ([]string, error), root, directory string) ([]string, error) {
	r, err := newRecord(directory)
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Println("logs:", temporary)
	}
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	address := n.at(n.machine(), portPlatform)
	p, err := startPlatform(address, r)
	if err != nil {
		return nil, err
	}
	defer p.stop()
	root, err = filepath.Abs(root)
	if err != nil {
		return nil, fmt.Errorf("root: %w", err)
	}
	f := newFleet(root, temporary, n, r, address, 5, 4)
	defer f.stop()
	t := &trial{
		ctx: ctx, network: n, record: r, platform: p, fleet: f, clients: newClients(f), trouble: os.Getenv("TROUBLE") != "0",
	}
	r.add("trouble: %t", t.trouble)
	violations, err := c(t)
	for i, v := range violations {
		if i < 20 {
			r.say("broken: %s", v)
		} else {
			r.add("broken: %s", v)
		}
	}
	r.say("answers by status (0: none): %v", t.clients.statuses())
	r.say("%d violations", len(violations))
	if closeErr := r.close(); err == nil {
		err = closeErr
	}
	return violations, err
}

// begin starts the system with the given servers and waits until it serves.
func (t *trial) begin(service string, servers []*server) error {
	t.list(servers)
	if err := t.fleet.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(t.ctx, 20*time.Second)
	defer cancel()
	if err := t.fleet.put(ctx, configuration(1, service)); err != nil {
		return err
	}
	if err := t.fleet.awaitReady(ctx); err != nil {
		return err
	}
	// The list is read and all hosts have heard of each other.
	t.sleep(3 * time.Second)
	t.record.begin()
	return nil
}

// list shows the platform's own entries of the servers.
func (t *trial) list(servers []*server, changed ...entry) {
	t.platform.set(entriesOf(servers, changed...))
}

// entriesOf returns the entries of the servers by zone. A changed entry takes the
// place of the one with its ID.
func entriesOf(servers []*server, changed ...entry) map[string][]entry {
	out := map[string][]entry{}
	for _, s := range servers {
		e := s.listed()
		for _, c := range changed {
			if c["Id"] == e["Id"] {
				e = c
			}
		}
		out[s.zone] = append(out[s.zone], e)
	}
	return out
}

func (t *trial) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-t.ctx.Done():
	}
}

// sleepUntil waits until a time after the start of the traffic.
func (t *trial) sleepUntil(seconds float64) {
	t.sleep(time.Duration((seconds - t.record.seconds(time.Now())) * float64(time.Second)))
}
