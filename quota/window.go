package quota

import "time"

// windowBins is the number of bins of a window. A bin counts until all of it
// has left the window.
const windowBins = 20

// Window counts the events of a sliding window. It is not safe for concurrent
// use.
type Window struct {
	binWidth time.Duration
	counts   [windowBins + 1]float64
	sum      float64
	latest   int64
}

// NewWindow returns an empty window. The span must be positive.
func NewWindow(span time.Duration) *Window { return &Window{binWidth: span / windowBins} }

// Add counts n events. Times must not decrease by more than the width of a
// bin.
func (w *Window) Add(now time.Time, n float64) {
	w.advance(now)
	w.counts[w.latest%int64(len(w.counts))] += n
	w.sum += n
}

// Sum returns the number of events in the window that ends now.
func (w *Window) Sum(now time.Time) float64 {
	w.advance(now)
	return w.sum
}

// advance drops the bins that have left the window.
func (w *Window) advance(now time.Time) {
	current := now.UnixNano() / int64(w.binWidth)
	if current-w.latest >= int64(len(w.counts)) {
		w.counts, w.sum, w.latest = [windowBins + 1]float64{}, 0, current
		return
	}
	for w.latest < current {
		w.latest++
		i := w.latest % int64(len(w.counts))
		w.sum -= w.counts[i]
		w.counts[i] = 0
	}
}
