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

// bench is an open pool with one holder whose asks are numbered in turn.
type bench struct {
	*Pool
	guard  *guard.Guard
	now    time.Time
	number uint64
}

func newBench(slots ...int) *bench {
	g := guard.New()
	b := &bench{Pool: New("r1", WithCrashGuard(g)), guard: g, now: start}
	b.SetServices(b.now, []Service{NewService("s", 0, 0)})
	b.list(slots...)
	b.TryOpen(b.now)
	return b
}

// list sets targets t0, t1 and so on. The zones alternate.
func (b *bench) list(slots ...int) {
	var targets []Target
	for i, n := range slots {
		id := ident.Target(fmt.Sprintf("t%d", i))
		targets = append(targets, NewTarget(id, "s", "", ident.Zone(fmt.Sprintf("z%d", i%2)), n, StateLive))
	}
	b.SetTargets(b.now, targets)
}

func (b *bench) id(number uint64) SlotRequestID { return NewSlotRequestID(NewHolder("h", 1), number) }

func (b *bench) ask(c Class, within time.Duration, list ...SlotRequestOption) string {
	b.number++
	a := NewSlotRequest(b.id(b.number), "s", "team", c, b.now.Add(within), list...)
	return text(b.Acquire(b.now, a))
}

func (b *bench) release(number uint64, e Outcome) []string {
	return texts(b.Release(b.now, b.id(number), NewResult(e, time.Millisecond)))
}

func (b *bench) wait(d time.Duration) []string {
	b.now = b.now.Add(d)
	return texts(b.Tick(b.now))
}

// text writes a decision as its number and outcome.
func text(d Decision) string {
	switch d := d.(type) {
	case Granted:
		return fmt.Sprintf("%d %s", d.id.number, d.target)
	case Refused:
		return fmt.Sprintf("%d %s", d.id.number, d.reason)
	}
	return fmt.Sprintf("%d queued", d.ID().number)
}

func texts(list []Decision) []string {
	var out []string
	for _, d := range list {
		out = append(out, text(d))
	}
	return out
}

