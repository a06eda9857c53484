package node

import (
	"testing"
	"time"
)

// TestStopTimes guards against requests that are given up while their targets are
// still at work, before the last sixth of the grace period, and against a host that
// is still answering when the period ends.
func TestStopTimes(t *testing.T) {
	cases := []struct {
		name        string
		gracePeriod time.Duration
		// want is when requests are given up.
		want time.Duration
	}{
		{"long", 10 * time.Second, 9200 * time.Millisecond},
		{"ordinary", 6 * time.Second, 5200 * time.Millisecond},
		{"shorter than six times the fixed margins", 4 * time.Second, 4 * time.Second * 5 / 6},
		{"shorter than the time of lookups", 2 * time.Second, 2 * time.Second * 5 / 6},
		{"shorter than the fixed margins", 600 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			times := newStopTimes(c.gracePeriod)
			got := times.givesUpAt()
			if got < c.want || got > c.want+time.Millisecond {
				t.Errorf("requests are given up after %v, want %v", got, c.want)
			}
			if end := got + times.answer; times.answer <= 0 || end >= c.gracePeriod {
				t.Errorf("answers take from %v to %v, of a period of %v", got, end, c.gracePeriod)
			}
		})
	}
}
