package node_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"rhubarbrack/oper"
)

// leader returns the control host that leads.
func (f *fleet) leader() *process {
	f.t.Helper()
	status, err := f.client(f.controls...).Status(f.context())
	f.must(err)
	for _, c := range status.Controls {
		for _, p := range f.controls {
			if c.Role == "leader" && c.Host == p.name {
				return p
			}
		}
	}
	f.t.Fatalf("no leader in %+v", status.Controls)
	return nil
}

// controlsExcept returns all control hosts but one.
func (f *fleet) controlsExcept(excluded *process) []*process {
	var out []*process
	for _, p := range f.controls {
		if p != excluded {
			out = append(out, p)
		}
	}
	return out
}

// putTeam replaces the document of team carvers and returns the outcome.
func (f *fleet) putTeam(client *oper.Client, rate int, expected uint64, request string) (oper.OutcomeRecord, error) {
	text := fmt.Sprintf("kind: team\nname: carvers\nrate: %d\nburst: 400\n", rate)
	return client.PutDocument(f.context(), request, []byte(text), expected)
}

func (f *fleet) teamDocument(client *oper.Client) oper.DocumentRecord {
	f.t.Helper()
	d, err := client.Document(f.context(), "team", "carvers")
	f.must(err)
	return d
}

// Guards against control hosts that lose or revert an accepted change, or return
// an outdated one, when processes are killed or suspended or lose their disks.
func TestControlFailures(t *testing.T) {
	cases := []struct {
		name string
		run  func(f *fleet)
	}{
		{name: "leader killed", run: leaderKilled},
		{name: "leader frozen and thawed", run: leaderFrozen},
		{name: "disk lost, host replaced, another host killed", run: diskLost},
		{name: "all killed and restarted", run: allRestarted},
		{name: "operators race and resend", run: operatorsRace},
		{name: "planned stop of the leader", run: leaderStopped},
		{name: "leader removed for a host that no settings name", run: leaderRemoved},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tc.run(newFleet(t, 3, 1))
		})
	}
}

func leaderKilled(f *fleet) {
	before, err := f.putTeam(f.client(f.controls...), 201, f.teamDocument(f.client(f.controls...)).Revision, "first")
	f.must(err)
	old := f.leader()
	f.kill(old)
	remaining := f.client(f.controlsExcept(old)...)
	if got := f.teamDocument(remaining); got.Revision != before.Revision {
		f.t.Errorf("after the kill the team is at revision %d, want %d", got.Revision, before.Revision)
	}
	after, err := f.putTeam(remaining, 202, before.Revision, "second")
	f.must(err)
	f.restart(old, "control")
	f.waitUntil("restarted host holds the latest change", func() bool {
		return f.teamDocument(f.client(old)).Revision == after.Revision
	})
}

func leaderFrozen(f *fleet) {
	old := f.leader()
	revision := f.teamDocument(f.client(f.controls...)).Revision
	f.signal(old, syscall.SIGSTOP)
	remaining := f.client(f.controlsExcept(old)...)
	after, err := f.putTeam(remaining, 203, revision, "while-frozen")
	f.must(err)
	f.signal(old, syscall.SIGCONT)
	// The resumed host must not return outdated state, not even in its first
	// response.
	if got := f.teamDocument(f.client(old)); got.Revision != after.Revision {
		f.t.Errorf("resumed host returns revision %d, want %d", got.Revision, after.Revision)
	}
}

func diskLost(f *fleet) {
	old := f.leader()
	put, err := f.putTeam(f.client(f.controls...), 204, f.teamDocument(f.client(f.controls...)).Revision, "before-loss")
	f.must(err)
	f.kill(old)
	f.must(os.RemoveAll(f.dataDirectory(old)))
	f.restart(old, "control")
	// It may have voted under its name before the loss, so it must exit instead
	// of joining with an empty disk.
	<-old.exited
	remaining := f.controlsExcept(old)
	spare := &process{name: "control-9", addresses: f.freeAddresses("peers", "operators")}
	f.startControl(spare)
	client := f.client(remaining...)
	f.must(client.AddControlHost(f.context(), spare.name, spare.addresses["peers"]))
	f.must(client.RemoveControlHost(f.context(), old.name))
	f.controls = append(f.controls, spare)
	f.kill(remaining[0])
	survivors := f.client(remaining[1], spare)
	if got := f.teamDocument(survivors); got.Revision != put.Revision {
		f.t.Errorf("after the second failure the team is at revision %d, want %d", got.Revision, put.Revision)
	}
	_, err = f.putTeam(survivors, 205, put.Revision, "after-loss")
	f.must(err)
}

