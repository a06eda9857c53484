package steer

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
)

var (
	start  = time.Unix(1000, 0)
	reads  = NewClass("reads", false, 3, 0)
	alerts = NewClass("alerts", true, 3, 0)
)

// fixture is an open pool with one holder, which numbers its slot requests
// consecutively.
type fixture struct {
	*Pool
	guard  *guard.Guard
	now    time.Time
	number uint64
}

func newFixture(slots ...int) *fixture {
	g := guard.New()
	f := &fixture{Pool: New("r1", WithCrashGuard(g)), guard: g, now: start}
	f.SetServices(f.now, []Service{NewService("s", 0, 0)})
	f.setTargetSlots(slots...)
	f.TryOpen(f.now)
	return f
}

// setTargetSlots sets targets t0, t1 and so on with the given slots, in
// alternating zones.
func (f *fixture) setTargetSlots(slots ...int) {
	var targets []Target
	for i, n := range slots {
		id := ident.Target(fmt.Sprintf("t%d", i))
		targets = append(targets, NewTarget(id, "s", "", ident.Zone(fmt.Sprintf("z%d", i%2)), n, StateLive))
	}
	f.SetTargets(f.now, targets)
}

func (f *fixture) id(number uint64) SlotRequestID { return NewSlotRequestID(NewHolder("h", 1), number) }

func (f *fixture) acquire(c Class, within time.Duration, list ...SlotRequestOption) string {
	f.number++
	r := NewSlotRequest(f.id(f.number), "s", "team", c, f.now.Add(within), list...)
	return describe(f.Acquire(f.now, r))
}

func (f *fixture) release(number uint64, o Outcome) []string {
	return describeAll(f.Release(f.now, f.id(number), NewResult(o, time.Millisecond)))
}

func (f *fixture) advance(d time.Duration) []string {
	f.now = f.now.Add(d)
	return describeAll(f.Tick(f.now))
}

// describe formats a decision as the number of its request and its outcome.
func describe(d Decision) string {
	switch d := d.(type) {
	case Granted:
		return fmt.Sprintf("%d %s", d.id.number, d.target)
	case Refused:
		return fmt.Sprintf("%d %s", d.id.number, d.reason)
	}
	return fmt.Sprintf("%d queued", d.ID().number)
}

func describeAll(list []Decision) []string {
	var out []string
	for _, d := range list {
		out = append(out, describe(d))
	}
	return out
}

