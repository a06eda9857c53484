package limit

import (
	"time"

	"rhubarbrack/ident"
)

const (
	// DefaultRefillWait is how long a request may wait for refill before it is
	// refused. It outlasts the pause between two recalls and the recall, so
	// that tokens on other hosts are not mistaken for used ones.
	DefaultRefillWait = 200 * time.Millisecond
	// DefaultMaxWait bounds the wait while no owner grants. It outlasts the
	// replacement of an owner after a lease of 3 s, and the time in which the
	// requests that waited for it use up the refill.
	DefaultMaxWait = 10 * time.Second
	// graceWaits times the maximum wait after an owner was missing or new,
	// requests still wait that long for refill: those that arrived meanwhile
	// are within the rate but find a level that started at 0.
	graceWaits = 2
	// unavailableRetry is the retry-after of a request that waited for an
	// owner in vain.
	unavailableRetry = time.Second
	// failurePause is the pause after a request that was not answered.
	failurePause = 20 * time.Millisecond
)

// Decision is what a holder decides on one request.
type Decision struct {
	admitted   bool
	reason     Reason
	retryAfter time.Duration
}

// Admitted reports whether the request may run.
func (v Decision) Admitted() bool { return v.admitted }

// MustWait reports whether the request has to wait for tokens. The caller asks
// again after the next answer.
func (v Decision) MustWait() bool { return !v.admitted && v.reason == "" }

// Reason returns why the request is refused, or "".
func (v Decision) Reason() Reason { return v.reason }

// RetryAfter returns when a refused request may succeed.
func (v Decision) RetryAfter() time.Duration { return v.retryAfter }

// Refuse returns a refusal.
func Refuse(r Reason, retryAfter time.Duration) Decision {
	return Decision{reason: r, retryAfter: retryAfter}
}

// Holder spends the tokens of one entry host. It is not safe for concurrent
// use.
type Holder struct {
	id       HolderID
	lifetime time.Duration
	patience time.Duration
	maxWait  time.Duration
	shards   int
	epochs   map[int]ident.Epoch
	purses   map[ident.Team]*purse
	sequence uint64
	stopping bool
}

// HolderOption changes a default of NewHolder.
type HolderOption func(*Holder)

// WithLifetime sets how long a grant is valid. Owners must use the same.
func WithLifetime(d time.Duration) HolderOption { return func(h *Holder) { h.lifetime = d } }

// WithRefillWait sets how long a request may wait for refill.
func WithRefillWait(d time.Duration) HolderOption { return func(h *Holder) { h.patience = d } }

// WithMaxWait sets how long a request may wait while no owner grants.
func WithMaxWait(d time.Duration) HolderOption { return func(h *Holder) { h.maxWait = d } }

// NewHolder returns a holder without limits and tokens.
func NewHolder(id HolderID, list ...HolderOption) *Holder {
	h := &Holder{
		id: id, lifetime: DefaultLifetime, patience: DefaultRefillWait, maxWait: DefaultMaxWait,
		shards: 1, epochs: map[int]ident.Epoch{}, purses: map[ident.Team]*purse{},
	}
	for _, apply := range list {
		apply(h)
	}
	return h
}

// ID returns the name of the holder.
func (h *Holder) ID() HolderID { return h.id }

// Shards returns the number of shards that the holder knows.
func (h *Holder) Shards() int { return h.shards }

// ForEachTeam calls visit for each team with a limit, in no particular order.
func (h *Holder) ForEachTeam(visit func(ident.Team)) {
	for t, p := range h.purses {
		if !p.closed {
			visit(t)
		}
	}
}

// SetLimits replaces the limits and the number of shards. A change of that
// number drops all tokens, and the epochs have to be set again.
func (h *Holder) SetLimits(limits map[ident.Team]Limit, shards int) {
	if shards != h.shards {
		h.shards = shards
		h.epochs = map[int]ident.Epoch{}
		for _, p := range h.purses {
			p.close()
		}
	}
	for t, p := range h.purses {
		if _, ok := limits[t]; !ok {
			p.close()
		}
	}
	for t, l := range limits {
		if p, ok := h.purses[t]; ok {
			p.setLimit(l)
		} else {
			h.purses[t] = &purse{limit: l}
		}
	}
}

// SetEpoch names the epoch of a shard's owner. A greater epoch than the known
// one fences it: answers and recalls of earlier owners are ignored from now
// on. Tokens held stay valid until they expire.
func (h *Holder) SetEpoch(shard int, e ident.Epoch, now time.Time) {
	if e <= h.epochs[shard] {
		return
	}
	h.epochs[shard] = e
	for t, p := range h.purses {
		if Shard(t, h.shards) == shard {
			p.open, p.refused = 0, false
			p.retryAt, p.aheadAt = time.Time{}, time.Time{}
			// The new owner starts at level 0, so requests within the rate
			// may have to wait for its refill.
			p.graceUntil = now.Add(graceWaits * h.maxWait)
		}
	}
}

// Epoch returns the epoch of a shard's owner, or 0 when none is known.
func (h *Holder) Epoch(shard int) ident.Epoch { return h.epochs[shard] }

// Admit counts a new request towards the demand of its team, and decides on
// it as Take does. Behind others that wait already, it takes no token.
func (h *Holder) Admit(t ident.Team, now time.Time, behind bool) Decision {
	p, ok := h.purses[t]
	if !ok || p.closed || h.stopping {
		return h.TryTake(t, now, now)
	}
	p.count(now)
	if !p.arrivals.admit(p.limit, h.patience, now) {
		// Without this, a team over its rate would wait in vain while the
		// owner is replaced.
		return Refuse(ReasonRate, p.limit.wait(1))
	}
	if behind {
		return h.wait(p, now, now)
	}
	return h.TryTake(t, now, now)
}

