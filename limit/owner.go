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
	// recoveringRetry is the delay before the next request while the owner
	// recovers or the limits of owner and holder differ.
	recoveringRetry = 20 * time.Millisecond
	// scarcityPeriod is how long no tokens are granted in advance after needed
	// tokens could not be granted. Otherwise holders with little demand would
	// at once regain the tokens that were recalled from them for a busy one.
	scarcityPeriod = 2 * recallPause
	// maxRecalled bounds the number of holders that one recall calls, those
	// with the most tokens, so that a team over its rate does not cause calls
	// to a whole large fleet.
	maxRecalled = 16
	// retainedLifetimes is the number of lifetimes for which an expired lease
	// is retained.
	retainedLifetimes = 10
)

// Owner holds the token buckets of one shard of teams during one epoch. It is
// not safe for concurrent use.
type Owner struct {
	epoch      ident.Epoch
	lifetime   time.Duration
	reportWait time.Duration
	live       map[HolderID]struct{}
	buckets    map[ident.Team]*teamBucket
	round      uint64
}

// OwnerOption changes a default of NewOwner.
type OwnerOption func(*Owner)

// WithReportWait sets how long the owner waits for reports. The default is the
// lifetime, which is enough when no earlier owner grants after this one has
// started.
func WithReportWait(d time.Duration) OwnerOption { return func(o *Owner) { o.reportWait = d } }

