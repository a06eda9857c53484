package quota

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// The parts of every rate. They add up to one.
const (
	// StaticShare is the part that is divided equally among the hosts and
	// needs no communication.
	StaticShare = 0.35
	// LeasedShare is the part that is leased to hosts by demand, see
	// Allocator.
	LeasedShare = 0.35
	// ReserveShare is the part that the allocator hands out token by token to
	// hosts that have used up their own share: the requests of a small team
	// arrive unevenly at many hosts.
	ReserveShare = 1 - StaticShare - LeasedShare
)

// Limiter limits the requests of each team to this host's share of the team's
// rate. It is not safe for concurrent use.
type Limiter struct {
	window time.Duration
	teams  map[ident.Team]*bucket
	// nearLimit holds the teams near their limit, as reported by the
	// allocator.
	nearLimit      map[ident.Team]bool
	nearLimitUntil time.Time
}

const (
	// burstFlow is the fraction of the burst that flows in over each window,
	// in addition to the rate. A team may use rate x window + burst in every
	// window; if the buckets are full at its start, this value keeps the
	// excess within a tenth of that.
	burstFlow = 0.5
	// extraTokens is the bucket capacity of all hosts together beyond their
	// shares of the burst, and maxExtraTokens the most of it on one host.
	extraTokens    = 4.0
	maxExtraTokens = 2.0
)

// bucket is the token bucket of a team on this host.
type bucket struct {
	rate       float64
	burst      float64
	requested  *Window
	admitted   *Window
	tokens     float64
	refilledAt time.Time
	leased     float64
	until      time.Time
	// nextRequest is the earliest time for the next request to the reserve.
	nextRequest time.Time
}

// NewLimiter returns a limiter that measures the demand of teams over the
// given window.
func NewLimiter(window time.Duration) *Limiter {
	return &Limiter{window: window, teams: map[ident.Team]*bucket{}}
}

// TakeToken takes a token of a team with the given rate in requests per second
// and burst, on one of hostCount hosts. If there is none, it returns the
// estimated time until one is available.
func (l *Limiter) TakeToken(now time.Time, name ident.Team, rate, burst float64, hostCount int) (time.Duration, bool) {
	if rate <= 0 {
		return 0, true
	}
	static := StaticShare / float64(max(hostCount, 1))
	b, ok := l.teams[name]
	if !ok {
		b = &bucket{requested: NewWindow(l.window), admitted: NewWindow(l.window), refilledAt: now}
		b.tokens = b.capacity(static, hostCount, burst, l.isNearLimit(now, name))
		l.teams[name] = b
	}
	b.rate, b.burst = rate, burst
	b.requested.Add(now, 1)
	share := static + b.leasedShare(now)
	b.refill(now, share, hostCount, l.window, l.isNearLimit(now, name))
	if b.tokens < 1 {
		refill := share * refillRate(rate, burst, l.window)
		// All refused requests compete for the same tokens.
		competitors := max(1, b.requested.Sum(now)/(refill*l.window.Seconds()))
		return time.Duration((1 - b.tokens) / refill * competitors * float64(time.Second)), false
	}
	b.tokens--
	b.admitted.Add(now, 1)
	return 0, true
}

func (l *Limiter) isNearLimit(now time.Time, name ident.Team) bool {
	return l.nearLimit[name] && now.Before(l.nearLimitUntil)
}

// refillRate returns the tokens per second of all hosts together.
func refillRate(rate, burst float64, window time.Duration) float64 {
	return rate + burstFlow*burst/window.Seconds()
}

// windowLimit returns how many requests of a team all hosts together may admit
// in each window.
func windowLimit(rate, burst float64, window time.Duration) float64 {
	return rate*window.Seconds() + burst
}

// tokenRequestPause is how long a host waits before it asks an empty reserve
// again, so that a team far over its rate does not load the allocator.
const tokenRequestPause = 100 * time.Millisecond

// CanRequestToken reports whether the host may ask the reserve for a token
// now.
func (l *Limiter) CanRequestToken(now time.Time, name ident.Team) bool {
	b, ok := l.teams[name]
	return ok && !now.Before(b.nextRequest)
}

// TokenDenied records that the reserve of a team was empty.
func (l *Limiter) TokenDenied(now time.Time, name ident.Team) {
	if b, ok := l.teams[name]; ok {
		b.nextRequest = now.Add(tokenRequestPause)
	}
}

// refill adds the tokens for the time since the last call. A greater share
// increases the refill rate and the capacity, but does not fill the bucket at
// once: the host that held the share before may have spent its tokens.
func (b *bucket) refill(now time.Time, share float64, hostCount int, window time.Duration, nearLimit bool) {
	elapsed := max(0, now.Sub(b.refilledAt).Seconds())
	b.tokens = min(b.tokens+elapsed*share*refillRate(b.rate, b.burst, window), b.capacity(share, hostCount, b.burst, nearLimit))
	b.refilledAt = now
}

// capacity returns the capacity of the bucket. Unless the team is near its
// limit, every host may hold one whole token, however small its share.
func (b *bucket) capacity(share float64, hostCount int, burst float64, nearLimit bool) float64 {
	capacity := share*burst + min(maxExtraTokens, extraTokens/float64(max(hostCount, 1)))
	if nearLimit {
		return capacity
	}
	return max(1, capacity)
}

// leasedShare returns the share that is on lease to this host.
func (b *bucket) leasedShare(now time.Time) float64 {
	if now.Before(b.until) {
		return b.leased
	}
	return 0
}

// ApplyLeases sets the leases that are valid until the given time, and the
// teams near their limit.
func (l *Limiter) ApplyLeases(leases []Lease, nearLimit []ident.Team, until time.Time) {
	for _, s := range leases {
		if b, ok := l.teams[s.team]; ok {
			b.leased, b.until = s.share, until
		}
	}
	l.nearLimit, l.nearLimitUntil = map[ident.Team]bool{}, until
	for _, name := range nearLimit {
		l.nearLimit[name] = true
	}
}

// Demand returns the demand of all teams with requests in the last window or a
// lease, in ascending order.
func (l *Limiter) Demand(now time.Time) []Demand {
	var list []Demand
	for name, b := range l.teams {
		requested, leasedShare := b.requested.Sum(now), b.leasedShare(now)
		if requested == 0 && leasedShare == 0 {
			continue
		}
		refill := refillRate(b.rate, b.burst, l.window) * l.window.Seconds()
		list = append(list, NewDemand(
			name, requested/refill, b.admitted.Sum(now)/windowLimit(b.rate, b.burst, l.window), leasedShare))
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.team, b.team) })
	return list
}

// Retain removes the teams for which keep returns false.
func (l *Limiter) Retain(keep func(ident.Team) bool) {
	for name := range l.teams {
		if !keep(name) {
			delete(l.teams, name)
		}
	}
}
