package mesh

import (
	"log/slog"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

// fixedClock returns a time that a test sets.
type fixedClock struct {
	clock.Clock
	now time.Time
}

// Now implements clock.Clock.
func (c *fixedClock) Now() time.Time { return c.now }

// TestPauseDetector guards against a host that takes orders right after it stood
// still, when it cannot know yet which callers have left.
func TestPauseDetector(t *testing.T) {
	start := time.Now()
	cases := []struct {
		name string
		// times are those of the checks, since the start, by the monotonic clock.
		// suspended is added to the time of day before the last check.
		times     []time.Duration
		suspended time.Duration
		want      bool
	}{
		{name: "regular checks", times: []time.Duration{100 * time.Millisecond, 220 * time.Millisecond}},
		{name: "late check", times: []time.Duration{100 * time.Millisecond, 550 * time.Millisecond}},
		{name: "process stopped", times: []time.Duration{100 * time.Millisecond, 3 * time.Second}, want: true},
		{name: "process stopped a second ago", times: []time.Duration{3 * time.Second, 3400 * time.Millisecond, 3800 * time.Millisecond, 4 * time.Second}, want: true},
		{name: "process stopped long ago", times: []time.Duration{time.Second, 1400 * time.Millisecond, 1800 * time.Millisecond,
			2200 * time.Millisecond, 2600 * time.Millisecond, 3 * time.Second}},
		{name: "machine suspended", times: []time.Duration{100 * time.Millisecond, 200 * time.Millisecond}, suspended: 2 * time.Second, want: true},
	}
	for _, c := range cases {
		simulated := &fixedClock{now: start}
		d := &pauseDetector{clock: simulated, log: slog.New(slog.DiscardHandler), checkedAt: start}
		for i, at := range c.times {
			simulated.now = start.Add(at)
			if i == len(c.times)-1 && c.suspended > 0 {
				// A time without a monotonic reading stands for a suspended machine: the
				// difference to the last check is that of the times of day.
				simulated.now = simulated.now.Add(c.suspended).Round(0)
			}
			d.Handle(pauseTick{})
		}
		reply := tasks.NewReply[bool]()
		d.Handle(getRecovering{reply: reply})
		if got := <-reply.Values(); got != c.want {
			t.Errorf("%s: recovering %v, want %v", c.name, got, c.want)
		}
	}
}
