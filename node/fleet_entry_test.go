package node_test

import (
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"rhubarbrack/clock"
	"rhubarbrack/lister"
	"rhubarbrack/oper"
	"rhubarbrack/stand"
)

// Guards against requests that run twice, run without a valid key or are aborted
// when entry hosts and targets fail.
func TestEntryFailures(t *testing.T) {
	cases := []struct {
		name    string
		entries int
		run     func(f *fleet)
	}{
		{name: "resends through every host", entries: 3, run: resends},
		{name: "key withdrawn at a frozen host", entries: 2, run: keyWithdrawnAtFrozenHost},
		{name: "role owners killed under load", entries: 4, run: ownersKilled},
		{name: "planned stop under load", entries: 3, run: plannedStop},
		{name: "leaving target", entries: 2, run: leavingTarget},
		{name: "drained target", entries: 2, run: drainedTarget},
		{name: "request that crashes targets", entries: 2, run: crashingRequest},
		{name: "download from a target that breaks", entries: 2, run: brokenDownload},
		{name: "control majority lost", entries: 2, run: majorityLost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tc.run(newFleet(t, 3, tc.entries))
		})
	}
}

func (f *fleet) depositRequest(idempotencyKey string) request {
	return request{method: http.MethodPost, service: "commissions", path: "/deposits", key: f.keys["carvers"], idempotencyKey: idempotencyKey, body: "amount=50"}
}

func (f *fleet) progressRequest() request {
	return request{service: "commissions", path: "/progress", key: f.keys["carvers"]}
}

func resends(f *fleet) {
	const requests, copies = 20, 6
	var wg sync.WaitGroup
	for i := range requests {
		idempotencyKey := fmt.Sprintf("deposit-%d", i)
		for j := range copies {
			wg.Go(func() {
				got := f.send(f.entries[j%len(f.entries)], f.depositRequest(idempotencyKey))
				if got.err != nil || got.outcome == "not-run" {
					f.t.Errorf("copy %d of %s: %+v", j, idempotencyKey, got)
				}
			})
		}
	}
	wg.Wait()
	for i := range requests {
		idempotencyKey := fmt.Sprintf("deposit-%d", i)
		if n := f.countRuns(idempotencyKey); n != 1 {
			f.t.Errorf("%s ran %d times, want 1", idempotencyKey, n)
		}
		got := f.send(f.entries[i%len(f.entries)], f.depositRequest(idempotencyKey))
		if got.status != http.StatusOK || got.reason != "replayed" {
			f.t.Errorf("retry of %s: status %d reason %q, want the recorded response", idempotencyKey, got.status, got.reason)
		}
	}
}

func keyWithdrawnAtFrozenHost(f *fleet) {
	id := f.issueKey("schools")
	f.waitReady()
	frozen := f.entries[1]
	r := request{service: "commissions", path: "/progress", key: f.keys["schools"]}
	if got := f.send(frozen, r); got.status != http.StatusOK {
		f.t.Fatalf("before the withdrawal: %+v", got)
	}
	f.signal(frozen, syscall.SIGSTOP)
	client := f.client(f.controls...)
	// This change completes the poll that the suspended host has open, so that
	// the poll does not deliver the withdrawal.
	_, err := f.putTeam(client, 208, f.teamDocument(client).Revision, "before-withdrawal")
	f.must(err)
	out, err := client.WithdrawKey(f.context(), oper.NewRequestID(), id)
	f.must(err)
	f.waitUntil("withdrawal in force", func() bool {
		progress, err := client.InForce(f.context(), out.Revision, 0)
		return err == nil && progress.InForce
	})
	f.signal(frozen, syscall.SIGCONT)
	for range 20 {
		if got := f.send(frozen, r); got.outcome == "ran" {
			f.t.Fatalf("withdrawn key was admitted after the withdrawal was in force: %+v", got)
		}
	}
	f.waitUntil("resumed host serves again", func() bool { return f.send(frozen, f.progressRequest()).status == http.StatusOK })
	if got := f.send(frozen, r); got.outcome != "not-run" || got.reason != "key-withdrawn" {
		f.t.Errorf("withdrawn key at the resumed host: %+v, want key-withdrawn", got)
	}
}