// TryTake decides on a request that arrived at since. A request that finds no
// token waits while the owner is asked, up to the patience once the owner has
// said that there are none, and up to the maximum wait otherwise.
func (h *Holder) TryTake(t ident.Team, now, since time.Time) Decision {
	p, ok := h.purses[t]
	switch {
	case h.stopping:
		return Refuse(ReasonStopping, unavailableRetry)
	case !ok || p.closed:
		return Refuse(ReasonUnknownTeam, unavailableRetry)
	case p.spend(now):
		return Decision{admitted: true}
	}
	return h.wait(p, now, since)
}

// wait decides whether a request without a token waits on.
func (h *Holder) wait(p *purse, now, since time.Time) Decision {
	deadline := since.Add(h.maxWait)
	if p.refused {
		if !since.Before(p.graceUntil) {
			deadline = since.Add(h.patience)
		}
		if later(p.retryAt, now).After(deadline) {
			return Refuse(ReasonRate, max(p.retryAt.Sub(now), p.limit.wait(1)))
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

// NextRequest returns the request to send to the owner of the team's shard now, if
// there is one: for requests that wait, to refill ahead of need, or to renew
// tokens. Each team has at most one request under way; it ends with Accept or
// Abandon.
func (h *Holder) NextRequest(t ident.Team, now time.Time, waiting int) (TokenRequest, bool) {
	p, ok := h.purses[t]
	if !ok || p.closed || h.stopping {
		return TokenRequest{}, false
	}
	epoch := h.epochs[Shard(t, h.shards)]
	if epoch == 0 {
		return TokenRequest{}, false
	}
	need, ahead, ask := p.wants(now, h.lifetime, waiting)
	if !ask {
		return TokenRequest{}, false
	}
	h.sequence++
	p.open, p.sentAt = h.sequence, now
	return NewTokenRequest(h.id, epoch, h.sequence, h.holding(t, p), p.limit.burst, need, ahead), true
}

func (h *Holder) holding(t ident.Team, p *purse) Holding {
	return NewHolding(t, p.spent, p.held, p.open)
}

// HandleResponse takes the answer to the request under way and reports whether it was
// that. Any other answer is late, duplicated or fenced and has no effect.
func (h *Holder) HandleResponse(a Response, now time.Time) bool {
	p, ok := h.purses[a.team]
	if !ok || p.open == 0 || p.open != a.sequence || a.epoch != h.epochs[Shard(a.team, h.shards)] {
		return false
	}
	p.open = 0
	p.retryAt = now.Add(a.retryAfter)
	p.refused = a.status == Refused
	switch a.status {
	case Granted, Refused:
		p.receive(a, h.lifetime, now)
		if p.held < p.target(now) {
			p.aheadAt = now.Add(aheadPause)
		}
	case Recovering, NotOwner:
		p.graceUntil = now.Add(graceWaits * h.maxWait)
	}
	return true
}

// AbandonRequest ends a request that got no answer. Its answer is ignored if it
// still arrives, and the next report tells the owner so.
func (h *Holder) AbandonRequest(r TokenRequest, now time.Time) {
	p, ok := h.purses[r.Team()]
	if !ok || p.open != r.sequence {
		return
	}
	p.open = 0
	p.refused = false
	p.retryAt = now.Add(failurePause)
	p.graceUntil = now.Add(graceWaits * h.maxWait)
}

// Holdings returns the report of a shard for the owner in epoch e, and false
// when a greater epoch or another number of shards is known. With a team
// giveBack, only that team is reported, and its unspent tokens are handed
// back.
func (h *Holder) Holdings(shard, shards int, e ident.Epoch, giveBack ident.Team, now time.Time) (Holdings, bool) {
	if shards != h.shards || e < h.epochs[shard] {
		return Holdings{}, false
	}
	h.SetEpoch(shard, e, now)
	h.sequence++
	var list []Holding
	for t, p := range h.purses {
		if giveBack != "" && t != giveBack || Shard(t, h.shards) != shard {
			continue
		}
		p.expire(now)
		if t == giveBack {
			p.held = 0
		}
		if p.held > 0 || p.spent > 0 || p.open != 0 {
			list = append(list, h.holding(t, p))
		}
	}
	return NewHoldings(h.id, e, h.sequence, list), true
}

// Release stops the holder for good and returns the requests that hand its
// unspent tokens back and report what it spent.
func (h *Holder) Release(now time.Time) []TokenRequest {
	h.stopping = true
	var list []TokenRequest
	for t, p := range h.purses {
		p.expire(now)
		epoch := h.epochs[Shard(t, h.shards)]
		if epoch == 0 || p.held == 0 && p.open == 0 && p.spent == 0 {
			continue
		}
		p.held, p.open = 0, 0
		h.sequence++
		list = append(list, NewTokenRequest(h.id, epoch, h.sequence, h.holding(t, p), p.limit.burst, 0, 0))
	}
	return list
}

// DropTokens drops all tokens and the requests under way.
func (h *Holder) DropTokens() {
	for _, p := range h.purses {
		p.drop()
	}
}

// Held returns the unspent tokens of a team.
func (h *Holder) Held(t ident.Team, now time.Time) int64 {
	p, ok := h.purses[t]
	if !ok {
		return 0
	}
	p.expire(now)
	return p.held
}
