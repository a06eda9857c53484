package limit

import (
	"time"

	"rhubarbrack/ident"
)

const (
	// DefaultRefillWait is how long a request may wait for refill before it is
	// refused. It is longer than a recall and the pause between two recalls,
	// so that tokens held by other hosts are not mistaken for spent ones.
	DefaultRefillWait = 200 * time.Millisecond
	// DefaultMaxWait bounds the wait while no owner grants. It is longer than
	// the replacement of an owner after a lease of 3 s, plus the time in which
	// the requests that waited for the owner use up the refill.
	DefaultMaxWait = 10 * time.Second
	// graceWaits is the length of the grace period after an owner was missing
	// or new, in maximum waits. In it, requests wait up to the maximum wait
	// for refill: those that arrived meanwhile are within the rate but find a
	// level that started at 0.
	graceWaits = 2
	// unavailableRetry is the retry-after of a request for which no owner was
	// available.
	unavailableRetry = time.Second
	// failurePause is the pause after a token request without a response.
	failurePause = 20 * time.Millisecond
)

// Decision is a holder's decision on one request: admitted, waiting or refused.
type Decision struct {
	admitted   bool
	reason     Reason
	retryAfter time.Duration
}

// Admitted reports whether the request may run.
func (d Decision) Admitted() bool { return d.admitted }

// MustWait reports whether the request has to wait for tokens. The caller calls
// TryTake again after the next response.
func (d Decision) MustWait() bool { return !d.admitted && d.reason == "" }

// Reason returns why the request is refused, or "".
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns the delay after which a refused request may succeed.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Refuse returns a refusal.
func Refuse(r Reason, retryAfter time.Duration) Decision {
	return Decision{reason: r, retryAfter: retryAfter}
}

// Holder holds and spends the tokens of one entry host. It is not safe for
// concurrent use.
type Holder struct {
	id         HolderID
	lifetime   time.Duration
	refillWait time.Duration
	maxWait    time.Duration
	shards     int
	epochs     map[int]ident.Epoch
	balances   map[ident.Team]*tokenBalance
	sequence   uint64
	stopping   bool
}

// HolderOption changes a default of NewHolder.
type HolderOption func(*Holder)

// WithLifetime sets how long a grant is valid. Owners must use the same value.
func WithLifetime(d time.Duration) HolderOption { return func(h *Holder) { h.lifetime = d } }

// WithRefillWait sets how long a request may wait for refill.
func WithRefillWait(d time.Duration) HolderOption { return func(h *Holder) { h.refillWait = d } }

// WithMaxWait sets how long a request may wait while no owner grants.
func WithMaxWait(d time.Duration) HolderOption { return func(h *Holder) { h.maxWait = d } }

// NewHolder returns a holder without limits and tokens.
func NewHolder(id HolderID, list ...HolderOption) *Holder {
	h := &Holder{
		id: id, lifetime: DefaultLifetime, refillWait: DefaultRefillWait, maxWait: DefaultMaxWait,
		shards: 1, epochs: map[int]ident.Epoch{}, balances: map[ident.Team]*tokenBalance{},
	}
	for _, apply := range list {
		apply(h)
	}
	return h
}

// ID returns the identifier of the holder.
func (h *Holder) ID() HolderID { return h.id }

// Shards returns the number of shards in force.
func (h *Holder) Shards() int { return h.shards }

// ForEachTeam calls visit for each team with a limit, in no particular order.
func (h *Holder) ForEachTeam(visit func(ident.Team)) {
	for t, b := range h.balances {
		if !b.limitRemoved {
			visit(t)
		}
	}
}

