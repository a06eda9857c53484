package limit

import (
	"testing"
	"time"
)

// Guards against refusing requests of a team within its rate and burst on the
// arrivals at one host, and against admitting those of a team over its rate.
func TestHostBucket(t *testing.T) {
	const slack = 200 * time.Millisecond
	start := time.Unix(1000, 0)
	cases := []struct {
		name   string
		burst  int
		every  time.Duration
		count  int
		refuse int
	}{
		{name: "whole burst at once", burst: 20, count: 0},
		{name: "burst, then the rate", burst: 20, every: 50 * time.Millisecond, count: 400},
		{name: "twice the rate", every: 25 * time.Millisecond, count: 400, refuse: 176},
		{name: "five times the rate", every: 10 * time.Millisecond, count: 1000, refuse: 776},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, err := New(20, 20)
			if err != nil {
				t.Fatal(err)
			}
			var b hostBucket
			refused, now := 0, start
			for range tc.burst {
				if !b.admit(l, slack, now) {
					refused++
				}
			}
			for range tc.count {
				now = now.Add(tc.every)
				if !b.admit(l, slack, now) {
					refused++
				}
			}
			// Rounding of the level may move one request either way.
			if refused < tc.refuse-1 || refused > tc.refuse+1 || tc.refuse == 0 && refused > 0 {
				t.Errorf("%d requests refused, want %d", refused, tc.refuse)
			}
		})
	}
}