// Guards against connections that work only in plain text, and against accepting
// peers without a certificate.
func TestTLS(t *testing.T) {
	f := newFleet(t, 3, 2, withTLS)
	f.warmUp()
	if got := f.send(f.entries[0], f.depositRequest("tls")); got.status != http.StatusOK {
		t.Errorf("deposit over TLS: %+v", got)
	}
	for _, p := range append(append([]*process(nil), f.controls...), f.entries...) {
		conn, err := tls.Dial("tcp", p.addresses["peers"], f.clientTLS)
		if err == nil {
			// With TLS 1.3 the rejection is reported by the first read.
			_, err = conn.Read(make([]byte, 1))
		}
		if err == nil {
			t.Errorf("%s accepted a peer without a certificate", p.name)
		}
	}
}

// startLoad sends requests to the given hosts until stop is closed, and passes
// each result to check. One request in four is a deposit.
func (f *fleet) startLoad(stop <-chan struct{}, hosts func() []*process, check func(idempotencyKey string, got callResult)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				list := hosts()
				p := list[(worker+n)%len(list)]
				idempotencyKey := ""
				r := f.progressRequest()
				if n%4 == 0 {
					idempotencyKey = fmt.Sprintf("load-%d-%d", worker, n)
					r = f.depositRequest(idempotencyKey)
				}
				check(idempotencyKey, f.send(p, r))
			}
		})
	}
	return &wg
}

func ownersKilled(f *fleet) {
	status, err := f.client(f.controls...).Status(f.context())
	f.must(err)
	held := make(map[string]int)
	for _, r := range status.Roles {
		held[r.Host]++
	}
	var killed *process
	var remaining []*process
	for _, p := range f.entries {
		if killed == nil && held[p.name] > 0 {
			killed = p
		} else {
			remaining = append(remaining, p)
		}
	}
	var mutex sync.Mutex
	outcomes := make(map[string]string)
	notServed, total := 0, 0
	stop := make(chan struct{})
	wg := f.startLoad(stop, func() []*process { return remaining }, func(idempotencyKey string, got callResult) {
		mutex.Lock()
		defer mutex.Unlock()
		total++
		if got.err != nil || got.status != http.StatusOK {
			notServed++
		}
		if idempotencyKey != "" {
			outcomes[idempotencyKey] = got.outcome
		}
	})
	f.waitUntil("load runs", func() bool { mutex.Lock(); defer mutex.Unlock(); return total > 100 })
	f.kill(killed)
	f.waitUntil("roles moved", func() bool {
		status, err := f.client(f.controls...).Status(f.context())
		f.must(err)
		for _, r := range status.Roles {
			if r.Host == killed.name || r.Host == "" {
				return false
			}
		}
		return true
	})
	mutex.Lock()
	before := total
	mutex.Unlock()
	f.waitUntil("load continues", func() bool { mutex.Lock(); defer mutex.Unlock(); return total > before+100 })
	close(stop)
	wg.Wait()
	f.t.Logf("%d requests, %d without a response from a target", total, notServed)
	for idempotencyKey, outcome := range outcomes {
		n := f.countRuns(idempotencyKey)
		if n > 1 || outcome == "not-run" && n > 0 || outcome == "ran" && n != 1 {
			f.t.Errorf("%s: outcome %s, ran %d times", idempotencyKey, outcome, n)
		}
	}
}

