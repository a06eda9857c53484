package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rhubarbrack/ident"
)

const (
	// recallPause is the shortest time between two recalls of a team's
	// tokens. It bounds the calls that a team over its rate can cause.
	recallPause = 100 * time.Millisecond
	// recoveringRetry is when to ask again while an owner recovers or owner
	// and holder know different limits.
	recoveringRetry = 20 * time.Millisecond
	// scarcity is how long no tokens are granted ahead of need after a need
	// could not be met. Otherwise quiet holders take back at once what was
	// recalled from them for a busy one.
	scarcity = 2 * recallPause
	// recallMost bounds the holders that one recall asks, those with the most
	// tokens, so that a team over its rate does not cause calls to a whole
	// large fleet.
	recallMost = 16
	// forgetAfter is the number of lifetimes after which a loan is forgotten.
	forgetAfter = 10
)

// Owner keeps the buckets of one shard of teams during one epoch. It is not
// safe for concurrent use.
type Owner struct {
	epoch    ident.Epoch
	lifetime time.Duration
	wait     time.Duration
	live     map[HolderID]struct{}
	accounts map[ident.Team]*account
	round    uint64
}

// OwnerOption changes a default of NewOwner.
type OwnerOption func(*Owner)

// WithReportWait sets how long the owner waits for reports. The default is the
// lifetime, which is enough when no earlier owner grants after this one has
// started.
func WithReportWait(d time.Duration) OwnerOption { return func(o *Owner) { o.wait = d } }

// NewOwner returns the owner of a shard in an epoch. Grants are valid for
// lifetime, which every owner and holder must agree on. Live are the holders
// that may have grants of earlier epochs.
func NewOwner(e ident.Epoch, lifetime time.Duration, live []HolderID, list ...OwnerOption) *Owner {
	o := &Owner{epoch: e, lifetime: lifetime, wait: lifetime, accounts: map[ident.Team]*account{}}
	for _, apply := range list {
		apply(o)
	}
	o.live = make(map[HolderID]struct{}, len(live))
	for _, h := range live {
		o.live[h] = struct{}{}
	}
	return o
}

// Epoch returns the epoch of the owner.
func (o *Owner) Epoch() ident.Epoch { return o.epoch }

// SetLimit sets the limit of a team. A team that is new to the owner starts at
// level 0 and is not served before every live holder has reported in the
// round that it opens, or the wait has passed. A lower burst takes effect at once:
// nothing is granted until the unspent grants are below it.
func (o *Owner) SetLimit(t ident.Team, l Limit, now time.Time) {
	if a, ok := o.accounts[t]; ok {
		a.advance(now)
		a.limit = l
		a.clamp(now)
		return
	}
	o.round++
	a := &account{
		limit: l, updated: now, until: now.Add(o.wait), round: o.round,
		loans: map[HolderID]*loan{}, awaiting: make(map[HolderID]struct{}, len(o.live)),
	}
	for h := range o.live {
		a.awaiting[h] = struct{}{}
	}
	o.accounts[t] = a
}

// RemoveLimit removes a team.
func (o *Owner) RemoveLimit(t ident.Team) { delete(o.accounts, t) }

// Limit returns the limit of a team.
func (o *Owner) Limit(t ident.Team) (Limit, bool) {
	a, ok := o.accounts[t]
	if !ok {
		return Limit{}, false
	}
	return a.limit, true
}

// ReportRound returns the number of the latest round of reports. A caller that asks
// a holder for its holdings passes the round of that time to Report.
func (o *Owner) ReportRound() uint64 { return o.round }

// SetLive says which holders are live. A holder that is gone no longer admits
// requests, so that the owner stops waiting for its report.
func (o *Owner) SetLive(live []HolderID, now time.Time) {
	o.live = make(map[HolderID]struct{}, len(live))
	for _, h := range live {
		o.live[h] = struct{}{}
	}
	for _, a := range o.accounts {
		a.advance(now)
		for h := range a.awaiting {
			if _, ok := o.live[h]; !ok {
				delete(a.awaiting, h)
			}
		}
	}
}

// ApplyHoldings takes the complete holdings of a holder, asked for in the given
// round. A holder that has reported accepts no grants of earlier epochs. A
// report for another epoch is ignored.
func (o *Owner) ApplyHoldings(r Holdings, round uint64, now time.Time) {
	if r.epoch != o.epoch {
		return
	}
	expires := now.Add(o.lifetime)
	for _, h := range r.teams {
		if a, ok := o.accounts[h.team]; ok {
			a.advance(now)
			a.report(r.holder, r.sequence, h, expires)
			a.clamp(now)
		}
	}
	for _, a := range o.accounts {
		if a.round <= round {
			a.advance(now)
			delete(a.awaiting, r.holder)
		}
	}
}

// IsRecovered reports whether every team is served.
func (o *Owner) IsRecovered(now time.Time) bool {
	for _, a := range o.accounts {
		if !a.complete(now) {
			return false
		}
	}
	return true
}

