package limit

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = 500 * time.Millisecond
	// lookahead is the demand that a holder keeps tokens for. It covers
	// several round trips to an owner in another region.
	lookahead = 500 * time.Millisecond
	// reserveAhead is the part of the burst that an active holder keeps
	// beyond its demand, for the start of a rise.
	reserveAhead = 0.02
	// activeFor is how long after the last request of a team a holder keeps
	// renewing its tokens, so that sparse requests need no round trip.
	activeFor = 30 * time.Second
	// aheadPause is the pause after the owner granted less ahead of need
	// than asked for.
	aheadPause = 50 * time.Millisecond
	// excessAhead times the target is what a holder keeps when demand falls.
	excessAhead = 3
	// shareAhead is the part of the burst that one holder keeps at most
	// ahead of need.
	shareAhead = 0.5
)

// purse is what a holder has of one team. The count of spent tokens is never
// reset, also not when the limit is removed for a while: an owner that still
// has the earlier count would take spent tokens for lost ones.
type purse struct {
	limit   Limit
	closed  bool
	held    int64
	spent   int64
	granted float64
	expires time.Time

	open   uint64
	sentAt time.Time

	refused    bool
	retryAt    time.Time
	aheadAt    time.Time
	graceUntil time.Time

	demand  float64
	counted time.Time
	seen    time.Time

	arrivals arrivals
}

// expire drops tokens whose lifetime has passed.
func (p *purse) expire(now time.Time) {
	if p.held > 0 && !now.Before(p.expires) {
		p.held = 0
	}
}

// spend takes one token, if there is one.
func (p *purse) spend(now time.Time) bool {
	p.expire(now)
	if p.held == 0 {
		return false
	}
	p.held--
	p.spent++
	return true
}

// count adds one request to the demand estimate, in requests per second.
func (p *purse) count(now time.Time) {
	if d := now.Sub(p.counted); d > 0 {
		p.demand *= math.Exp(-d.Seconds() / demandWindow.Seconds())
		p.counted = now
	}
	p.demand += 1 / demandWindow.Seconds()
	p.seen = now
}

// demandAt returns the estimate at now.
func (p *purse) demandAt(now time.Time) float64 {
	return p.demand * math.Exp(-max(0, now.Sub(p.counted).Seconds())/demandWindow.Seconds())
}

// target returns the tokens to keep ahead of need.
func (p *purse) target(now time.Time) int64 {
	want := math.Ceil(p.demandAt(now)*lookahead.Seconds()+p.limit.burst*reserveAhead) + 1
	return int64(max(1, min(want, math.Floor(p.limit.burst*shareAhead))))
}

// wants returns what to ask the owner for, and whether to ask.
func (p *purse) wants(now time.Time, lifetime time.Duration, waiting int) (need, ahead int64, ask bool) {
	if p.open != 0 || now.Before(p.retryAt) {
		return 0, 0, false
	}
	p.expire(now)
	need = max(0, int64(waiting)-p.held)
	active := now.Sub(p.seen) < activeFor
	target := p.target(now)
	if excess := p.held - excessAhead*target; excess > 0 {
		// Reporting fewer tokens than are held hands the rest back, for
		// hosts whose demand has risen.
		p.held = target
		return 0, 0, true
	}
	if active && !now.Before(p.aheadAt) {
		ahead = max(0, target-p.held)
	}
	low := ahead > 0 && 2*p.held < target
	renew := active && p.held > 0 && p.expires.Sub(now) < lifetime/2
	return need, ahead, need > 0 || low || renew
}

// setLimit changes the limit. Tokens granted under a greater burst than the
// new one are dropped, because together with those of other holders they may
// exceed it.
func (p *purse) setLimit(l Limit) {
	p.limit, p.closed = l, false
	if p.granted > l.burst {
		p.held = 0
	}
}

// close drops the tokens and the request under way of a team without limit.
func (p *purse) close() {
	p.closed = true
	p.drop()
}

// drop drops the tokens and the request under way.
func (p *purse) drop() {
	p.held, p.open = 0, 0
	p.refused, p.retryAt = false, time.Time{}
}

// receive adds granted tokens and renews the others.
func (p *purse) receive(a Response, lifetime time.Duration, now time.Time) {
	p.expire(now)
	expires := p.sentAt.Add(lifetime)
	if a.burst > p.limit.burst || !now.Before(expires) {
		return
	}
	if p.held == 0 {
		p.granted = 0
	}
	p.granted = max(p.granted, a.burst)
	p.held += a.tokens
	p.expires = expires
}
