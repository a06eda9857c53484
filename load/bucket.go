package load

import (
	"sort"
	"sync"
	"time"
)

// conformity tells whether an offered request keeps to its team's rate.
type conformity int

const (
	// exceeds means that the team offers more than its rate and burst.
	exceeds conformity = iota + 1
	// disputed means that the request conforms by so little that a variation
	// of the delay to the system's own bucket decides.
	disputed
	// conforms means that a refusal by rate is wrongful.
	conforms
)

// maxSamples bounds the past levels that a bucket keeps.
const maxSamples = 1 << 16

// bucket decides whether the requests that a team offered conform to its rate
// and burst. See the package comment.
//
// The delay from the tool to the system's own bucket varies by at most the
// tolerance. Requests that arrive there before a refused one were thus offered
// at most one tolerance after it, and the system's bucket can have had one
// tolerance less at either end to refill. An exact bucket refuses no request
// when the level, one tolerance after the offer and with all offers until then
// charged, is at least the refill of two tolerances.
type bucket struct {
	rate, burst float64
	tolerance   time.Duration

	mutex sync.Mutex
	level float64
	at    time.Time
	past  []sample
}

// sample is the level right after a change.
type sample struct {
	at    time.Time
	level float64
}

// offering is one charged request.
type offering struct {
	at     time.Time
	within bool
}

func newBucket(rate, burst float64, tolerance time.Duration, start time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, tolerance: tolerance, level: burst, at: start}
}

// offer charges one request.
func (b *bucket) offer(now time.Time) offering {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.After(b.at) {
		b.level = b.refilled(sample{at: b.at, level: b.level}, now)
		b.at = now
	}
	b.set(max(-b.burst, b.level-1))
	return offering{at: b.at, within: b.level >= 0}
}

// refund takes back the charge of a request that reached no host.
func (b *bucket) refund() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.set(min(b.burst, b.level+1))
}

// set requires the mutex.
func (b *bucket) set(level float64) {
	b.level = level
	if len(b.past) == maxSamples {
		b.past = append(b.past[:0], b.past[maxSamples/2:]...)
	}
	b.past = append(b.past, sample{at: b.at, level: level})
}

func (b *bucket) refilled(s sample, now time.Time) float64 {
	return min(b.burst, s.level+b.rate*now.Sub(s.at).Seconds())
}

// due returns when a refusal of the offering can be judged.
func (b *bucket) due(o offering) time.Time { return o.at.Add(b.tolerance) }

// judge returns whether the offering conforms. It must not be called before
// it is due.
func (b *bucket) judge(o offering) conformity {
	if !o.within {
		return exceeds
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	due := b.due(o)
	after := sort.Search(len(b.past), func(i int) bool { return b.past[i].at.After(due) })
	if after == 0 || b.refilled(b.past[after-1], due) < 2*b.rate*b.tolerance.Seconds() {
		return disputed
	}
	return conforms
}
