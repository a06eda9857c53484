package spread

import (
	"math"
	"time"

	"rhubarbrack/quota"
)

const (
	// minRateLimit is the least rate limit that is applied, in requests per
	// second. A target that states less, even 0, still gets the few requests by
	// which the hosts learn that it takes more again.
	minRateLimit = 0.25
	// limitMargin keeps the requests of all hosts below a rate limit, since hosts
	// with small shares do not send evenly.
	limitMargin = 0.8
	// limitBurst is for how long a host may save up its share of a rate limit,
	// besides one request.
	limitBurst = 500 * time.Millisecond
	// limitWindow is the window over which a host counts the requests that it
	// would send to a target with a rate limit.
	limitWindow = 2 * time.Second
	// shareLifetime is how long a share of a rate limit is valid after it was
	// received. It covers several heartbeats.
	shareLifetime = 2 * time.Second
	// limitReportTime is how long hosts tell each other that a target no longer
	// has a rate limit.
	limitReportTime = 10 * time.Second
)

// RateLimit is the number of requests per second that a target takes from all
// entry hosts together, by its own statement. The zero value stands for no
// limit.
type RateLimit struct {
	rate  float64
	isSet bool
}

// NewRateLimit returns a limit in requests per second. Rates that are not
// numbers, and those below minRateLimit, count as minRateLimit.
func NewRateLimit(rate float64) RateLimit {
	if !(rate >= minRateLimit) {
		rate = minRateLimit
	}
	return RateLimit{rate: rate, isSet: true}
}

// Rate returns the limit in requests per second, and false if there is none.
func (l RateLimit) Rate() (float64, bool) { return l.rate, l.isSet }

// rateLimiter keeps this host's requests to one target to its share of the
// target's rate limit.
type rateLimiter struct {
	limit    RateLimit
	statedAt time.Time
	// share is this host's share of the limit until shareUntil. Afterwards all
	// hosts have equal shares.
	share      float64
	shareUntil time.Time
	tokens     float64
	refilledAt time.Time
	// wanted counts the requests that considered the target, and lastChoice is
	// the number of the last choice that did.
	wanted     *quota.Window
	lastChoice uint64
}

// newRateLimiter returns a limiter that has the given part of a token. It
// differs between hosts, so that they do not all send when one token is full.
func newRateLimiter(now time.Time, tokens float64) *rateLimiter {
	return &rateLimiter{tokens: tokens, refilledAt: now, wanted: quota.NewWindow(limitWindow)}
}

// state applies a statement of the target, unless a later one is known.
func (l *rateLimiter) state(now, statedAt time.Time, limit RateLimit, equalShare float64) {
	if statedAt.Before(l.statedAt) {
		return
	}
	l.refill(now, equalShare)
	l.limit, l.statedAt = limit, statedAt
}

// rate returns this host's share of the limit in requests per second.
func (l *rateLimiter) rate(now time.Time, equalShare float64) float64 {
	share := equalShare
	if now.Before(l.shareUntil) {
		share = l.share
	}
	return l.limit.rate * share * limitMargin
}

// refill adds the tokens of the time since the last call.
func (l *rateLimiter) refill(now time.Time, equalShare float64) {
	rate := l.rate(now, equalShare)
	most := 1 + rate*limitBurst.Seconds()
	l.tokens = math.Min(most, l.tokens+rate*max(0, now.Sub(l.refilledAt)).Seconds())
	l.refilledAt = now
}

// admits reports whether a request may be sent now. It counts the request of the
// numbered choice as wanted, once.
func (l *rateLimiter) admits(now time.Time, equalShare float64, choice uint64) bool {
	if !l.limit.isSet {
		return true
	}
	if choice != l.lastChoice {
		l.lastChoice = choice
		l.wanted.Add(now, 1)
	}
	l.refill(now, equalShare)
	return l.tokens >= 1
}

// wait returns the time until the next request may be sent.
func (l *rateLimiter) wait(now time.Time, equalShare float64) time.Duration {
	rate := l.rate(now, equalShare)
	if !l.limit.isSet || rate <= 0 {
		return 0
	}
	return time.Duration(max(0, 1-l.tokens) / rate * float64(time.Second))
}

// take counts a request that is sent, and reports whether it counts towards a
// limit.
func (l *rateLimiter) take() bool {
	if l.limit.isSet {
		l.tokens--
	}
	return l.limit.isSet
}

// giveBack takes back that a request was sent.
func (l *rateLimiter) giveBack() { l.tokens++ }

// applyLimit applies a statement of a target of the given time.
func (t *Table) applyLimit(now, statedAt time.Time, s *targetState, limit RateLimit) {
	if s.limiter == nil {
		if !limit.isSet {
			return
		}
		s.limiter = newRateLimiter(now, unitInterval(fmix64(t.hostHash^s.hash)))
	}
	s.limiter.state(now, statedAt, limit, t.hostShare)
}

// isLimited reports whether the target has a rate limit.
func (s *targetState) isLimited() bool { return s.limiter != nil && s.limiter.limit.isSet }

// admitsLimited reports whether the rate limit of a target, if it has one,
// admits a request of this host now.
func (t *Table) admitsLimited(now time.Time, s *targetState) bool {
	return s.limiter == nil || s.limiter.admits(now, t.hostShare, t.choices)
}
