package trial

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// trialSeeds are the seeds of the results in docs/measurements.md.
var trialSeeds = []int64{1, 2, 3}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// Guards against a slot owner that misses its objectives when the demand
// doubles while one team sends five times its share. Prints the table of
// docs/measurements.md.
func TestSlotOwnerAgainstPrivateSelection(t *testing.T) {
	cases := []struct {
		strategy Strategy
		// bounded requires that no target gets more requests than slots, fair
		// that the worst team's p99 is at most 1.5 times the median team's, and
		// urgent that the urgent p99 is at most 1.1 times that without other
		// load.
		bounded, fair, urgent bool
	}{
		{strategy: PrivateTwoChoices},
		{strategy: StaticSplit, bounded: true},
		{strategy: OwnerFirstCome, bounded: true},
		{strategy: OwnerSteer, bounded: true, fair: true, urgent: true},
	}
	var table strings.Builder
	for _, tc := range cases {
		for _, seed := range trialSeeds {
			r, alone := Run(tc.strategy, Planned, seed), Run(tc.strategy, UrgentAlone, seed)
			writeRow(&table, tc.strategy, Planned, seed, r, alone)
			worst, median := r.TeamP99()
			if targets, _ := r.Oversubscribed(); tc.bounded && targets > 0 {
				t.Errorf("%s, seed %d: %d targets above their slots", tc.strategy, seed, targets)
			}
			if tc.fair && float64(worst) > 1.5*float64(median) {
				t.Errorf("%s, seed %d: worst team's p99 %s, median team's %s", tc.strategy, seed, worst, median)
			}
			if tc.urgent && float64(r.UrgentLatency(0.99)) > 1.1*float64(alone.UrgentLatency(0.99)) {
				t.Errorf("%s, seed %d: urgent p99 %s, alone %s", tc.strategy, seed, r.UrgentLatency(0.99), alone.UrgentLatency(0.99))
			}
		}
	}
	for _, tc := range cases {
		for _, seed := range trialSeeds {
			if !testing.Verbose() {
				continue // The uneven workload is only needed for the table.
			}
			writeRow(&table, tc.strategy, Uneven, seed, Run(tc.strategy, Uneven, seed), Run(tc.strategy, UrgentAlone, seed))
		}
	}
	t.Logf("seeds %v\n%s", trialSeeds, table.String())
}

// writeRow writes one row of the table.
func writeRow(table *strings.Builder, strategy Strategy, workload Workload, seed int64, r, alone *Result) {
	targets, requests := r.Oversubscribed()
	worst, median := r.TeamP99()
	within, noisy, urgent := r.LossRates()
	fmt.Fprintf(table, "| %s | %s | %d | %d (%d) | %s | %s | %s | %s | %.2f | %s | %s | %s | %.2f | %.2f | %.2f |\n",
		strategy, workload, seed, targets, requests, milliseconds(r.Latency(0.5)), milliseconds(r.Latency(0.99)),
		milliseconds(worst), milliseconds(median), float64(worst)/float64(median), milliseconds(r.NoisyP99()),
		milliseconds(r.UrgentLatency(0.99)), milliseconds(alone.UrgentLatency(0.99)), 100*within, 100*noisy, 100*urgent)
}