// SetLimits replaces the limits and the number of shards. If that number
// changes, all tokens are dropped and the epochs have to be set again.
func (h *Holder) SetLimits(limits map[ident.Team]Limit, shards int) {
	if shards != h.shards {
		h.shards = shards
		h.epochs = map[int]ident.Epoch{}
		for _, b := range h.balances {
			b.removeLimit()
		}
	}
	for t, b := range h.balances {
		if _, ok := limits[t]; !ok {
			b.removeLimit()
		}
	}
	for t, l := range limits {
		if b, ok := h.balances[t]; ok {
			b.setLimit(l)
		} else {
			h.balances[t] = &tokenBalance{limit: l}
		}
	}
}

// SetEpoch sets the epoch of a shard's owner. A greater epoch than the known
// one fences earlier owners: their responses and recalls are ignored from now
// on. Tokens held stay valid until they expire.
func (h *Holder) SetEpoch(shard int, e ident.Epoch, now time.Time) {
	if e <= h.epochs[shard] {
		return
	}
	h.epochs[shard] = e
	for t, b := range h.balances {
		if Shard(t, h.shards) == shard {
			b.openSequence, b.refused = 0, false
			b.retryAt, b.prefetchAt = time.Time{}, time.Time{}
			// The new owner starts at level 0, so that requests within the
			// rate may have to wait for refill.
			b.graceUntil = now.Add(graceWaits * h.maxWait)
		}
	}
}

// Epoch returns the epoch of a shard's owner, or 0 when none is known.
func (h *Holder) Epoch(shard int) ident.Epoch { return h.epochs[shard] }

// Admit counts a new request towards the demand of its team, and decides on it
// as TryTake does. A request that is queued behind others takes no token.
func (h *Holder) Admit(t ident.Team, now time.Time, queued bool) Decision {
	b, ok := h.balances[t]
	if !ok || b.limitRemoved || h.stopping {
		return h.TryTake(t, now, now)
	}
	b.recordDemand(now)
	if !b.hostBucket.admit(b.limit, h.refillWait, now) {
		// Without this check, requests of a team over its rate would wait
		// while the owner is replaced, and be refused in the end.
		return Refuse(ReasonRate, b.limit.refillTime(1))
	}
	if queued {
		return h.waitOrRefuse(b, now, now)
	}
	return h.TryTake(t, now, now)
}

// TryTake decides on a request that arrived at since. A request that finds no
// token waits for the owner's response: up to the refill wait once the owner
// has refused tokens, and up to the maximum wait otherwise.
func (h *Holder) TryTake(t ident.Team, now, since time.Time) Decision {
	b, ok := h.balances[t]
	switch {
	case h.stopping:
		return Refuse(ReasonStopping, unavailableRetry)
	case !ok || b.limitRemoved:
		return Refuse(ReasonUnknownTeam, unavailableRetry)
	case b.spend(now):
		return Decision{admitted: true}
	}
	return h.waitOrRefuse(b, now, since)
}

