package load

import (
	"testing"
	"time"
)

// Guards against a bucket that blames the system for refusals of a team that
// exceeds its rate, or forgives the system for those of one that does not.
func TestBucket(t *testing.T) {
	type offer struct {
		at   time.Duration
		want bool
	}
	cases := []struct {
		name        string
		rate, burst float64
		offers      []offer
	}{
		{name: "burst, then rate", rate: 10, burst: 2, offers: []offer{{0, true}, {0, true}, {0, false}}},
		{name: "conforming", rate: 10, burst: 1, offers: []offer{{0, true}, {100 * time.Millisecond, true}, {200 * time.Millisecond, true}}},
		{name: "slightly too fast", rate: 10, burst: 1, offers: []offer{{0, true}, {99 * time.Millisecond, false}}},
		{name: "debt is bounded by the burst", rate: 10, burst: 1,
			offers: []offer{{0, true}, {0, false}, {0, false}, {0, false}, {200 * time.Millisecond, true}}},
		{name: "rest fills no more than the burst", rate: 10, burst: 1, offers: []offer{{time.Hour, true}, {time.Hour, false}}},
		{name: "time never runs back", rate: 10, burst: 1, offers: []offer{{time.Second, true}, {0, false}, {1100 * time.Millisecond, false}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Unix(0, 0)
			b := newBucket(tc.rate, tc.burst, start)
			for i, o := range tc.offers {
				if got := b.offer(start.Add(o.at)); got != o.want {
					t.Errorf("offer %d at %v conforms: %v, want %v", i+1, o.at, got, o.want)
				}
			}
		})
	}
}
