package load

import (
	"sort"
	"sync"
	"time"
)

// conformity states whether an offered request conforms to its team's rate.
type conformity int

const (
	// exceeds means that the team offers more than its rate and burst.
	exceeds conformity = iota + 1
	// disputed means that the request conforms by so narrow a margin that the
	// variation of the delay to the system's own bucket decides.
	disputed
	// conforms means that a refusal by rate is wrongful.
	conforms
)

// maxLevelSamples bounds the number of past levels that a bucket stores.
const maxLevelSamples = 1 << 16

// bucket is a token bucket that determines whether the requests offered by a
// team conform to its rate and burst. See the package comment.
//
// The delay from the generator to the system's own bucket varies by at most
// the tolerance. Requests that arrive there before a refused one were
// therefore offered at most one tolerance after it, and the system's bucket
// can have had one tolerance less to refill at either end. An exact bucket
// refuses no request when the level one tolerance after the offer, with all
// offers until then charged, is at least the refill of two tolerances.
type bucket struct {
	rate, burst float64
	tolerance   time.Duration

	mutex   sync.Mutex
	level   float64
	at      time.Time
	history []levelSample
}

// levelSample is the level immediately after a change.
type levelSample struct {
	at    time.Time
	level float64
}

// chargeResult describes one charged request.
type chargeResult struct {
	at          time.Time
	withinLimit bool
}

func newBucket(rate, burst float64, tolerance time.Duration, start time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, tolerance: tolerance, level: burst, at: start}
}

// charge takes the token of one offered request. The level may become
// negative, down to minus the burst.
func (b *bucket) charge(now time.Time) chargeResult {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.After(b.at) {
		b.level = b.levelAt(levelSample{at: b.at, level: b.level}, now)
		b.at = now
	}
	b.setLevel(max(-b.burst, b.level-1))
	return chargeResult{at: b.at, withinLimit: b.level >= 0}
}

// refund returns the token of a request that reached no host.
func (b *bucket) refund() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.setLevel(min(b.burst, b.level+1))
}

// setLevel must be called with the mutex held.
func (b *bucket) setLevel(level float64) {
	b.level = level
	if len(b.history) == maxLevelSamples {
		b.history = append(b.history[:0], b.history[maxLevelSamples/2:]...)
	}
	b.history = append(b.history, levelSample{at: b.at, level: level})
}

// levelAt returns the level at time now if nothing is charged after s.
func (b *bucket) levelAt(s levelSample, now time.Time) float64 {
	return min(b.burst, s.level+b.rate*now.Sub(s.at).Seconds())
}

// classifyAt returns the earliest time at which classify may be called.
func (b *bucket) classifyAt(c chargeResult) time.Time { return c.at.Add(b.tolerance) }

// classify returns whether the charged request conforms. It must not be
// called before the time that classifyAt returns.
func (b *bucket) classify(c chargeResult) conformity {
	if !c.withinLimit {
		return exceeds
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	end := b.classifyAt(c)
	next := sort.Search(len(b.history), func(i int) bool { return b.history[i].at.After(end) })
	if next == 0 || b.levelAt(b.history[next-1], end) < 2*b.rate*b.tolerance.Seconds() {
		return disputed
	}
	return conforms
}