// waitOrRefuse decides whether a request without a token keeps waiting.
func (h *Holder) waitOrRefuse(b *tokenBalance, now, since time.Time) Decision {
	deadline := since.Add(h.maxWait)
	if b.refused {
		if !since.Before(b.graceUntil) {
			deadline = since.Add(h.refillWait)
		}
		if later(b.retryAt, now).After(deadline) {
			return Refuse(ReasonRate, max(b.retryAt.Sub(now), b.limit.refillTime(1)))
		}
		return Decision{}
	}
	if !now.Before(deadline) {
		return Refuse(ReasonNoOwner, unavailableRetry)
	}
	return Decision{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// NextRequest returns the token request to send now to the owner of the team's
// shard, if there is one: for waiting requests, to prefetch or to renew tokens.
// Each team has at most one token request in flight; it ends with
// HandleResponse or AbandonRequest.
func (h *Holder) NextRequest(t ident.Team, now time.Time, waiting int) (TokenRequest, bool) {
	b, ok := h.balances[t]
	if !ok || b.limitRemoved || h.stopping {
		return TokenRequest{}, false
	}
	epoch := h.epochs[Shard(t, h.shards)]
	if epoch == 0 {
		return TokenRequest{}, false
	}
	needed, prefetch, send := b.nextRequest(now, h.lifetime, waiting)
	if !send {
		return TokenRequest{}, false
	}
	h.sequence++
	b.openSequence, b.sentAt = h.sequence, now
	return NewTokenRequest(h.id, epoch, h.sequence, h.holding(t, b), b.limit.burst, needed, prefetch), true
}

func (h *Holder) holding(t ident.Team, b *tokenBalance) Holding {
	return NewHolding(t, b.spent, b.held, b.openSequence)
}

// HandleResponse applies the response to the token request in flight and
// returns true. Any other response is late, duplicated or fenced; it has no
// effect.
func (h *Holder) HandleResponse(r Response, now time.Time) bool {
	b, ok := h.balances[r.team]
	if !ok || b.openSequence == 0 || b.openSequence != r.sequence || r.epoch != h.epochs[Shard(r.team, h.shards)] {
		return false
	}
	b.openSequence = 0
	b.retryAt = now.Add(r.retryAfter)
	b.refused = r.status == Refused
	switch r.status {
	case Granted, Refused:
		b.addGrant(r, h.lifetime, now)
		if b.held < b.prefetchTarget(now) {
			b.prefetchAt = now.Add(prefetchPause)
		}
	case Recovering, NotOwner:
		b.graceUntil = now.Add(graceWaits * h.maxWait)
	}
	return true
}

// AbandonRequest ends a token request that got no response. A late response is
// ignored, and the next report informs the owner of that.
func (h *Holder) AbandonRequest(r TokenRequest, now time.Time) {
	b, ok := h.balances[r.Team()]
	if !ok || b.openSequence != r.sequence {
		return
	}
	b.openSequence = 0
	b.refused = false
	b.retryAt = now.Add(failurePause)
	b.graceUntil = now.Add(graceWaits * h.maxWait)
}

// Holdings returns the report of a shard for the owner in epoch e, and false if
// a greater epoch or another number of shards is known. If recalled is a team,
// only that team is reported, and its unspent tokens are handed back.
func (h *Holder) Holdings(shard, shards int, e ident.Epoch, recalled ident.Team, now time.Time) (Holdings, bool) {
	if shards != h.shards || e < h.epochs[shard] {
		return Holdings{}, false
	}
	h.SetEpoch(shard, e, now)
	h.sequence++
	var list []Holding
	for t, b := range h.balances {
		if recalled != "" && t != recalled || Shard(t, h.shards) != shard {
			continue
		}
		b.expire(now)
		if t == recalled {
			b.held = 0
		}
		if b.held > 0 || b.spent > 0 || b.openSequence != 0 {
			list = append(list, h.holding(t, b))
		}
	}
	return NewHoldings(h.id, e, h.sequence, list), true
}

// Release stops the holder permanently. It returns the token requests that hand
// the unspent tokens back and report the spent ones.
func (h *Holder) Release(now time.Time) []TokenRequest {
	h.stopping = true
	var list []TokenRequest
	for t, b := range h.balances {
		b.expire(now)
		epoch := h.epochs[Shard(t, h.shards)]
		if epoch == 0 || b.held == 0 && b.openSequence == 0 && b.spent == 0 {
			continue
		}
		b.held, b.openSequence = 0, 0
		h.sequence++
		list = append(list, NewTokenRequest(h.id, epoch, h.sequence, h.holding(t, b), b.limit.burst, 0, 0))
	}
	return list
}

// DropTokens drops all tokens and the token requests in flight.
func (h *Holder) DropTokens() {
	for _, b := range h.balances {
		b.drop()
	}
}

// Held returns the unspent tokens of a team.
func (h *Holder) Held(t ident.Team, now time.Time) int64 {
	b, ok := h.balances[t]
	if !ok {
		return 0
	}
	b.expire(now)
	return b.held
}
