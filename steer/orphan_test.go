package steer

import (
	"reflect"
	"testing"
	"time"
)

// newTakeoverFixture returns a pool whose owner has just taken over while one
// of two holders cannot report. Service s has target t0, service slow has
// target u0.
func newTakeoverFixture(capacity int, services ...Service) *fixture {
	f := &fixture{Pool: New("r1", WithTakeoverTime(start)), now: start}
	f.SetCapacity(f.now, capacity)
	f.SetServices(f.now, services)
	f.SetTargets(f.now, []Target{
		NewTarget("t0", "s", "", "z0", 2, StateLive), NewTarget("u0", "slow", "", "z0", 2, StateLive),
	})
	f.ExpectHolders([]Holder{NewHolder("h", 1), NewHolder("cut", 1)})
	f.ApplyHoldings(f.now, NewHoldings(NewHolder("h", 1), 1, 0, nil, nil))
	f.TryOpen(f.now)
	return f
}

func (f *fixture) acquireSlow(within time.Duration) string {
	f.number++
	return describe(f.Acquire(f.now, NewSlotRequest(f.id(f.number), "slow", "team", reads, f.now.Add(within))))
}

// Guards against a pool that stays closed for a holder that cannot report, and
// against one that opens while requests of that holder may still run. Each case
// checks one rule for holders that are partitioned from the owner.
func TestHolderCutOff(t *testing.T) {
	const second = time.Second
	both := []Service{NewService("s", 0, 0, WithTimeout(second)), NewService("slow", 0, 0, WithTimeout(5*second))}
	cases := []struct {
		name     string
		capacity int
		services []Service
		run      func(f *fixture) []string
		want     []string
	}{
		{name: "a service opens after its timeout, the others stay closed", services: both, run: func(f *fixture) []string {
			out := []string{f.acquire(reads, time.Minute), f.acquireSlow(time.Minute)}
			out = append(out, f.advance(second+timeoutMargin-1)...)
			return append(append(out, "due"), f.advance(1)...)
		}, want: []string{"1 queued", "2 queued", "due", "1 t0"}},
		{name: "the pool opens after the longest timeout", services: both, run: func(f *fixture) []string {
			out := []string{f.acquireSlow(time.Minute)}
			out = append(out, f.advance(5*second+timeoutMargin-1)...)
			out = append(append(out, "due"), f.advance(1)...)
			if !f.IsOpen() {
				out = append(out, "closed")
			}
			return out
		}, want: []string{"1 queued", "due", "1 u0"}},
		{name: "a bound on the region opens all services together", capacity: 2, services: both, run: func(f *fixture) []string {
			out := []string{f.acquire(reads, time.Minute)}
			out = append(out, f.advance(5*second+timeoutMargin-1)...)
			return append(append(out, "due"), f.advance(1)...)
		}, want: []string{"1 queued", "due", "1 t0"}},
		{name: "an unknown timeout opens by reports only", services: []Service{NewService("s", 0, 0)}, run: func(f *fixture) []string {
			out := append([]string{f.acquire(reads, 2*time.Hour)}, f.advance(time.Hour)...)
			f.ApplyHoldings(f.now, NewHoldings(NewHolder("cut", 1), 1, 0, nil, nil))
			return append(append(out, "reported"), describeAll(f.TryOpen(f.now))...)
		}, want: []string{"1 queued", "reported", "1 t0"}},
		{name: "a shorter timeout does not bind earlier requests", services: both, run: func(f *fixture) []string {
			f.SetServices(f.now, []Service{NewService("slow", 0, 0, WithTimeout(second))})
			out := []string{f.acquireSlow(time.Minute)}
			out = append(out, f.advance(5*second+timeoutMargin-1)...)
			return append(append(out, "due"), f.advance(1)...)
		}, want: []string{"1 queued", "due", "1 u0"}},
		{name: "all reports open the pool at once", services: both, run: func(f *fixture) []string {
			out := []string{f.acquire(reads, time.Minute), f.acquireSlow(time.Minute)}
			f.ApplyHoldings(f.now, NewHoldings(NewHolder("cut", 1), 1, 0, nil, nil))
			return append(out, describeAll(f.TryOpen(f.now))...)
		}, want: []string{"1 queued", "2 queued", "1 t0", "2 u0"}},
		{name: "an opened service refuses a request without a target", services: both, run: func(f *fixture) []string {
			f.advance(second + timeoutMargin)
			return []string{f.acquire(reads, time.Minute, WithAvoid("t0"))}
		}, want: []string{"1 no-target"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.run(newTakeoverFixture(tc.capacity, tc.services...)); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a slot that is granted again while the request of an ended
// process may still run at the target, and against one that stays in use after
// the request must have ended.
func TestOrphanedGrants(t *testing.T) {
	const second = time.Second
	cases := []struct {
		name    string
		timeout time.Duration
		run     func(f *fixture) []string
		want    []string
	}{
		{name: "kept until the timeout since the grant", timeout: 5 * second, run: func(f *fixture) []string {
			f.advance(2 * second)
			f.ExpireProcess(f.now, "h", 1)
			out := []string{f.acquireAfterRestart(time.Minute)}
			out = append(out, f.advance(3*second+timeoutMargin-1)...)
			return append(append(out, "due"), f.advance(1)...)
		}, want: []string{"1 queued", "due", "1 t0"}},
		{name: "freed when the timeout has passed before", timeout: second, run: func(f *fixture) []string {
			f.advance(second + timeoutMargin)
			f.ExpireProcess(f.now, "h", 1)
			return []string{f.acquireAfterRestart(time.Minute)}
		}, want: []string{"1 t0"}},
		{name: "freed when the target is idle afterwards", timeout: 5 * second, run: func(f *fixture) []string {
			f.ExpireProcess(f.now, "h", 1)
			out := []string{f.acquireAfterRestart(time.Minute)}
			out = append(out, describeAll(f.Observe(f.now, NewProbeReport("t0", f.now.Add(1), true, 0, false, WithIdleAt(f.now))))...)
			return append(append(out, "later"),
				describeAll(f.Observe(f.now, NewProbeReport("t0", f.now.Add(2), true, 0, false, WithIdleAt(f.now.Add(1)))))...)
		}, want: []string{"1 queued", "later", "1 t0"}},
		{name: "a report without load says nothing", timeout: 5 * second, run: func(f *fixture) []string {
			f.ExpireProcess(f.now, "h", 1)
			out := []string{f.acquireAfterRestart(time.Minute)}
			return append(out, describeAll(f.Observe(f.now, NewProbeReport("t0", f.now.Add(1), true, 0, false)))...)
		}, want: []string{"1 queued"}},
		{name: "freed at once without a timeout", run: func(f *fixture) []string {
			f.ExpireProcess(f.now, "h", 1)
			return []string{f.acquireAfterRestart(time.Minute)}
		}, want: []string{"1 t0"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(1)
			f.SetServices(f.now, []Service{NewService("s", 0, 0, WithTimeout(tc.timeout))})
			f.acquire(reads, time.Minute)
			if got := tc.run(f); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// acquireAfterRestart requests a slot for the successor of the ended process.
func (f *fixture) acquireAfterRestart(within time.Duration) string {
	id := NewSlotRequestID(NewHolder("h", 2), 1)
	return describe(f.Acquire(f.now, NewSlotRequest(id, "s", "team", reads, f.now.Add(within))))
}