func allRestarted(f *fleet) {
	put, err := f.putTeam(f.client(f.controls...), 206, f.teamDocument(f.client(f.controls...)).Revision, "before-restart")
	f.must(err)
	for _, p := range f.controls {
		f.kill(p)
	}
	for _, p := range f.controls {
		f.restart(p, "control")
	}
	if got := f.teamDocument(f.client(f.controls...)); got.Revision != put.Revision || !strings.Contains(got.Source, "206") {
		f.t.Errorf("after the restart the team is %+v, want revision %d", got, put.Revision)
	}
}

func operatorsRace(f *fleet) {
	client := f.client(f.controls...)
	revision := f.teamDocument(client).Revision
	const operators = 8
	outcomes := make([]oper.OutcomeRecord, operators)
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			outcomes[i], errs[i] = f.putTeam(client, 300+i, revision, fmt.Sprintf("race-%d", i))
		})
	}
	wg.Wait()
	winner := -1
	for i := range operators {
		switch {
		case errs[i] == nil && winner < 0:
			winner = i
		case errs[i] == nil:
			f.t.Errorf("operators %d and %d both replaced revision %d", winner, i, revision)
		case !errors.Is(errs[i], oper.ErrConflict):
			f.t.Errorf("operator %d: %v, want a conflict", i, errs[i])
		}
	}
	if winner < 0 {
		f.t.Fatal("no operator replaced the revision")
	}
	for i := range operators {
		if errs[i] != nil && outcomes[i].Current != outcomes[winner].Revision {
			f.t.Errorf("conflict of operator %d names revision %d, want %d", i, outcomes[i].Current, outcomes[winner].Revision)
		}
	}
	f.kill(f.leader())
	retry, err := f.putTeam(client, 300+winner, revision, fmt.Sprintf("race-%d", winner))
	f.must(err)
	if !retry.Resent || retry.Revision != outcomes[winner].Revision {
		f.t.Errorf("retry through another leader = %+v, want the first outcome %+v", retry, outcomes[winner])
	}
}

func leaderStopped(f *fleet) {
	old := f.leader()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f.signal(old, syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-ctx.Done():
		f.t.Fatal("the leader did not stop")
	}
	if code := old.command.ProcessState.ExitCode(); code != 0 {
		f.t.Errorf("the leader exited with code %d, want 0", code)
	}
	_, err := f.putTeam(f.client(f.controlsExcept(old)...), 207, f.teamDocument(f.client(f.controlsExcept(old)...)).Revision, "after-stop")
	f.must(err)
}

func leaderRemoved(f *fleet) {
	spare := &process{name: "control-9", addresses: f.freeAddresses("peers", "operators")}
	f.startControl(spare)
	client := f.client(f.controls...)
	f.must(client.AddControlHost(f.context(), spare.name, spare.addresses["peers"]))
	old := f.leader()
	f.must(client.RemoveControlHost(f.context(), old.name))
	f.kill(old)
	remaining := f.controlsExcept(old)
	f.controls = append(f.controls, spare)
	f.kill(remaining[0])
	// Whichever of the two hosts leads, the other one and the entry host must
	// find the leader.
	for _, p := range []*process{remaining[1], spare} {
		put, err := f.putTeam(f.client(p), 400, f.teamDocument(f.client(p)).Revision, "through-"+p.name)
		f.must(err)
		f.waitUntil("change in force at the entry host", func() bool {
			progress, err := f.client(p).InForce(f.context(), put.Revision, 0)
			return err == nil && progress.InForce
		})
	}
}
