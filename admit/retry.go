package admit

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// Retry decides whether a request is sent to another target after a failed
// attempt. The caller must make sure that the request has not run or may run
// twice.
func (c *Controller) Retry(now time.Time, s *RequestState) Decision {
	if s.attempts >= s.route.Attempts() || s.isSuspected {
		return Decision{state: s, reason: NoAttempts, retryAfter: defaultRetryAfter}
	}
	if s.deadline.Sub(now) < minAttemptTime {
		return Decision{state: s, reason: OutOfTime}
	}
	if !c.retryBudget(s.service).TryRetry(now, c.hostShare*retryMargin) {
		return Decision{state: s, reason: NoBudget, retryAfter: defaultRetryAfter}
	}
	return c.chooseTarget(now, s)
}

// defaultRetryAfter is the retry delay suggested to callers when targets were
// full or unreachable.
const defaultRetryAfter = 100 * time.Millisecond

// RetryUnreachable selects another target after a failure to connect. Since
// nothing was sent, this costs neither an attempt nor retry budget.
func (c *Controller) RetryUnreachable(now time.Time, s *RequestState) Decision {
	s.attempts--
	s.unreachable++
	if s.deadline.Sub(now) < minAttemptTime {
		return Decision{state: s, reason: OutOfTime}
	}
	if s.attempts == 0 && !c.canAnswer(now, s) {
		return Decision{state: s, reason: NotReady, retryAfter: defaultRetryAfter}
	}
	return c.chooseTarget(now, s)
}

// Confirm decides again on a request that has waited since its target or its peer was
// chosen, if the target is no longer eligible or the host is stopping. Nothing was sent.
func (c *Controller) Confirm(now time.Time, d Decision) Decision {
	if peer, ok := d.peer.Get(); ok {
		return c.confirmPeer(now, d, peer)
	}
	if !d.choice.IsFound() {
		return d
	}
	if !c.canAnswer(now, d.state) {
		c.table.RecordResult(now, d.choice, spread.Abandoned, ident.None[spread.Load]())
		d.state.attempts--
		return Decision{state: d.state, reason: NotReady, retryAfter: defaultRetryAfter}
	}
	if c.table.Confirms(now, d.choice) {
		return d
	}
	c.table.RecordResult(now, d.choice, spread.Abandoned, ident.None[spread.Load]())
	d.state.attempts--
	return c.chooseTarget(now, d.state)
}
