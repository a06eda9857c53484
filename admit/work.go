package admit

import (
	"math"

	"rhubarbrack/ident"
)

// Work tells what a host has accepted and not yet answered to the last byte.
type Work struct {
	requests int
	begun    int
	bytes    int64
}

// Requests returns the number of accepted requests.
func (w Work) Requests() int { return w.requests }

// Begun returns the number of those whose long response has begun.
func (w Work) Begun() int { return w.begun }

// Bytes returns how many bytes of long responses are expected to be sent yet.
func (w Work) Bytes() int64 { return w.bytes }

// workCount counts accepted requests, each from the decision on it to the last
// byte of its response. Only long responses count by their bytes, since the others
// do not wait for the share of the link that long ones have.
type workCount struct {
	accepted map[*RequestState]*acceptedRequest
	begun    int
	rest     int64
	// sizes holds the typical size of the responses of each route.
	sizes map[string]*sizeEstimate
}

// acceptedRequest is the response that an accepted request is owed.
type acceptedRequest struct {
	// rest is the number of bytes that are expected to be sent yet.
	rest  int64
	begun bool
	// hasLength is set if rest is known and not an estimate.
	hasLength bool
	sent      int64
}

func newWorkCount() *workCount {
	return &workCount{accepted: map[*RequestState]*acceptedRequest{}, sizes: map[string]*sizeEstimate{}}
}

// accept adds a request, unless it is counted already.
func (w *workCount) accept(s *RequestState) {
	if _, ok := w.accepted[s]; ok {
		return
	}
	a := &acceptedRequest{}
	w.accepted[s] = a
	w.setRest(a, w.size(s).typical())
}

func (w *workCount) setRest(a *acceptedRequest, rest int64) {
	w.rest += rest - a.rest
	a.rest = rest
}

// owedToOthers returns the bytes that accepted requests other than s are owed.
func (w *workCount) owedToOthers(s *RequestState) int64 {
	if a, ok := w.accepted[s]; ok {
		return w.rest - a.rest
	}
	return w.rest
}

// size returns the estimate for the responses of the request's route.
func (w *workCount) size(s *RequestState) *sizeEstimate {
	e, ok := w.sizes[s.route.Name()]
	if !ok {
		e = &sizeEstimate{}
		w.sizes[s.route.Name()] = e
	}
	return e
}

// retain forgets the sizes of routes for which keep returns false.
func (w *workCount) retain(keep func(route string) bool) {
	for name := range w.sizes {
		if !keep(name) {
			delete(w.sizes, name)
		}
	}
}

// maxCountedBytes is the length of the longest response that is counted in full.
// A target may state any length, and sums of some do not fit into their type.
const maxCountedBytes = 1 << 40

// ResponseBegun records that a long response to an accepted request begins, with
// its length if that is known. Otherwise it counts as one of the largest of its
// route, since it may go on after the typical size.
func (c *Controller) ResponseBegun(s *RequestState, length ident.Option[int64]) {
	w := c.work
	a, ok := w.accepted[s]
	if !ok || a.begun {
		return
	}
	a.begun = true
	w.begun++
	n, ok := length.Get()
	if !ok {
		w.setRest(a, w.size(s).atMost())
		return
	}
	n = min(n, maxCountedBytes)
	a.hasLength = true
	w.setRest(a, n)
	w.size(s).observe(n)
}

// ResponseSent records bytes of a long response that were sent to the caller.
func (c *Controller) ResponseSent(s *RequestState, bytes int64) {
	a, ok := c.work.accepted[s]
	if !ok {
		return
	}
	a.sent += bytes
	c.work.setRest(a, max(a.rest-bytes, 0))
}

// RequestEnded records the end of an accepted request, and whether its whole
// response was sent.
func (c *Controller) RequestEnded(s *RequestState, answered bool) {
	w := c.work
	a, ok := w.accepted[s]
	if !ok {
		return
	}
	w.setRest(a, 0)
	if a.begun {
		w.begun--
	}
	delete(w.accepted, s)
	if answered && !a.hasLength {
		w.size(s).observe(a.sent)
	}
}

// Work returns what has been accepted and not yet answered.
func (c *Controller) Work() Work {
	return Work{requests: len(c.work.accepted), begun: c.work.begun, bytes: c.work.rest}
}

const (
	// sizeWeight is the weight of a new size in the moving averages.
	sizeWeight = 0.1
	// deviationFactor is how many mean deviations above the average a response
	// may be larger than others of its route.
	deviationFactor = 2
)

// sizeEstimate is a moving average of the sizes of long responses, and of their
// deviation from it. Short responses count as 0.
type sizeEstimate struct {
	known     bool
	average   float64
	deviation float64
}

func (e *sizeEstimate) observe(bytes int64) {
	n := float64(bytes)
	if !e.known {
		e.known, e.average, e.deviation = true, n, n/2
		return
	}
	e.deviation += sizeWeight * (math.Abs(n-e.average) - e.deviation)
	e.average += sizeWeight * (n - e.average)
}

// typical returns the size that responses have on average.
func (e *sizeEstimate) typical() int64 { return int64(e.average) }

// atMost returns a size that few responses exceed.
func (e *sizeEstimate) atMost() int64 { return int64(e.average + deviationFactor*e.deviation) }
