package load

import (
	"sync"
	"time"
)

// bucket decides whether the requests that a team offered conform to its rate
// and burst. See the package comment.
type bucket struct {
	rate, burst float64

	mutex sync.Mutex
	level float64
	at    time.Time
}

func newBucket(rate, burst float64, start time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst, at: start}
}

// offer charges one request and reports whether it conforms.
func (b *bucket) offer(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.burst, b.level+b.rate*passed.Seconds())
		b.at = now
	}
	b.level = max(-b.burst, b.level-1)
	return b.level >= 0
}

// refund takes back the charge of a request that reached no host.
func (b *bucket) refund() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.level = min(b.burst, b.level+1)
}
