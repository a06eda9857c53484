package steer

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// use asks for a slot, releases it with the ending and returns the target.
func (b *bench) use(e Outcome) string {
	got := b.ask(reads, time.Hour)
	b.release(b.number, e)
	return got[len(fmt.Sprint(b.number))+1:]
}

// count uses n slots one after the other and counts those of the target.
func (b *bench) count(n int, target string) int {
	sum := 0
	for range n {
		if b.use(OutcomeOK) == target {
			sum++
		}
	}
	return sum
}

func (b *bench) report(t ident.Target, healthy bool, load float64, leaving bool) {
	b.Observe(b.now, NewProbeReport(t, b.now, healthy, load, leaving))
}

// Guards against new work at targets that are leaving, failing or reported
// as unhealthy, and against reports that empty the pool. Each case returns
// how many of 20 requests reach t0 of two targets.
func TestHealth(t *testing.T) {
	failing := func(b *bench, e Outcome, times int) {
		for range times {
			b.ask(reads, time.Hour, WithAvoid("t1"))
			b.release(b.number, e)
		}
	}
	cases := []struct {
		name string
		run  func(b *bench)
		want int
	}{
		{name: "two equal targets", run: func(*bench) {}, want: 10},
		{name: "leaving by the platform", run: func(b *bench) {
			b.SetTargets(b.now, []Target{NewTarget("t0", "s", "", "z", 4, StateLeaving), NewTarget("t1", "s", "", "z", 4, StateLive)})
		}, want: 0},
		{name: "off the list", run: func(b *bench) { b.SetTargets(b.now, []Target{NewTarget("t1", "s", "", "z", 4, StateLive)}) }, want: 0},
		{name: "leaving by its report", run: func(b *bench) { b.report("t0", true, 0, true) }, want: 0},
		{name: "leaving by its answer", run: func(b *bench) { failing(b, OutcomeLeaving, 1) }, want: 0},
		{name: "leaving while the list lags", run: func(b *bench) { failing(b, OutcomeLeaving, 1); b.list(4, 4) }, want: 0},
		{name: "back by a later report", run: func(b *bench) {
			failing(b, OutcomeLeaving, 1)
			b.wait(time.Second)
			b.report("t0", true, 0, false)
		}, want: 10},
		{name: "leaving although an older report arrives", run: func(b *bench) {
			failing(b, OutcomeLeaving, 1)
			b.Observe(b.now, NewProbeReport("t0", b.now.Add(-time.Second), true, 0, false))
		}, want: 0},
		{name: "reported full while the pool's own grants filled it", run: func(b *bench) {
			for range 4 {
				b.ask(reads, time.Hour, WithAvoid("t1"))
			}
			b.wait(time.Millisecond)
			b.report("t0", true, 1, false)
			for n := range b.number {
				b.release(n+1, OutcomeOK)
			}
		}, want: 10},
		{name: "reported full after the pool's own grants ended", run: func(b *bench) {
			for range 4 {
				b.ask(reads, time.Hour, WithAvoid("t1"))
			}
			for n := range b.number {
				b.release(n+1, OutcomeOK)
			}
			b.wait(time.Millisecond)
			b.report("t0", true, 1, false)
		}, want: 0},
		{name: "drained", run: func(b *bench) { b.SetDrains(b.now, ident.NewSet[ident.Target]("t0")) }, want: 0},
		{name: "drained before it was listed", run: func(b *bench) {
			b.SetTargets(b.now, nil)
			b.SetDrains(b.now, ident.NewSet[ident.Target]("t0"))
			b.list(4, 4)
		}, want: 0},
		{name: "crashed", run: func(b *bench) { failing(b, OutcomeCrashed, 1) }, want: 0},
		{name: "unreachable", run: func(b *bench) { failing(b, OutcomeUnreachable, 1) }, want: 0},
		{name: "two failures", run: func(b *bench) { failing(b, OutcomeFailed, 2) }, want: 10},
		{name: "three failures", run: func(b *bench) { failing(b, OutcomeFailed, 3) }, want: 0},
		{name: "three timeouts", run: func(b *bench) { failing(b, OutcomeTimeout, 3) }, want: 0},
		{name: "failures of every target", run: func(b *bench) {
			b.use(OutcomeOK)
			failing(b, OutcomeFailed, 3)
			for range 3 {
				b.ask(reads, time.Hour, WithAvoid("t0"))
				b.release(b.number, OutcomeFailed)
			}
		}, want: 0},
		{name: "recovered by a trial", run: func(b *bench) {
			failing(b, OutcomeCrashed, 1)
			b.wait(defaultEjection)
			b.use(OutcomeOK)
		}, want: 10},
		{name: "trial failed", run: func(b *bench) {
			failing(b, OutcomeCrashed, 1)
			b.wait(defaultEjection)
			b.use(OutcomeFailed)
			b.wait(defaultEjection)
		}, want: 0},
		{name: "back-off over after a failed trial", run: func(b *bench) {
			failing(b, OutcomeCrashed, 1)
			b.wait(defaultEjection)
			b.use(OutcomeFailed)
			b.wait(2 * defaultEjection)
		}, want: 10},
		{name: "refused as too much load", run: func(b *bench) { failing(b, OutcomeShed, 1) }, want: 0},
		{name: "reported unhealthy", run: func(b *bench) { b.report("t0", false, 0, false) }, want: 0},
		{name: "reported full", run: func(b *bench) { b.report("t0", true, 1, false) }, want: 0},
		{name: "stale report", run: func(b *bench) {
			b.report("t0", false, 0, false)
			b.wait(defaultReportAge + time.Millisecond)
		}, want: 10},
		{name: "reports that would empty the pool", run: func(b *bench) {
			b.report("t0", false, 0, false)
			b.report("t1", false, 0, false)
		}, want: 10},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(4, 4)
			tc.run(b)
			if got := b.count(20, "t0"); got != tc.want {
				t.Errorf("%d of 20 requests reached t0, want %d", got, tc.want)
			}
		})
	}
}

// Guards against several trial requests at a target that may still be broken.
func TestSingleTrial(t *testing.T) {
	b := newBench(4, 4)
	b.ask(reads, time.Hour, WithAvoid("t1"))
	b.release(1, OutcomeCrashed)
	b.wait(defaultEjection)
	var got []string
	for range 5 {
		got = append(got, b.ask(reads, time.Hour))
	}
	want := []string{"2 t0", "3 t1", "4 t1", "5 t1", "6 t1"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a slow target that keeps an equal share of the load.
func TestLatencyOutlier(t *testing.T) {
	b := newBench(4, 4, 4)
	for range 3 * leastSamples {
		b.ask(reads, time.Hour)
		latency := 10 * time.Millisecond
		if b.TargetInFlight("t0") == 1 {
			latency = 50 * time.Millisecond
		}
		b.Release(b.now, b.id(b.number), NewResult(OutcomeOK, latency))
	}
	b.wait(refreshInterval)
	for range 6 {
		b.ask(reads, time.Hour)
	}
	if got := b.TargetInFlight("t0"); got != 0 {
		t.Errorf("the outlier has %d of 6 requests, want 0", got)
	}
}