// MissingHolders returns the holders that some team still awaits, in order.
func (o *Owner) MissingHolders(now time.Time) []HolderID {
	missing := map[HolderID]struct{}{}
	for _, a := range o.accounts {
		if a.complete(now) {
			continue
		}
		for h := range a.awaiting {
			missing[h] = struct{}{}
		}
	}
	return sortedHolders(missing)
}

// Grant answers a request. Tokens for waiting requests are granted first;
// tokens ahead of need take at most half of the rest, so that one holder does
// not empty the bucket of the others.
func (o *Owner) Grant(r TokenRequest, now time.Time) Response {
	if r.epoch != o.epoch {
		return ResponseTo(r, NotOwner, recoveringRetry)
	}
	a, ok := o.accounts[r.Team()]
	if !ok {
		return ResponseTo(r, LimitMismatch, recoveringRetry)
	}
	a.advance(now)
	if _, known := a.loans[r.holder]; !known {
		a.forget(now, forgetAfter*o.lifetime)
	}
	expires := now.Add(o.lifetime)
	if !a.report(r.holder, r.sequence, r.holding, expires) {
		return ResponseTo(r, Outdated, minRetryAfter)
	}
	a.clamp(now)
	switch {
	case !a.complete(now):
		return ResponseTo(r, Recovering, recoveringRetry)
	case a.limit.burst > r.burst:
		// The holder may know of a lowered burst before the owner does;
		// tokens granted under the old burst would exceed the new one.
		return ResponseTo(r, LimitMismatch, recoveringRetry)
	}
	return o.lend(a, r, expires)
}

// RetryGrant answers a refused request once more, after other holders handed tokens
// back.
func (o *Owner) RetryGrant(r TokenRequest, now time.Time) Response {
	a, ok := o.accounts[r.Team()]
	if !ok || r.epoch != o.epoch {
		return ResponseTo(r, NotOwner, recoveringRetry)
	}
	a.advance(now)
	l, ok := a.loans[r.holder]
	switch {
	case !ok || l.open != r.sequence || l.pending > 0:
		return ResponseTo(r, Outdated, minRetryAfter)
	case !a.complete(now) || a.limit.burst > r.burst:
		return ResponseTo(r, LimitMismatch, recoveringRetry)
	}
	return o.lend(a, r, now.Add(o.lifetime))
}

func (o *Owner) lend(a *account, r TokenRequest, expires time.Time) Response {
	tokens := min(max(0, r.need), whole(a.level))
	if tokens < r.need {
		a.scarce = a.updated.Add(scarcity)
	}
	if !a.updated.Before(a.scarce) {
		tokens += min(max(0, r.ahead), whole((a.level-float64(tokens))/2))
	}
	a.lend(r.holder, r.sequence, tokens, expires)
	status, retry := Granted, time.Duration(0)
	if tokens == 0 && r.need > 0 {
		status, retry = Refused, a.limit.wait(1-a.level)
		if a.unspent > a.loans[r.holder].unspent() {
			// Other holders have tokens, which the next recall may free.
			retry = min(retry, max(minRetryAfter, a.recalled.Add(recallPause).Sub(a.updated)))
		}
	}
	return NewResponse(r.Team(), o.epoch, r.sequence, status, tokens, a.limit.burst, retry)
}

// levelSlack absorbs the rounding of a level that is a sum of many refills.
const levelSlack = 1e-9

// whole returns the whole tokens in a level.
func whole(level float64) int64 { return int64(math.Floor(level + levelSlack)) }

// Recall returns the other holders that have most unspent tokens of a team,
// when it is worth asking them to hand these back: at most once per pause.
func (o *Owner) Recall(t ident.Team, except HolderID, now time.Time) []HolderID {
	a, ok := o.accounts[t]
	if !ok || !a.recalled.IsZero() && now.Sub(a.recalled) < recallPause {
		return nil
	}
	a.advance(now)
	var found []HolderID
	for h, l := range a.loans {
		if _, live := o.live[h]; live && h != except && l.unspent() > 0 {
			found = append(found, h)
		}
	}
	if len(found) == 0 {
		return nil
	}
	a.recalled = now
	slices.SortFunc(found, func(x, y HolderID) int {
		return cmp.Or(cmp.Compare(a.loans[y].unspent(), a.loans[x].unspent()), compareHolders(x, y))
	})
	return found[:min(len(found), recallMost)]
}

// Level returns the level and the unspent grants of a team.
func (o *Owner) Level(t ident.Team, now time.Time) (level float64, unspent int64) {
	a, ok := o.accounts[t]
	if !ok {
		return 0, 0
	}
	a.advance(now)
	return a.level, a.unspent
}

func sortedHolders(set map[HolderID]struct{}) []HolderID {
	out := make([]HolderID, 0, len(set))
	for h := range set {
		out = append(out, h)
	}
	slices.SortFunc(out, compareHolders)
	return out
}

func compareHolders(a, b HolderID) int {
	return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.incarnation, b.incarnation))
}