// Each case guards one rule of the choice of targets or of the queues.
func TestPool(t *testing.T) {
	cases := []struct {
		name  string
		slots []int
		run   func(b *bench) []string
		want  []string
	}{
		{name: "the caller's zone is preferred", slots: []int{2, 2}, run: func(b *bench) []string {
			return []string{b.ask(reads, time.Second, WithZone("z1")), b.ask(reads, time.Second, WithZone("z0"))}
		}, want: []string{"1 t1", "2 t0"}},
		{name: "a full zone spills over", slots: []int{1, 1}, run: func(b *bench) []string {
			return []string{b.ask(reads, time.Second, WithZone("z1")), b.ask(reads, time.Second, WithZone("z1"))}
		}, want: []string{"1 t1", "2 t0"}},
		{name: "the least loaded target is chosen", slots: []int{2, 4}, run: func(b *bench) []string {
			return []string{b.ask(reads, time.Second), b.ask(reads, time.Second), b.ask(reads, time.Second)}
		}, want: []string{"1 t1", "2 t0", "3 t1"}},
		{name: "a retry goes elsewhere", slots: []int{1, 1}, run: func(b *bench) []string {
			return []string{b.ask(reads, time.Second, WithAvoid("t0")), b.ask(reads, time.Second, WithAvoid("t0", "t1"))}
		}, want: []string{"1 t1", "2 no-target"}},
		{name: "a restricted ask does not block others", slots: []int{1, 1}, run: func(b *bench) []string {
			out := []string{b.ask(reads, time.Second, WithAvoid("t0")), b.ask(reads, time.Second, WithAvoid("t0"))}
			return append(append(out, b.ask(reads, time.Second)), b.release(1, OutcomeOK)...)
		}, want: []string{"1 t1", "2 queued", "3 t0", "2 t1"}},
		{name: "urgent asks come first", slots: []int{1}, run: func(b *bench) []string {
			out := []string{b.ask(reads, time.Second), b.ask(reads, time.Second), b.ask(alerts, time.Second)}
			return append(out, b.release(1, OutcomeOK)...)
		}, want: []string{"1 t0", "2 queued", "3 queued", "3 t0"}},
		{name: "the queue bound refuses", slots: []int{1}, run: func(b *bench) []string {
			b.ask(reads, time.Second)
			return []string{b.ask(reads, time.Second), b.ask(reads, time.Second), b.ask(reads, time.Second), b.ask(reads, time.Second)}
		}, want: []string{"2 queued", "3 queued", "4 queued", "5 queue-full"}},
		{name: "the deadline refuses", slots: []int{1}, run: func(b *bench) []string {
			b.ask(reads, time.Second)
			return append([]string{b.ask(reads, time.Second), b.ask(reads, 0)}, b.wait(time.Second)...)
		}, want: []string{"2 queued", "3 deadline", "2 deadline"}},
		{name: "the longest wait refuses", slots: []int{1}, run: func(b *bench) []string {
			b.ask(reads, time.Second)
			out := []string{b.ask(NewClass("reads", false, 3, time.Millisecond), time.Second)}
			return append(out, b.wait(10*time.Millisecond)...)
		}, want: []string{"2 queued", "2 longest-wait"}},
		{name: "the estimated wait refuses", slots: []int{1}, run: func(b *bench) []string {
			b.ask(reads, time.Second)
			b.wait(100 * time.Millisecond)
			b.release(1, OutcomeOK)
			return []string{b.ask(reads, time.Second), b.ask(reads, 50*time.Millisecond), b.ask(reads, 150*time.Millisecond)}
		}, want: []string{"2 t0", "3 estimated-wait", "4 queued"}},
		{name: "headroom is kept for urgent asks", slots: []int{4}, run: func(b *bench) []string {
			b.SetServices(b.now, []Service{NewService("s", 0.5, 0)})
			return []string{
				b.ask(reads, time.Second), b.ask(reads, time.Second), b.ask(reads, time.Second),
				b.ask(alerts, time.Second), b.ask(alerts, time.Second), b.ask(alerts, time.Second),
			}
		}, want: []string{"1 t0", "2 t0", "3 queued", "4 t0", "5 t0", "6 queued"}},
		{name: "a new target starts slowly", slots: []int{1}, run: func(b *bench) []string {
			b.SetServices(b.now, []Service{NewService("s", 0, time.Minute)})
			b.list(1, 3)
			out := []string{b.ask(reads, time.Hour), b.ask(reads, time.Hour), b.ask(reads, time.Hour), b.ask(reads, time.Hour)}
			out = append(out, b.wait(29*time.Second)...)
			out = append(out, b.wait(time.Second)...)
			return append(out, b.wait(30*time.Second)...)
		}, want: []string{"1 t0", "2 t1", "3 queued", "4 queued", "3 t1", "4 t1"}},
		{name: "a late call after its release gets no slot", slots: []int{1}, run: func(b *bench) []string {
			b.number = 1
			b.release(2, OutcomeCancelled)
			return []string{b.ask(reads, time.Second)}
		}, want: []string{"2 abandoned"}},
		{name: "a late report does not bring a grant back", slots: []int{1}, run: func(b *bench) []string {
			b.ask(reads, time.Second)
			b.release(1, OutcomeOK)
			open := []OpenGrant{NewOpenGrant(1, "s", "t0", ident.Fingerprint{}, 0)}
			b.ApplyHoldings(b.now, NewHoldings(NewHolder("h", 1), 1, 1, open, nil))
			return []string{fmt.Sprint(b.InFlight())}
		}, want: []string{"0"}},
		{name: "a repeated ask gets its first outcome", slots: []int{1}, run: func(b *bench) []string {
			out := []string{b.ask(reads, time.Second), b.ask(reads, time.Second)}
			b.number = 0
			return append(out, b.ask(reads, time.Second), b.ask(reads, time.Second))
		}, want: []string{"1 t0", "2 queued", "1 t0", "2 queued"}},
		{name: "an ended process gets no slot", slots: []int{1}, run: func(b *bench) []string {
			b.ExpireProcess(b.now, "h", 1)
			return []string{b.ask(reads, time.Second)}
		}, want: []string{"1 ended"}},
		{name: "the last target goes while an ask waits", slots: []int{1}, run: func(b *bench) []string {
			b.ask(reads, time.Second)
			return append([]string{b.ask(reads, time.Second)}, texts(b.SetTargets(b.now, nil))...)
		}, want: []string{"2 queued", "2 no-target"}},
		{name: "a ban while the ask waits", slots: []int{0}, run: func(b *bench) []string {
			out := []string{b.ask(reads, time.Second, WithFingerprint(ident.Fingerprint{1}))}
			b.guard.Import([]guard.Mark{guard.NewMark(ident.Fingerprint{1}, 2, b.now.Add(time.Hour))})
			return append(out, b.wait(time.Millisecond)...)
		}, want: []string{"1 queued", "1 banned"}},
		{name: "a suspended pool grants nothing", slots: []int{1}, run: func(b *bench) []string {
			b.Suspend()
			out := append([]string{b.ask(reads, time.Second)}, b.wait(time.Millisecond)...)
			b.Resume()
			return append(out, b.wait(time.Millisecond)...)
		}, want: []string{"1 queued", "1 t0"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.run(newBench(tc.slots...)); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
