package steer

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// roundTrip acquires a slot, releases it with the outcome and returns the
// target.
func (f *fixture) roundTrip(o Outcome) string {
	got := f.acquire(reads, time.Hour)
	f.release(f.number, o)
	return got[len(fmt.Sprint(f.number))+1:]
}

// countRequests acquires and releases n slots one after the other and returns
// how many were of the target.
func (f *fixture) countRequests(n int, target string) int {
	sum := 0
	for range n {
		if f.roundTrip(OutcomeOK) == target {
			sum++
		}
	}
	return sum
}

func (f *fixture) probe(t ident.Target, healthy bool, load float64, leaving bool) {
	f.Observe(f.now, NewProbeReport(t, f.now, healthy, load, leaving))
}

// Guards against new work at targets that are leaving, failing or reported
// unhealthy, and against reports that exclude all targets. Each case checks how
// many of 20 requests reach t0, one of two targets.
func TestHealth(t *testing.T) {
	failing := func(f *fixture, o Outcome, times int) {
		for range times {
			f.acquire(reads, time.Hour, WithAvoid("t1"))
			f.release(f.number, o)
		}
	}
	cases := []struct {
		name string
		run  func(f *fixture)
		want int
	}{
		{name: "two equal targets", run: func(*fixture) {}, want: 10},
		{name: "leaving by the platform", run: func(f *fixture) {
			f.SetTargets(f.now, []Target{NewTarget("t0", "s", "", "z", 4, StateLeaving), NewTarget("t1", "s", "", "z", 4, StateLive)})
		}, want: 0},
		{name: "off the list", run: func(f *fixture) { f.SetTargets(f.now, []Target{NewTarget("t1", "s", "", "z", 4, StateLive)}) }, want: 0},
		{name: "leaving by its report", run: func(f *fixture) { f.probe("t0", true, 0, true) }, want: 0},
		{name: "leaving by its response", run: func(f *fixture) { failing(f, OutcomeLeaving, 1) }, want: 0},
		{name: "leaving while the list lags", run: func(f *fixture) { failing(f, OutcomeLeaving, 1); f.setTargetSlots(4, 4) }, want: 0},
		{name: "back by a later report", run: func(f *fixture) {
			failing(f, OutcomeLeaving, 1)
			f.advance(time.Second)
			f.probe("t0", true, 0, false)
		}, want: 10},
		{name: "leaving although an older report arrives", run: func(f *fixture) {
			failing(f, OutcomeLeaving, 1)
			f.Observe(f.now, NewProbeReport("t0", f.now.Add(-time.Second), true, 0, false))
		}, want: 0},
		{name: "reported full while the pool's own grants filled it", run: func(f *fixture) {
			for range 4 {
				f.acquire(reads, time.Hour, WithAvoid("t1"))
			}
			f.advance(time.Millisecond)
			f.probe("t0", true, 1, false)
			for n := range f.number {
				f.release(n+1, OutcomeOK)
			}
		}, want: 10},
		{name: "reported full after the pool's own grants ended", run: func(f *fixture) {
			for range 4 {
				f.acquire(reads, time.Hour, WithAvoid("t1"))
			}
			for n := range f.number {
				f.release(n+1, OutcomeOK)
			}
			f.advance(time.Millisecond)
			f.probe("t0", true, 1, false)
		}, want: 0},
		{name: "drained", run: func(f *fixture) { f.SetDrains(f.now, ident.NewSet[ident.Target]("t0")) }, want: 0},
		{name: "drained before it was listed", run: func(f *fixture) {
			f.SetTargets(f.now, nil)
			f.SetDrains(f.now, ident.NewSet[ident.Target]("t0"))
			f.setTargetSlots(4, 4)
		}, want: 0},
		{name: "crashed", run: func(f *fixture) { failing(f, OutcomeCrashed, 1) }, want: 0},
		{name: "unreachable", run: func(f *fixture) { failing(f, OutcomeUnreachable, 1) }, want: 0},
		{name: "two failures", run: func(f *fixture) { failing(f, OutcomeFailed, 2) }, want: 10},
		{name: "three failures", run: func(f *fixture) { failing(f, OutcomeFailed, 3) }, want: 0},
		{name: "three timeouts", run: func(f *fixture) { failing(f, OutcomeTimeout, 3) }, want: 0},
		{name: "failures of every target", run: func(f *fixture) {
			f.roundTrip(OutcomeOK)
			failing(f, OutcomeFailed, 3)
			for range 3 {
				f.acquire(reads, time.Hour, WithAvoid("t0"))
				f.release(f.number, OutcomeFailed)
			}
		}, want: 0},
		{name: "recovered by a trial", run: func(f *fixture) {
			failing(f, OutcomeCrashed, 1)
			f.advance(defaultBaseEjection)
			f.roundTrip(OutcomeOK)
		}, want: 10},
		{name: "trial failed", run: func(f *fixture) {
			failing(f, OutcomeCrashed, 1)
			f.advance(defaultBaseEjection)
			f.roundTrip(OutcomeFailed)
			f.advance(defaultBaseEjection)
		}, want: 0},
		{name: "back-off over after a failed trial", run: func(f *fixture) {
			failing(f, OutcomeCrashed, 1)
			f.advance(defaultBaseEjection)
			f.roundTrip(OutcomeFailed)
			f.advance(2 * defaultBaseEjection)
		}, want: 10},
		{name: "shed a request", run: func(f *fixture) { failing(f, OutcomeShed, 1) }, want: 0},
		{name: "reported unhealthy", run: func(f *fixture) { f.probe("t0", false, 0, false) }, want: 0},
		{name: "reported full", run: func(f *fixture) { f.probe("t0", true, 1, false) }, want: 0},
		{name: "stale report", run: func(f *fixture) {
			f.probe("t0", false, 0, false)
			f.advance(defaultReportAge + time.Millisecond)
		}, want: 10},
		{name: "reports that would empty the pool", run: func(f *fixture) {
			f.probe("t0", false, 0, false)
			f.probe("t1", false, 0, false)
		}, want: 10},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(4, 4)
			tc.run(f)
			if got := f.countRequests(20, "t0"); got != tc.want {
				t.Errorf("%d of 20 requests reached t0, want %d", got, tc.want)
			}
		})
	}
}

// Guards against several trial requests at a target that may still be broken.
func TestSingleTrial(t *testing.T) {
	f := newFixture(4, 4)
	f.acquire(reads, time.Hour, WithAvoid("t1"))
	f.release(1, OutcomeCrashed)
	f.advance(defaultBaseEjection)
	var got []string
	for range 5 {
		got = append(got, f.acquire(reads, time.Hour))
	}
	want := []string{"2 t0", "3 t1", "4 t1", "5 t1", "6 t1"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a slow target that gets the same share of the load as others.
func TestLatencyOutlier(t *testing.T) {
	f := newFixture(4, 4, 4)
	for range 3 * minLatencySamples {
		f.acquire(reads, time.Hour)
		latency := 10 * time.Millisecond
		if f.TargetInFlight("t0") == 1 {
			latency = 50 * time.Millisecond
		}
		f.Release(f.now, f.id(f.number), NewResult(OutcomeOK, latency))
	}
	f.advance(refreshInterval)
	for range 6 {
		f.acquire(reads, time.Hour)
	}
	if got := f.TargetInFlight("t0"); got != 0 {
		t.Errorf("the outlier has %d of 6 requests, want 0", got)
	}
}