// lookup returns the body of a lookup response of p.
func (f *fleet) lookup(p *process) string {
	f.t.Helper()
	response, err := http.Get("http://" + p.addresses["callers"] + "/.rhubarbrack/lookup")
	f.must(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	f.must(err)
	return string(body)
}

func plannedStop(f *fleet) {
	leaving, remaining := f.entries[1], []*process{f.entries[0], f.entries[2]}
	var mutex sync.Mutex
	total, removed := 0, false
	stop := make(chan struct{})
	hosts := func() []*process {
		mutex.Lock()
		defer mutex.Unlock()
		if removed {
			return remaining
		}
		return f.entries
	}
	wg := f.startLoad(stop, hosts, func(idempotencyKey string, got callResult) {
		mutex.Lock()
		defer mutex.Unlock()
		total++
		if got.err != nil || got.status != http.StatusOK {
			f.t.Errorf("request %q during a planned stop: %+v", idempotencyKey, got)
		}
	})
	f.waitUntil("load runs", func() bool { mutex.Lock(); defer mutex.Unlock(); return total > 100 })
	f.signal(leaving, syscall.SIGTERM)
	f.waitUntil("host removed from look-ups", func() bool { return !strings.Contains(f.lookup(remaining[0]), leaving.name) })
	mutex.Lock()
	removed = true
	mutex.Unlock()
	<-leaving.exited
	close(stop)
	wg.Wait()
	if code := leaving.command.ProcessState.ExitCode(); code != 0 {
		f.t.Errorf("the host exited with code %d, want 0", code)
	}
}

// activeTarget returns a target that has run requests.
func (f *fleet) activeTarget() *stand.Target {
	f.t.Helper()
	for _, target := range f.targets {
		stats, err := target.Stats(f.context())
		f.must(err)
		if stats.Ran() > 0 {
			return target
		}
	}
	f.t.Fatal("no target ran a request")
	return nil
}

// checkReceivesNothing checks that a target runs no further requests while every
// entry host receives some.
func (f *fleet) checkReceivesNothing(target *stand.Target) {
	f.t.Helper()
	before, err := target.Stats(f.context())
	f.must(err)
	for range 50 {
		for _, p := range f.entries {
			if got := f.send(p, f.progressRequest()); got.status != http.StatusOK {
				f.t.Errorf("progress request: %+v", got)
			}
		}
	}
	after, err := target.Stats(f.context())
	f.must(err)
	if after.Ran() != before.Ran() {
		f.t.Errorf("target ran %d requests after it stopped receiving them", after.Ran()-before.Ran())
	}
}

func (f *fleet) warmUp() {
	for range 20 {
		for _, p := range f.entries {
			if got := f.send(p, f.progressRequest()); got.status != http.StatusOK {
				f.t.Fatalf("progress request: %+v", got)
			}
		}
	}
}

func leavingTarget(f *fleet) {
	f.warmUp()
	target := f.activeTarget()
	f.platform.SetState(target.ID(), lister.Leaving)
	target.SetDraining(true)
	f.waitIdle(target)
	f.checkReceivesNothing(target)
}

// waitIdle sends rounds of requests to every entry host until a target runs none
// of a round.
func (f *fleet) waitIdle(target *stand.Target) {
	f.t.Helper()
	last := -1
	f.waitUntil("target receives no requests", func() bool {
		for range 5 {
			for _, p := range f.entries {
				f.send(p, f.progressRequest())
			}
		}
		now, err := target.Stats(f.context())
		f.must(err)
		same := now.Ran() == last
		last = now.Ran()
		return same
	})
}

func drainedTarget(f *fleet) {
	f.warmUp()
	target := f.activeTarget()
	client := f.client(f.controls...)
	out, err := client.PlanDrain(f.context(), oper.NewRequestID(), oper.DrainRecord{
		ID: "d1", Scope: "target", Name: string(target.ID()), From: clock.Wall().Now(),
	})
	f.must(err)
	f.waitUntil("drain in force", func() bool {
		progress, err := client.InForce(f.context(), out.Revision, 0)
		return err == nil && progress.InForce
	})
	f.waitIdle(target)
	f.checkReceivesNothing(target)
}

func crashingRequest(f *fleet) {
	for range 6 {
		for _, p := range f.entries {
			got := f.send(p, request{
				service: "commissions", path: "/progress", key: f.keys["carvers"],
				header: http.Header{stand.HeaderCrash: {"1"}},
			})
			if got.outcome == "ran" {
				f.t.Errorf("crashing request: %+v", got)
			}
		}
	}
	crashes := 0
	for _, target := range f.targets {
		stats, err := target.Stats(f.context())
		f.must(err)
		crashes += stats.Crashes()
	}
	if crashes > 2 {
		f.t.Errorf("one request crashed %d targets, want 2 at most", crashes)
	}
}

func brokenDownload(f *fleet) {
	const size = 4 << 20
	want := sha256.New()
	if _, err := io.Copy(want, stand.Content("rigging.pdf", size)); err != nil {
		f.t.Fatal(err)
	}
	for _, target := range f.targets {
		target.InterruptDownloads(size / 3)
	}
	r := request{service: "commissions", path: fmt.Sprintf("/files/%d/rigging.pdf", size), key: f.keys["carvers"]}
	completed := 0
	for range 8 {
		got := f.send(f.entries[0], r)
		if got.err != nil {
			continue
		}
		completed++
		if sum := sha256.Sum256(got.body); string(sum[:]) != string(want.Sum(nil)) {
			f.t.Errorf("response without an error has %d bytes and the wrong digest", len(got.body))
		}
	}
	if completed == 0 {
		f.t.Error("no download completed")
	}
}

func majorityLost(f *fleet) {
	f.kill(f.controls[0])
	f.kill(f.controls[1])
	f.waitUntil("keyed routes are refused", func() bool {
		got := f.send(f.entries[0], f.progressRequest())
		return got.outcome == "not-run" && got.reason == "view-stale"
	})
	f.restart(f.controls[0], "control")
	f.waitUntil("keyed routes are served again", func() bool {
		return f.send(f.entries[0], f.progressRequest()).status == http.StatusOK
	})
}
