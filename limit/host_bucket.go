package limit

import "time"

// hostBucket detects requests of a team that certainly exceed its limit, from
// the arrivals at one host alone. It is a token bucket with the team's whole
// rate and burst, plus a slack for the jitter of arrivals.
type hostBucket struct {
	level   float64
	updated time.Time
	started bool
}

// admit counts a request that arrives at now. It returns false when the
// requests of this host alone exceed the limit by more than the refill of the
// slack. Requests that were not admitted do not count.
func (b *hostBucket) admit(l Limit, slack time.Duration, now time.Time) bool {
	capacity := l.burst + l.refill(slack)
	if !b.started {
		b.level, b.started = capacity, true
	} else if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level = min(capacity, b.level+l.refill(elapsed))
	}
	b.updated = now
	b.level = min(b.level, capacity)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
