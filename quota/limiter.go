package quota

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// The parts of every rate. They add up to one.
const (
	// StaticShare is the part that the hosts share equally and without contact.
	StaticShare = 0.35
	// LeasedShare is the part that is lent to hosts by demand, see Lender.
	LeasedShare = 0.35
	// ReserveShare is the part that the lender keeps and gives out token by token
	// to hosts whose own share is used up: requests of a small team arrive
	// unevenly at many hosts.
	ReserveShare = 1 - StaticShare - LeasedShare
)

// Limiter holds the requests of each team on one host to the host's share of
// the team's rate. It is not safe for concurrent use.
type Limiter struct {
	span  time.Duration
	teams map[ident.Team]*team
	// tight holds the teams that have used most of their limit, as the lender
	// told.
	tight      map[ident.Team]bool
	tightUntil time.Time
}

const (
	// flowPart is the part of a burst that flows in over each window, beside
	// the rate. A team may use rate x window + burst in every window; with
	// the buckets full at its start, this stays within a tenth of that.
	flowPart = 0.5
	// spareTokens is the number of further tokens of all hosts together, and
	// mostSpare that of one host.
	spareTokens = 4.0
	mostSpare   = 2.0
)

// team is the token bucket of a team on this host.
type team struct {
	rate   float64
	burst  float64
	asked  *Window
	taken  *Window
	tokens float64
	filled time.Time
	lent   float64
	until  time.Time
	// dry is when the host may ask for a token of the reserve again.
	dry time.Time
}

// NewLimiter returns a counter of the requests of all teams. Their demand is
// measured over the given span.
func NewLimiter(span time.Duration) *Limiter {
	return &Limiter{span: span, teams: map[ident.Team]*team{}}
}

// TakeToken takes a token of a team with the given rate in requests per second and
// burst, on one of the given number of hosts. Without one it returns how long
// it takes until there is one.
func (t *Limiter) TakeToken(now time.Time, name ident.Team, rate, burst float64, hosts int) (time.Duration, bool) {
	if rate <= 0 {
		return 0, true
	}
	standing := StaticShare / float64(max(hosts, 1))
	e, ok := t.teams[name]
	if !ok {
		e = &team{asked: NewWindow(t.span), taken: NewWindow(t.span), filled: now}
		e.tokens = e.height(standing, hosts, burst, t.isTight(now, name))
		t.teams[name] = e
	}
	e.rate, e.burst = rate, burst
	e.asked.Add(now, 1)
	share := standing + e.held(now)
	e.fill(now, share, hosts, t.span, t.isTight(now, name))
	if e.tokens < 1 {
		supply := share * flow(rate, burst, t.span)
		// All that were refused wait for the same tokens.
		rivals := max(1, e.asked.Sum(now)/(supply*t.span.Seconds()))
		return time.Duration((1 - e.tokens) / supply * rivals * float64(time.Second)), false
	}
	e.tokens--
	e.taken.Add(now, 1)
	return 0, true
}

func (t *Limiter) isTight(now time.Time, name ident.Team) bool {
	return t.tight[name] && now.Before(t.tightUntil)
}

// flow returns the tokens per second of all hosts together.
func flow(rate, burst float64, span time.Duration) float64 {
	return rate + flowPart*burst/span.Seconds()
}

// limit returns how many requests a team may send in each span.
func limit(rate, burst float64, span time.Duration) float64 { return rate*span.Seconds() + burst }

// borrowPause keeps a host from asking for the reserve of a team again after
// it was empty: a team far over its rate must not load the lender.
const borrowPause = 100 * time.Millisecond

// CanRequestToken reports whether the host should ask for a token of the reserve.
func (t *Limiter) CanRequestToken(now time.Time, name ident.Team) bool {
	e, ok := t.teams[name]
	return ok && !now.Before(e.dry)
}

// TokenDenied notes that the reserve of a team was empty.
func (t *Limiter) TokenDenied(now time.Time, name ident.Team) {
	if e, ok := t.teams[name]; ok {
		e.dry = now.Add(borrowPause)
	}
}

// fill adds the tokens of the time since the last call. A greater share lets
// the bucket fill faster and higher; it does not fill it at once, because the
// tokens of the share may have been spent on the host that held it before.
func (e *team) fill(now time.Time, share float64, hosts int, span time.Duration, tight bool) {
	passed := max(0, now.Sub(e.filled).Seconds())
	e.tokens = min(e.tokens+passed*share*flow(e.rate, e.burst, span), e.height(share, hosts, e.burst, tight))
	e.filled = now
}

// height returns how many tokens the bucket holds at most. While a team is far
// from its limit, each host may hold a whole one, however small its share is.
func (e *team) height(share float64, hosts int, burst float64, tight bool) float64 {
	height := share*burst + min(mostSpare, spareTokens/float64(max(hosts, 1)))
	if tight {
		return height
	}
	return max(1, height)
}

// held returns the share that is lent to this host.
func (e *team) held(now time.Time) float64 {
	if now.Before(e.until) {
		return e.lent
	}
	return 0
}

// ApplyLeases takes over the shares that were lent until the given time, and the teams
// that have used most of their limit.
func (t *Limiter) ApplyLeases(shares []Lease, tight []ident.Team, until time.Time) {
	for _, s := range shares {
		if e, ok := t.teams[s.team]; ok {
			e.lent, e.until = s.share, until
		}
	}
	t.tight, t.tightUntil = map[ident.Team]bool{}, until
	for _, name := range tight {
		t.tight[name] = true
	}
}

// Demand reports the demand of all teams that have been active lately.
func (t *Limiter) Demand(now time.Time) []Demand {
	var list []Demand
	for name, e := range t.teams {
		asked, held := e.asked.Sum(now), e.held(now)
		if asked == 0 && held == 0 {
			continue
		}
		supply := flow(e.rate, e.burst, t.span) * t.span.Seconds()
		list = append(list, NewDemand(name, asked/supply, e.taken.Sum(now)/limit(e.rate, e.burst, t.span), held))
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.team, b.team) })
	return list
}

// Retain forgets the teams for which keep returns false.
func (t *Limiter) Retain(keep func(ident.Team) bool) {
	for name := range t.teams {
		if !keep(name) {
			delete(t.teams, name)
		}
	}
}
