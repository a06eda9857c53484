package limit

import "time"

// arrivals tells which requests of a team exceed its limit for certain, by what
// arrived at one host alone. It is a token bucket of the team's own rate and
// burst, with room for the jitter of arrivals.
type arrivals struct {
	level   float64
	updated time.Time
	begun   bool
}

// admit counts a request that arrives at now. It returns false when the
// requests of this host alone exceed the limit by more than the refill of the
// slack. Requests that were not admitted do not count.
func (a *arrivals) admit(l Limit, slack time.Duration, now time.Time) bool {
	most := l.burst + l.refill(slack)
	if !a.begun {
		a.level, a.begun = most, true
	} else if elapsed := now.Sub(a.updated); elapsed > 0 {
		a.level = min(most, a.level+l.refill(elapsed))
	}
	a.updated = now
	a.level = min(a.level, most)
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}