// Guards against a slot request that gets a target it must not get, overtakes
// another one, or waits or is refused without need. Each case checks one rule
// of the choice of targets or of the queues.
func TestPool(t *testing.T) {
	cases := []struct {
		name  string
		slots []int
		run   func(f *fixture) []string
		want  []string
	}{
		{name: "the caller's zone is preferred", slots: []int{2, 2}, run: func(f *fixture) []string {
			return []string{f.acquire(reads, time.Second, WithZone("z1")), f.acquire(reads, time.Second, WithZone("z0"))}
		}, want: []string{"1 t1", "2 t0"}},
		{name: "a full zone overflows", slots: []int{1, 1}, run: func(f *fixture) []string {
			return []string{f.acquire(reads, time.Second, WithZone("z1")), f.acquire(reads, time.Second, WithZone("z1"))}
		}, want: []string{"1 t1", "2 t0"}},
		{name: "the least loaded target is chosen", slots: []int{2, 4}, run: func(f *fixture) []string {
			return []string{f.acquire(reads, time.Second), f.acquire(reads, time.Second), f.acquire(reads, time.Second)}
		}, want: []string{"1 t1", "2 t0", "3 t1"}},
		{name: "a retry goes elsewhere", slots: []int{1, 1}, run: func(f *fixture) []string {
			return []string{f.acquire(reads, time.Second, WithAvoid("t0")), f.acquire(reads, time.Second, WithAvoid("t0", "t1"))}
		}, want: []string{"1 t1", "2 no-target"}},
		{name: "a restricted request does not block others", slots: []int{1, 1}, run: func(f *fixture) []string {
			out := []string{f.acquire(reads, time.Second, WithAvoid("t0")), f.acquire(reads, time.Second, WithAvoid("t0"))}
			return append(append(out, f.acquire(reads, time.Second)), f.release(1, OutcomeOK)...)
		}, want: []string{"1 t1", "2 queued", "3 t0", "2 t1"}},
		{name: "urgent requests come first", slots: []int{1}, run: func(f *fixture) []string {
			out := []string{f.acquire(reads, time.Second), f.acquire(reads, time.Second), f.acquire(alerts, time.Second)}
			return append(out, f.release(1, OutcomeOK)...)
		}, want: []string{"1 t0", "2 queued", "3 queued", "3 t0"}},
		{name: "the queue length refuses", slots: []int{1}, run: func(f *fixture) []string {
			f.acquire(reads, time.Second)
			return []string{f.acquire(reads, time.Second), f.acquire(reads, time.Second), f.acquire(reads, time.Second), f.acquire(reads, time.Second)}
		}, want: []string{"2 queued", "3 queued", "4 queued", "5 queue-full"}},
		{name: "the deadline refuses", slots: []int{1}, run: func(f *fixture) []string {
			f.acquire(reads, time.Second)
			return append([]string{f.acquire(reads, time.Second), f.acquire(reads, 0)}, f.advance(time.Second)...)
		}, want: []string{"2 queued", "3 deadline", "2 deadline"}},
		{name: "the maximum wait refuses", slots: []int{1}, run: func(f *fixture) []string {
			f.acquire(reads, time.Second)
			out := []string{f.acquire(NewClass("reads", false, 3, time.Millisecond), time.Second)}
			return append(out, f.advance(10*time.Millisecond)...)
		}, want: []string{"2 queued", "2 longest-wait"}},
		{name: "the estimated wait refuses", slots: []int{1}, run: func(f *fixture) []string {
			f.acquire(reads, time.Second)
			f.advance(100 * time.Millisecond)
			f.release(1, OutcomeOK)
			return []string{f.acquire(reads, time.Second), f.acquire(reads, 50*time.Millisecond), f.acquire(reads, 150*time.Millisecond)}
		}, want: []string{"2 t0", "3 estimated-wait", "4 queued"}},
		{name: "headroom is reserved for urgent requests", slots: []int{4}, run: func(f *fixture) []string {
			f.SetServices(f.now, []Service{NewService("s", 0.5, 0)})
			return []string{
				f.acquire(reads, time.Second), f.acquire(reads, time.Second), f.acquire(reads, time.Second),
				f.acquire(alerts, time.Second), f.acquire(alerts, time.Second), f.acquire(alerts, time.Second),
			}
		}, want: []string{"1 t0", "2 t0", "3 queued", "4 t0", "5 t0", "6 queued"}},
		{name: "a new target starts slowly", slots: []int{1}, run: func(f *fixture) []string {
			f.SetServices(f.now, []Service{NewService("s", 0, time.Minute)})
			f.setTargetSlots(1, 3)
			out := []string{f.acquire(reads, time.Hour), f.acquire(reads, time.Hour), f.acquire(reads, time.Hour), f.acquire(reads, time.Hour)}
			out = append(out, f.advance(29*time.Second)...)
			out = append(out, f.advance(time.Second)...)
			return append(out, f.advance(30*time.Second)...)
		}, want: []string{"1 t0", "2 t1", "3 queued", "4 queued", "3 t1", "4 t1"}},
		{name: "a late call after its release gets no slot", slots: []int{1}, run: func(f *fixture) []string {
			f.number = 1
			f.release(2, OutcomeCancelled)
			return []string{f.acquire(reads, time.Second)}
		}, want: []string{"2 abandoned"}},
		{name: "a late report does not bring a grant back", slots: []int{1}, run: func(f *fixture) []string {
			f.acquire(reads, time.Second)
			f.release(1, OutcomeOK)
			open := []OpenGrant{NewOpenGrant(1, "s", "t0", ident.Fingerprint{}, 0)}
			f.ApplyHoldings(f.now, NewHoldings(NewHolder("h", 1), 1, 1, open, nil))
			return []string{fmt.Sprint(f.InFlight())}
		}, want: []string{"0"}},
		{name: "a retried request gets its first outcome", slots: []int{1}, run: func(f *fixture) []string {
			out := []string{f.acquire(reads, time.Second), f.acquire(reads, time.Second)}
			f.number = 0
			return append(out, f.acquire(reads, time.Second), f.acquire(reads, time.Second))
		}, want: []string{"1 t0", "2 queued", "1 t0", "2 queued"}},
		{name: "an ended process gets no slot", slots: []int{1}, run: func(f *fixture) []string {
			f.ExpireProcess(f.now, "h", 1)
			return []string{f.acquire(reads, time.Second)}
		}, want: []string{"1 ended"}},
		{name: "the last target is removed while a request waits", slots: []int{1}, run: func(f *fixture) []string {
			f.acquire(reads, time.Second)
			return append([]string{f.acquire(reads, time.Second)}, describeAll(f.SetTargets(f.now, nil))...)
		}, want: []string{"2 queued", "2 no-target"}},
		{name: "a ban while the request waits", slots: []int{0}, run: func(f *fixture) []string {
			out := []string{f.acquire(reads, time.Second, WithFingerprint(ident.Fingerprint{1}))}
			f.guard.Import([]guard.Mark{guard.NewMark(ident.Fingerprint{1}, 2, f.now.Add(time.Hour))})
			return append(out, f.advance(time.Millisecond)...)
		}, want: []string{"1 queued", "1 banned"}},
		{name: "a suspended pool grants nothing", slots: []int{1}, run: func(f *fixture) []string {
			f.Suspend()
			out := append([]string{f.acquire(reads, time.Second)}, f.advance(time.Millisecond)...)
			f.Resume()
			return append(out, f.advance(time.Millisecond)...)
		}, want: []string{"1 queued", "1 t0"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.run(newFixture(tc.slots...)); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
