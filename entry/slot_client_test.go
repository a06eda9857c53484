package entry

import (
	"context"
	"errors"
	"math/rand"
	"runtime"
	"sync"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/steer"
)

// Guards against failing slot requests and leaked slots when a single call
// between hosts is lost, duplicated or late.
func TestDisturbedCalls(t *testing.T) {
	cases := []struct {
		name   string
		fault  fault
		method string
	}{
		{name: "no fault", fault: deliver},
		{name: "request lost", fault: loseCall, method: slotAcquireMethod},
		{name: "grant lost", fault: loseReply, method: slotAcquireMethod},
		{name: "request duplicated", fault: duplicateCall, method: slotAcquireMethod},
		{name: "request late", fault: delayCall, method: slotAcquireMethod},
		{name: "release lost", fault: loseCall, method: slotReleaseMethod},
		{name: "reply to release lost", fault: loseReply, method: slotReleaseMethod},
		{name: "release duplicated", fault: duplicateCall, method: slotReleaseMethod},
		{name: "release late", fault: delayCall, method: slotReleaseMethod},
		{name: "report lost", fault: loseCall, method: slotOpenMethod},
		{name: "report duplicated", fault: duplicateCall, method: slotOpenMethod},
		{name: "report late", fault: delayCall, method: slotOpenMethod},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 2, firstCalls(tc.fault, tc.method, 2))
			f.setTargets(1)
			f.assign(0)
			for range 3 {
				var err error
				done := f.acquire(f.ctx, 1, f.slotRequest(time.Hour))
				f.advanceUntil("the request is decided", received(done, &err))
				if err != nil {
					t.Fatalf("Acquire: %v", err)
				}
			}
			f.advanceUntil("all slots are free", f.idle)
		})
	}
}

// Guards against refusals without a reason, and against slots held for callers
// that have cancelled.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		slots   []int
		prepare func(f *fleet)
		queued  bool
		due     bool
		atOnce  bool
		cancel  bool
		reason  steer.Reason
	}{
		{name: "all slots in use", slots: []int{1}, prepare: func(f *fleet) {
			if _, err := f.clients[0].Acquire(f.ctx, f.slotRequest(time.Hour)); err != nil {
				f.t.Fatal(err)
			}
		}, queued: true, due: true, reason: steer.ReasonDeadline},
		{name: "no target", slots: []int{}, prepare: func(*fleet) {}, atOnce: true, reason: steer.ReasonNoTarget},
		{name: "no owner", slots: []int{1}, prepare: func(f *fleet) {
			f.net.mutex.Lock()
			defer f.net.mutex.Unlock()
			f.net.faults = firstCalls(loseCall, slotAcquireMethod, 1<<30)
		}, reason: ReasonNoOwner},
		{name: "lease not fresh", slots: []int{1}, prepare: func(f *fleet) {
			f.clock.Advance(25 * time.Hour)
		}, reason: ReasonNoOwner},
		{name: "caller cancelled", slots: []int{1}, prepare: func(f *fleet) {
			if _, err := f.clients[0].Acquire(f.ctx, f.slotRequest(time.Hour)); err != nil {
				f.t.Fatal(err)
			}
		}, queued: true, cancel: true, atOnce: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 2, firstCalls(deliver, "", 0))
			f.setTargets(tc.slots...)
			f.assign(0)
			f.advanceUntil("the owner is open", func() bool { return f.status().IsOpen() })
			tc.prepare(f)
			ctx, cancel := context.WithCancel(f.ctx)
			defer cancel()
			done := f.acquire(ctx, 1, f.slotRequest(100*time.Millisecond))
			for tc.queued && f.status().Waiting() == 0 {
				runtime.Gosched()
			}
			if tc.cancel {
				cancel()
			}
			var err error
			if tc.due {
				// A direct message to the owner lets it refuse the request
				// before the client's own timeout does.
				f.clock.Advance(110 * time.Millisecond)
				f.owners[0].ref.Tell(slotTicked{})
			}
			if tc.atOnce || tc.due {
				err = <-done
			} else {
				f.advanceUntil("the request is decided", received(done, &err))
			}
			var refused *SlotError
			if tc.cancel && !errors.Is(err, context.Canceled) || !tc.cancel && !errors.As(err, &refused) {
				t.Fatalf("Acquire error = %v", err)
			}
			if !tc.cancel && refused.Reason() != tc.reason {
				t.Errorf("reason = %s, want %s", refused.Reason(), tc.reason)
			}
			f.advanceUntil("the request is withdrawn", func() bool { return f.status().Waiting() == 0 })
		})
	}
}

