package admit

import (
	"time"

	"rhubarbrack/ident"
)

// stopLatencyFactor is the multiple of the typical latency of a service by which a
// stopping host expects the response to a request.
const stopLatencyFactor = 2

// maxLinkWait is the longest time for which a response is expected to wait for the
// link. It is longer than any stop, and fits into a time.Duration.
const maxLinkWait = 24 * time.Hour

// StopBy refuses requests whose last byte is not expected to be sent by the given
// time, when the host exits. Another host can answer them.
func (c *Controller) StopBy(at time.Time) { c.stopAt = at }

// SetLinkRate sets how many bytes of long responses the link carries per second.
// Without it, the link counts as fast enough for any response.
func (c *Controller) SetLinkRate(bytesPerSecond float64) { c.linkRate = bytesPerSecond }

// StopTerms are what a stopping host knows when it decides on a request.
type StopTerms struct {
	left     time.Duration
	needed   time.Duration
	owed     int64
	expected int64
}

// Left returns the time until requests are given up.
func (t StopTerms) Left() time.Duration { return t.left }

// Needed returns the time within which the last byte of the response is expected.
func (t StopTerms) Needed() time.Duration { return t.needed }

// Owed returns the bytes that the link still owes to accepted requests.
func (t StopTerms) Owed() int64 { return t.owed }

// Expected returns the bytes that the response is expected to add.
func (t StopTerms) Expected() int64 { return t.expected }

// canAnswer reports whether a request can be answered before the host exits, if it
// is stopping.
func (c *Controller) canAnswer(now time.Time, s *RequestState) bool {
	if c.stopAt.IsZero() {
		return true
	}
	t := c.stopTerms(now, s)
	s.stopTerms = ident.Some(t)
	return t.needed <= t.left
}

// canWaitForPeer reports whether a request may be sent through another entry host. A
// long response would cross a second slow link, and how long that is busy is not
// known here, so a stopping host does not take one that way. A request that may have
// run already goes on nevertheless, since a refusal could not tell its caller that it
// has not.
func (c *Controller) canWaitForPeer(now time.Time, s *RequestState) bool {
	if c.stopAt.IsZero() || s.attempts > 0 {
		return true
	}
	return c.canAnswer(now, s) && (c.linkRate == 0 || c.work.size(s).atMost() == 0)
}

// stopTerms returns what decides whether a stopping host takes a request. A long
// response waits until the link has carried those of all requests that were
// accepted earlier; a short one does not wait for them.
func (c *Controller) stopTerms(now time.Time, s *RequestState) StopTerms {
	t := StopTerms{left: c.stopAt.Sub(now), owed: c.work.owedToOthers(s), expected: c.work.size(s).atMost()}
	t.needed = stopLatencyFactor * c.table.TypicalLatency(s.service)
	if c.linkRate > 0 && t.expected > 0 {
		seconds := min(float64(t.owed+t.expected)/c.linkRate, maxLinkWait.Seconds())
		t.needed += time.Duration(seconds * float64(time.Second))
	}
	return t
}
