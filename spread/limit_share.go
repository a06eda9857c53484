package spread

import (
	"time"

	"rhubarbrack/ident"
)

// LimitReport is what a host knows of a target's rate limit: the limit, how long
// ago the target stated it, and the requests that the host would have sent there
// over the last limitWindow.
type LimitReport struct {
	limit  RateLimit
	age    time.Duration
	wanted float64
}

// NewLimitReport returns a report. A limit that is not set tells that the target
// no longer has one.
func NewLimitReport(limit RateLimit, age time.Duration, wanted float64) LimitReport {
	return LimitReport{limit: limit, age: age, wanted: wanted}
}

// Limit returns the limit.
func (r LimitReport) Limit() RateLimit { return r.limit }

// Age returns how long ago the target stated the limit.
func (r LimitReport) Age() time.Duration { return r.age }

// Wanted returns the number of requests that the host would have sent.
func (r LimitReport) Wanted() float64 { return r.wanted }

// LimitShare is a target's rate limit, how long ago the target stated it, and a
// host's share of it.
type LimitShare struct {
	target ident.Target
	limit  RateLimit
	age    time.Duration
	share  float64
}

// NewLimitShare returns a share, in [0, 1].
func NewLimitShare(target ident.Target, limit RateLimit, age time.Duration, share float64) LimitShare {
	return LimitShare{target: target, limit: limit, age: age, share: share}
}

// Target returns the target.
func (s LimitShare) Target() ident.Target { return s.target }

// Limit returns the limit, which is not set if the target no longer has one.
func (s LimitShare) Limit() RateLimit { return s.limit }

// Age returns how long ago the target stated the limit.
func (s LimitShare) Age() time.Duration { return s.age }

// Share returns the host's share of the limit.
func (s LimitShare) Share() float64 { return s.share }

// limitReport returns what to report of a target's rate limit, if there is
// anything that other hosts do not know.
func (s *targetState) limitReport(now time.Time) ident.Option[LimitReport] {
	l := s.limiter
	if l == nil {
		return ident.None[LimitReport]()
	}
	age, wanted := now.Sub(l.statedAt), l.wanted.Sum(now)
	if age > limitReportTime || l.limit.isSet && wanted == 0 && age > shareLifetime {
		return ident.None[LimitReport]()
	}
	return ident.Some(NewLimitReport(l.limit, age, wanted))
}

// ApplyLimits applies the rate limits of targets that other hosts have heard of,
// and this host's shares.
func (t *Table) ApplyLimits(now time.Time, shares []LimitShare) {
	for _, r := range shares {
		s, ok := t.targets[r.target]
		if !ok {
			continue
		}
		t.applyLimit(now, now.Add(-r.age), s, r.limit)
		if s.limiter != nil {
			s.limiter.refill(now, t.hostShare)
			s.limiter.share, s.limiter.shareUntil = r.share, now.Add(shareLifetime)
		}
	}
}