// load counts the running requests of each target.
type load struct {
	mutex     sync.Mutex
	running   map[ident.Target]int
	slots     map[ident.Target]int
	overloads int
	ran       int
}

func (l *load) change(t ident.Target, by int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.running[t] += by
	if by > 0 {
		l.ran++
	}
	if l.running[t] > l.slots[t] {
		l.overloads++
	}
}

// Guards against overloaded targets and leaked slots while owners are replaced
// and a fifth of all calls is lost, duplicated or late.
func TestOwnersReplacedUnderLoad(t *testing.T) {
	f := newFleet(t, 3, func(r *rand.Rand, _ string) fault { return fault(max(0, r.Intn(25)-20)) })
	l := &load{running: map[ident.Target]int{}, slots: map[ident.Target]int{"t0": 1, "t1": 2, "t2": 3}}
	f.setTargets(1, 2, 3)
	f.assign(0)
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			for range 15 {
				g, err := f.clients[i%3].Acquire(f.ctx, f.slotRequest(time.Hour))
				if err != nil {
					t.Errorf("Acquire: %v", err)
					return
				}
				l.change(g.Target(), 1)
				_, _ = f.clients[i%3].Usage(f.ctx)
				l.change(g.Target(), -1)
				f.clients[i%3].Release(g, steer.NewResult(steer.OutcomeOK, time.Millisecond))
			}
		})
	}
	done := make(chan error, 1)
	go func() {
		callers.Wait()
		done <- nil
	}()
	var err error
	ended, steps := received(done, &err), 0
	f.advanceUntil("all callers are served", func() bool {
		if steps++; steps%200 == 0 {
			f.assign((f.owner + 1) % 3)
		}
		_ = f.status()
		return ended()
	})
	f.advanceUntil("all slots are free", f.idle)
	if l.overloads > 0 || l.ran != 24*15 {
		t.Errorf("targets were above their slots %d times, %d requests ran, want 0 and %d", l.overloads, l.ran, 24*15)
	}
	t.Logf("%d owners", f.epoch)
}

// Guards against a caller that retries a crashing request before the mark is
// in force, and against marks that are lost when their replication fails.
func TestCrashIsMarkedBeforeTheReply(t *testing.T) {
	for _, tc := range []struct {
		name     string
		failures int
	}{{name: "accepted at once"}, {name: "accepted at the third attempt", failures: 2}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 1, firstCalls(deliver, "", 0))
			f.recorder.failures = tc.failures
			f.setTargets(1)
			f.assign(0)
			done := make(chan error, 1)
			go func() {
				g, err := f.clients[0].Acquire(f.ctx, f.slotRequest(time.Hour))
				if err == nil {
					err = f.clients[0].ReleaseAndWait(f.ctx, g, steer.NewResult(steer.OutcomeCrashed, 0))
				}
				done <- err
			}()
			var err error
			f.advanceUntil("the release is accepted", received(done, &err))
			if err != nil {
				t.Fatal(err)
			}
			f.recorder.mutex.Lock()
			defer f.recorder.mutex.Unlock()
			if len(f.recorder.marks) != 1 || f.recorder.marks[0].Crashes() != 1 || f.recorder.failures != 0 {
				t.Errorf("marks = %v", f.recorder.marks)
			}
		})
	}
}
