package quota

import "time"

// windowParts is the number of parts in which a window moves on. A part that
// has begun counts until all of it has left the window.
const windowParts = 20

// Window counts events of the last span of time. It is not safe for
// concurrent use.
type Window struct {
	part   time.Duration
	counts [windowParts + 1]float64
	sum    float64
	latest int64
}

// NewWindow returns an empty window. The span must be positive.
func NewWindow(span time.Duration) *Window { return &Window{part: span / windowParts} }

// Add counts n events. Times must not decrease by more than a part.
func (w *Window) Add(now time.Time, n float64) {
	w.move(now)
	w.counts[w.latest%int64(len(w.counts))] += n
	w.sum += n
}

// Sum returns the events of the window that ends now.
func (w *Window) Sum(now time.Time) float64 {
	w.move(now)
	return w.sum
}

// move drops the parts that have left the window.
func (w *Window) move(now time.Time) {
	at := now.UnixNano() / int64(w.part)
	if at-w.latest >= int64(len(w.counts)) {
		w.counts, w.sum, w.latest = [windowParts + 1]float64{}, 0, at
		return
	}
	for w.latest < at {
		w.latest++
		i := w.latest % int64(len(w.counts))
		w.sum -= w.counts[i]
		w.counts[i] = 0
	}
}
