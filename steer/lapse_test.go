package steer

import (
	"reflect"
	"testing"
	"time"
)

// newCutBench is a pool whose owner has just taken over while one of two
// holders cannot report. Service s has target t0, service slow target u0.
func newCutBench(capacity int, services ...Service) *bench {
	b := &bench{Pool: New("r1", WithTakeOver(start)), now: start}
	b.SetCapacity(b.now, capacity)
	b.SetServices(b.now, services)
	b.SetTargets(b.now, []Target{
		NewTarget("t0", "s", "", "z0", 2, StateLive), NewTarget("u0", "slow", "", "z0", 2, StateLive),
	})
	b.ExpectHolders([]Holder{NewHolder("h", 1), NewHolder("cut", 1)})
	b.ApplyHoldings(b.now, NewHoldings(NewHolder("h", 1), 1, 0, nil, nil))
	b.TryOpen(b.now)
	return b
}

func (b *bench) askSlow(within time.Duration) string {
	b.number++
	return text(b.Acquire(b.now, NewSlotRequest(b.id(b.number), "slow", "team", reads, b.now.Add(within))))
}

// Each case guards one rule for holders that are cut off from the owner.
func TestHolderCutOff(t *testing.T) {
	const second = time.Second
	both := []Service{NewService("s", 0, 0, WithTimeout(second)), NewService("slow", 0, 0, WithTimeout(5*second))}
	cases := []struct {
		name     string
		capacity int
		services []Service
		run      func(b *bench) []string
		want     []string
	}{
		{name: "a service opens after its timeout, the others stay closed", services: both, run: func(b *bench) []string {
			out := []string{b.ask(reads, time.Minute), b.askSlow(time.Minute)}
			out = append(out, b.wait(second+timeoutMargin-1)...)
			return append(append(out, "due"), b.wait(1)...)
		}, want: []string{"1 queued", "2 queued", "due", "1 t0"}},
		{name: "the pool opens after the longest timeout", services: both, run: func(b *bench) []string {
			out := []string{b.askSlow(time.Minute)}
			out = append(out, b.wait(5*second+timeoutMargin-1)...)
			out = append(append(out, "due"), b.wait(1)...)
			if !b.IsOpen() {
				out = append(out, "closed")
			}
			return out
		}, want: []string{"1 queued", "due", "1 u0"}},
		{name: "a bound on the region opens all services together", capacity: 2, services: both, run: func(b *bench) []string {
			out := []string{b.ask(reads, time.Minute)}
			out = append(out, b.wait(5*second+timeoutMargin-1)...)
			return append(append(out, "due"), b.wait(1)...)
		}, want: []string{"1 queued", "due", "1 t0"}},
		{name: "an unknown timeout opens by reports only", services: []Service{NewService("s", 0, 0)}, run: func(b *bench) []string {
			out := append([]string{b.ask(reads, 2*time.Hour)}, b.wait(time.Hour)...)
			b.ApplyHoldings(b.now, NewHoldings(NewHolder("cut", 1), 1, 0, nil, nil))
			return append(append(out, "reported"), texts(b.TryOpen(b.now))...)
		}, want: []string{"1 queued", "reported", "1 t0"}},
		{name: "a shorter timeout does not bind earlier requests", services: both, run: func(b *bench) []string {
			b.SetServices(b.now, []Service{NewService("slow", 0, 0, WithTimeout(second))})
			out := []string{b.askSlow(time.Minute)}
			out = append(out, b.wait(5*second+timeoutMargin-1)...)
			return append(append(out, "due"), b.wait(1)...)
		}, want: []string{"1 queued", "due", "1 u0"}},
		{name: "all reports open the pool at once", services: both, run: func(b *bench) []string {
			out := []string{b.ask(reads, time.Minute), b.askSlow(time.Minute)}
			b.ApplyHoldings(b.now, NewHoldings(NewHolder("cut", 1), 1, 0, nil, nil))
			return append(out, texts(b.TryOpen(b.now))...)
		}, want: []string{"1 queued", "2 queued", "1 t0", "2 u0"}},
		{name: "an opened service refuses an ask without a target", services: both, run: func(b *bench) []string {
			b.wait(second + timeoutMargin)
			return []string{b.ask(reads, time.Minute, WithAvoid("t0"))}
		}, want: []string{"1 no-target"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.run(newCutBench(tc.capacity, tc.services...)); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// Each case guards against a slot that is given again while the request of a
// lapsed process may still run at the target, or that is kept after its end.
func TestLapsedGrants(t *testing.T) {
	const second = time.Second
	cases := []struct {
		name    string
		timeout time.Duration
		run     func(b *bench) []string
		want    []string
	}{
		{name: "kept until the timeout since the grant", timeout: 5 * second, run: func(b *bench) []string {
			b.wait(2 * second)
			b.ExpireProcess(b.now, "h", 1)
			out := []string{b.askAgain(time.Minute)}
			out = append(out, b.wait(3*second+timeoutMargin-1)...)
			return append(append(out, "due"), b.wait(1)...)
		}, want: []string{"1 queued", "due", "1 t0"}},
		{name: "freed when the timeout has passed before", timeout: second, run: func(b *bench) []string {
			b.wait(second + timeoutMargin)
			b.ExpireProcess(b.now, "h", 1)
			return []string{b.askAgain(time.Minute)}
		}, want: []string{"1 t0"}},
		{name: "freed when the target is idle afterwards", timeout: 5 * second, run: func(b *bench) []string {
			b.ExpireProcess(b.now, "h", 1)
			out := []string{b.askAgain(time.Minute)}
			out = append(out, texts(b.Observe(b.now, NewProbeReport("t0", b.now.Add(1), true, 0, false, WithIdleAt(b.now))))...)
			return append(append(out, "later"),
				texts(b.Observe(b.now, NewProbeReport("t0", b.now.Add(2), true, 0, false, WithIdleAt(b.now.Add(1)))))...)
		}, want: []string{"1 queued", "later", "1 t0"}},
		{name: "a report without load says nothing", timeout: 5 * second, run: func(b *bench) []string {
			b.ExpireProcess(b.now, "h", 1)
			out := []string{b.askAgain(time.Minute)}
			return append(out, texts(b.Observe(b.now, NewProbeReport("t0", b.now.Add(1), true, 0, false)))...)
		}, want: []string{"1 queued"}},
		{name: "freed at once without a timeout", run: func(b *bench) []string {
			b.ExpireProcess(b.now, "h", 1)
			return []string{b.askAgain(time.Minute)}
		}, want: []string{"1 t0"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(1)
			b.SetServices(b.now, []Service{NewService("s", 0, 0, WithTimeout(tc.timeout))})
			b.ask(reads, time.Minute)
			if got := tc.run(b); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// askAgain asks for the process that follows the one that lapsed.
func (b *bench) askAgain(within time.Duration) string {
	id := NewSlotRequestID(NewHolder("h", 2), 1)
	return text(b.Acquire(b.now, NewSlotRequest(id, "s", "team", reads, b.now.Add(within))))
}
