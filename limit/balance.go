package limit

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = 500 * time.Millisecond
	// prefetchWindow is the time whose expected demand a holder keeps tokens
	// for. It covers several round trips to an owner in another region.
	prefetchWindow = 500 * time.Millisecond
	// prefetchBurstShare is the share of the burst that an active holder keeps
	// beyond its demand, for the start of a rise in demand.
	prefetchBurstShare = 0.02
	// activePeriod is how long after the last request of a team a holder keeps
	// renewing its tokens, so that sparse requests need no round trip.
	activePeriod = 30 * time.Second
	// prefetchPause is the pause after the owner granted fewer tokens than the
	// prefetch target.
	prefetchPause = 50 * time.Millisecond
	// excessFactor times the prefetch target is the balance above which a
	// holder hands tokens back after demand has fallen.
	excessFactor = 3
	// maxPrefetchShare is the greatest share of the burst that one holder
	// prefetches.
	maxPrefetchShare = 0.5
)

// tokenBalance is a holder's state of one team. The count of spent tokens is
// never reset, even while the limit is removed: an owner that still has the
// earlier count would take spent tokens for lost ones.
type tokenBalance struct {
	limit        Limit
	limitRemoved bool
	held         int64
	spent        int64
	grantedBurst float64
	expires      time.Time

	openSequence uint64
	sentAt       time.Time

	refused    bool
	retryAt    time.Time
	prefetchAt time.Time
	graceUntil time.Time

	demand        float64
	demandUpdated time.Time
	lastRequest   time.Time

	hostBucket hostBucket
}

// expire drops tokens whose lifetime has passed.
func (b *tokenBalance) expire(now time.Time) {
	if b.held > 0 && !now.Before(b.expires) {
		b.held = 0
	}
}

// spend takes one token, if there is one.
func (b *tokenBalance) spend(now time.Time) bool {
	b.expire(now)
	if b.held == 0 {
		return false
	}
	b.held--
	b.spent++
	return true
}

// recordDemand adds one request to the demand estimate, in requests per second.
func (b *tokenBalance) recordDemand(now time.Time) {
	if d := now.Sub(b.demandUpdated); d > 0 {
		b.demand *= math.Exp(-d.Seconds() / demandWindow.Seconds())
		b.demandUpdated = now
	}
	b.demand += 1 / demandWindow.Seconds()
	b.lastRequest = now
}

// demandAt returns the estimate at now.
func (b *tokenBalance) demandAt(now time.Time) float64 {
	return b.demand * math.Exp(-max(0, now.Sub(b.demandUpdated).Seconds())/demandWindow.Seconds())
}

// prefetchTarget returns the number of tokens to hold in advance.
func (b *tokenBalance) prefetchTarget(now time.Time) int64 {
	want := math.Ceil(b.demandAt(now)*prefetchWindow.Seconds()+b.limit.burst*prefetchBurstShare) + 1
	return int64(max(1, min(want, math.Floor(b.limit.burst*maxPrefetchShare))))
}

// nextRequest returns the tokens to request from the owner, for waiting
// requests and in advance, and whether to send a request now.
func (b *tokenBalance) nextRequest(now time.Time, lifetime time.Duration, waiting int) (needed, prefetch int64, send bool) {
	if b.openSequence != 0 || now.Before(b.retryAt) {
		return 0, 0, false
	}
	b.expire(now)
	needed = max(0, int64(waiting)-b.held)
	active := now.Sub(b.lastRequest) < activePeriod
	target := b.prefetchTarget(now)
	if excess := b.held - excessFactor*target; excess > 0 {
		// Reporting fewer tokens than are held hands the rest back, for
		// hosts whose demand has risen.
		b.held = target
		return 0, 0, true
	}
	if active && !now.Before(b.prefetchAt) {
		prefetch = max(0, target-b.held)
	}
	low := prefetch > 0 && 2*b.held < target
	renew := active && b.held > 0 && b.expires.Sub(now) < lifetime/2
	return needed, prefetch, needed > 0 || low || renew
}

// setLimit changes the limit. Tokens granted under a greater burst than the
// new one are dropped, because together with those of other holders they may
// exceed it.
func (b *tokenBalance) setLimit(l Limit) {
	b.limit, b.limitRemoved = l, false
	if b.grantedBurst > l.burst {
		b.held = 0
	}
}

// removeLimit marks the team as having no limit and drops its tokens and the
// request in flight.
func (b *tokenBalance) removeLimit() {
	b.limitRemoved = true
	b.drop()
}

// drop drops the tokens and the request in flight.
func (b *tokenBalance) drop() {
	b.held, b.openSequence = 0, 0
	b.refused, b.retryAt = false, time.Time{}
}

// addGrant adds granted tokens and renews those held.
func (b *tokenBalance) addGrant(r Response, lifetime time.Duration, now time.Time) {
	b.expire(now)
	expires := b.sentAt.Add(lifetime)
	if r.burst > b.limit.burst || !now.Before(expires) {
		return
	}
	if b.held == 0 {
		b.grantedBurst = 0
	}
	b.grantedBurst = max(b.grantedBurst, r.burst)
	b.held += r.tokens
	b.expires = expires
}
