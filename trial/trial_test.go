package trial

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// trialSeeds are the seeds of the trials that the measurements page reports.
var trialSeeds = []int64{1, 2, 3}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// Guards against a slot owner that misses its stated goals under a demand
// that doubles while one team sends five times its share, and prints the
// figures of the page docs/measurements.md.
func TestSlotOwnerAgainstPrivateSelection(t *testing.T) {
	cases := []struct {
		way Strategy
		// bounded tells that no target may be above its slots, fair that the
		// worst team's p99 is within 1.5 times the median team's, and urgent
		// that the urgent p99 is within 1.1 times that without other load.
		bounded, fair, urgent bool
	}{
		{way: PrivateTwoChoices},
		{way: StaticSplit, bounded: true},
		{way: OwnerFirstCome, bounded: true},
		{way: OwnerSteer, bounded: true, fair: true, urgent: true},
	}
	var table strings.Builder
	for _, tc := range cases {
		for _, seed := range trialSeeds {
			r, alone := Run(tc.way, Planned, seed), Run(tc.way, UrgentAlone, seed)
			row(&table, tc.way, Planned, seed, r, alone)
			worst, median := r.TeamP99()
			if targets, _ := r.Oversubscribed(); tc.bounded && targets > 0 {
				t.Errorf("%s, seed %d: %d targets above their slots", tc.way, seed, targets)
			}
			if tc.fair && float64(worst) > 1.5*float64(median) {
				t.Errorf("%s, seed %d: worst team's p99 %s, median team's %s", tc.way, seed, worst, median)
			}
			if tc.urgent && float64(r.UrgentLatency(0.99)) > 1.1*float64(alone.UrgentLatency(0.99)) {
				t.Errorf("%s, seed %d: urgent p99 %s, alone %s", tc.way, seed, r.UrgentLatency(0.99), alone.UrgentLatency(0.99))
			}
		}
	}
	for _, tc := range cases {
		for _, seed := range trialSeeds {
			if !testing.Verbose() {
				continue // The uneven demand is only for the page.
			}
			row(&table, tc.way, Uneven, seed, Run(tc.way, Uneven, seed), Run(tc.way, UrgentAlone, seed))
		}
	}
	t.Logf("seeds %v\n%s", trialSeeds, table.String())
}

// row writes one line of the table of the measurements page.
func row(table *strings.Builder, way Strategy, demand Workload, seed int64, r, alone *Result) {
	targets, requests := r.Oversubscribed()
	worst, median := r.TeamP99()
	within, noisy, urgent := r.LossRates()
	fmt.Fprintf(table, "| %s | %s | %d | %d (%d) | %s | %s | %s | %s | %.2f | %s | %s | %s | %.2f | %.2f | %.2f |\n",
		way, demand, seed, targets, requests, milliseconds(r.Latency(0.5)), milliseconds(r.Latency(0.99)),
		milliseconds(worst), milliseconds(median), float64(worst)/float64(median), milliseconds(r.NoisyP99()),
		milliseconds(r.UrgentLatency(0.99)), milliseconds(alone.UrgentLatency(0.99)), 100*within, 100*noisy, 100*urgent)
}