// NewOwner returns the owner of a shard in an epoch. Grants are valid for
// lifetime, which every owner and holder must agree on. Live are the holders
// that may have grants of earlier epochs.
func NewOwner(e ident.Epoch, lifetime time.Duration, live []HolderID, list ...OwnerOption) *Owner {
	o := &Owner{epoch: e, lifetime: lifetime, reportWait: lifetime, buckets: map[ident.Team]*teamBucket{}}
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
// level 0 and opens a round of reports: no tokens are granted until every live
// holder has reported in that round or the report wait has passed. A lower
// burst takes effect at once: nothing is granted until the unspent grants are
// below it.
func (o *Owner) SetLimit(t ident.Team, l Limit, now time.Time) {
	if b, ok := o.buckets[t]; ok {
		b.advance(now)
		b.limit = l
		b.clampLevel(now)
		return
	}
	o.round++
	b := &teamBucket{
		limit: l, updated: now, awaitUntil: now.Add(o.reportWait), round: o.round,
		leases: map[HolderID]*lease{}, awaitedReports: make(map[HolderID]struct{}, len(o.live)),
	}
	for h := range o.live {
		b.awaitedReports[h] = struct{}{}
	}
	o.buckets[t] = b
}

// RemoveLimit removes a team.
func (o *Owner) RemoveLimit(t ident.Team) { delete(o.buckets, t) }

// Limit returns the limit of a team.
func (o *Owner) Limit(t ident.Team) (Limit, bool) {
	b, ok := o.buckets[t]
	if !ok {
		return Limit{}, false
	}
	return b.limit, true
}

// ReportRound returns the number of the latest round of reports. A caller
// passes to ApplyHoldings the round at the time when it requested the holdings.
func (o *Owner) ReportRound() uint64 { return o.round }

// SetLive sets the live holders. A holder that is no longer live admits no
// requests, so that the owner stops waiting for its report.
func (o *Owner) SetLive(live []HolderID, now time.Time) {
	o.live = make(map[HolderID]struct{}, len(live))
	for _, h := range live {
		o.live[h] = struct{}{}
	}
	for _, b := range o.buckets {
		b.advance(now)
		for h := range b.awaitedReports {
			if _, ok := o.live[h]; !ok {
				delete(b.awaitedReports, h)
			}
		}
	}
}

// ApplyHoldings applies the complete report of a holder, requested in the given
// round. A holder that has reported accepts no grants of earlier epochs. A
// report for another epoch is ignored.
func (o *Owner) ApplyHoldings(r Holdings, round uint64, now time.Time) {
	if r.epoch != o.epoch {
		return
	}
	expires := now.Add(o.lifetime)
	for _, h := range r.teams {
		if b, ok := o.buckets[h.team]; ok {
			b.advance(now)
			b.applyHolding(r.holder, r.sequence, h, expires)
			b.clampLevel(now)
		}
	}
	for _, b := range o.buckets {
		if b.round <= round {
			b.advance(now)
			delete(b.awaitedReports, r.holder)
		}
	}
}

// IsRecovered reports whether tokens of every team can be granted.
func (o *Owner) IsRecovered(now time.Time) bool {
	for _, b := range o.buckets {
		if !b.isRecovered(now) {
			return false
		}
	}
	return true
}

// MissingHolders returns the holders whose report some team still awaits,
// sorted.
func (o *Owner) MissingHolders(now time.Time) []HolderID {
	missing := map[HolderID]struct{}{}
	for _, b := range o.buckets {
		if b.isRecovered(now) {
			continue
		}
		for h := range b.awaitedReports {
			missing[h] = struct{}{}
		}
	}
	return sortedHolders(missing)
}

// Grant returns the response to a token request. Tokens for waiting requests
// are granted first; a prefetch gets at most half of the rest, so that one
// holder does not empty the bucket for the others.
func (o *Owner) Grant(r TokenRequest, now time.Time) Response {
	if r.epoch != o.epoch {
		return ResponseTo(r, NotOwner, recoveringRetry)
	}
	b, ok := o.buckets[r.Team()]
	if !ok {
		return ResponseTo(r, LimitMismatch, recoveringRetry)
	}
	b.advance(now)
	if _, known := b.leases[r.holder]; !known {
		b.removeExpiredLeases(now, retainedLifetimes*o.lifetime)
	}
	expires := now.Add(o.lifetime)
	if !b.applyHolding(r.holder, r.sequence, r.holding, expires) {
		return ResponseTo(r, Outdated, minRetryAfter)
	}
	b.clampLevel(now)
	switch {
	case !b.isRecovered(now):
		return ResponseTo(r, Recovering, recoveringRetry)
	case b.limit.burst > r.burst:
		// The holder may apply a lowered burst before the owner does; tokens
		// granted under the old burst would exceed the new one.
		return ResponseTo(r, LimitMismatch, recoveringRetry)
	}
	return o.grantTokens(b, r, expires)
}

// RetryGrant returns a new response to a refused request, after other holders
// handed tokens back.
func (o *Owner) RetryGrant(r TokenRequest, now time.Time) Response {
	b, ok := o.buckets[r.Team()]
	if !ok || r.epoch != o.epoch {
		return ResponseTo(r, NotOwner, recoveringRetry)
	}
	b.advance(now)
	l, ok := b.leases[r.holder]
	switch {
	case !ok || l.openSequence != r.sequence || l.pending > 0:
		return ResponseTo(r, Outdated, minRetryAfter)
	case !b.isRecovered(now) || b.limit.burst > r.burst:
		return ResponseTo(r, LimitMismatch, recoveringRetry)
	}
	return o.grantTokens(b, r, now.Add(o.lifetime))
}

func (o *Owner) grantTokens(b *teamBucket, r TokenRequest, expires time.Time) Response {
	tokens := min(max(0, r.needed), wholeTokens(b.level))
	if tokens < r.needed {
		b.scarceUntil = b.updated.Add(scarcityPeriod)
	}
	if !b.updated.Before(b.scarceUntil) {
		tokens += min(max(0, r.prefetch), wholeTokens((b.level-float64(tokens))/2))
	}
	b.grant(r.holder, r.sequence, tokens, expires)
	status, retry := Granted, time.Duration(0)
	if tokens == 0 && r.needed > 0 {
		status, retry = Refused, b.limit.refillTime(1-b.level)
		if b.unspent > b.leases[r.holder].unspent() {
			// The next recall may free tokens that other holders have.
			retry = min(retry, max(minRetryAfter, b.recalledAt.Add(recallPause).Sub(b.updated)))
		}
	}
	return NewResponse(r.Team(), o.epoch, r.sequence, status, tokens, b.limit.burst, retry)
}

// levelTolerance absorbs the rounding error of a level that is a sum of many
// refills.
const levelTolerance = 1e-9

// wholeTokens returns the number of whole tokens in a level.
func wholeTokens(level float64) int64 { return int64(math.Floor(level + levelTolerance)) }

// Recall returns the other holders with the most unspent tokens of a team, from
// which the caller requests them back. It returns holders at most once per
// recall pause.
func (o *Owner) Recall(t ident.Team, except HolderID, now time.Time) []HolderID {
	b, ok := o.buckets[t]
	if !ok || !b.recalledAt.IsZero() && now.Sub(b.recalledAt) < recallPause {
		return nil
	}
	b.advance(now)
	var found []HolderID
	for h, l := range b.leases {
		if _, live := o.live[h]; live && h != except && l.unspent() > 0 {
			found = append(found, h)
		}
	}
	if len(found) == 0 {
		return nil
	}
	b.recalledAt = now
	slices.SortFunc(found, func(x, y HolderID) int {
		return cmp.Or(cmp.Compare(b.leases[y].unspent(), b.leases[x].unspent()), compareHolders(x, y))
	})
	return found[:min(len(found), maxRecalled)]
}

// Level returns the level and the unspent grants of a team.
func (o *Owner) Level(t ident.Team, now time.Time) (level float64, unspent int64) {
	b, ok := o.buckets[t]
	if !ok {
		return 0, 0
	}
	b.advance(now)
	return b.level, b.unspent
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
