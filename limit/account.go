package limit

import "time"

// loan is what the owner knows of one holder's tokens of one team.
type loan struct {
	confirmed       int64
	pending         int64
	pendingSequence uint64
	spent           int64
	sequence        uint64
	open            uint64
	expires         time.Time
}

// unspent returns the tokens that the holder may still spend.
func (l *loan) unspent() int64 { return l.confirmed + l.pending }

// account is the bucket of one team.
type account struct {
	limit    Limit
	level    float64
	updated  time.Time
	loans    map[HolderID]*loan
	unspent  int64
	awaiting map[HolderID]struct{}
	until    time.Time
	round    uint64
	recalled time.Time
	scarce   time.Time
	// soonest is no later than the first end of a loan, so that most updates
	// need not look at every loan.
	soonest time.Time
}

// complete reports whether nothing granted by earlier owners is unknown.
func (a *account) complete(now time.Time) bool {
	return len(a.awaiting) == 0 || !now.Before(a.until)
}

// room returns how far the level may rise: burst minus unspent grants.
func (a *account) room(now time.Time) float64 {
	if !a.complete(now) {
		return 0
	}
	return max(0, a.limit.burst-float64(a.unspent))
}

// advance expires loans and refills. Each piece of the time since the last
// update is capped by the grants that were unspent in it: a loan that expires
// makes room from its expiry on, not before.
func (a *account) advance(now time.Time) {
	for a.unspent > 0 && !a.soonest.After(now) {
		if !a.findSoonest() || a.soonest.After(now) {
			break
		}
		a.refillTo(a.soonest)
		a.expire(a.soonest)
	}
	a.refillTo(now)
}

// findSoonest sets soonest to the earliest end of a loan with unspent tokens
// and reports whether there is one.
func (a *account) findSoonest() bool {
	first := true
	for _, l := range a.loans {
		if l.unspent() > 0 && (first || l.expires.Before(a.soonest)) {
			a.soonest = l.expires
			first = false
		}
	}
	return !first
}

// watch notes the end of a loan.
func (a *account) watch(l *loan) {
	if l.expires.Before(a.soonest) || a.unspent == l.unspent() {
		a.soonest = l.expires
	}
}

// refillTo adds what accrued since the last update. The time before an
// account was complete gives nothing.
func (a *account) refillTo(t time.Time) {
	from := a.updated
	if len(a.awaiting) > 0 && from.Before(a.until) {
		from = a.until
	}
	if t.After(from) {
		a.level += a.limit.refill(t.Sub(from))
	}
	if t.After(a.updated) {
		a.updated = t
	}
	a.clamp(t)
}

func (a *account) clamp(now time.Time) { a.level = min(a.level, a.room(now)) }

// expire drops the loans that ended by now. Their tokens count as spent: a
// later report of them must not bring them back, because refill has replaced
// them since.
func (a *account) expire(now time.Time) {
	for _, l := range a.loans {
		if !l.expires.After(now) {
			a.unspent -= l.unspent()
			l.confirmed, l.pending, l.pendingSequence = 0, 0, 0
		}
	}
}

// forget removes loans that ended long ago, so that replaced processes do not
// accumulate. It looks at every loan and runs only when a holder is new.
func (a *account) forget(now time.Time, age time.Duration) {
	for h, l := range a.loans {
		if l.unspent() == 0 && now.Sub(l.expires) > age {
			delete(a.loans, h)
		}
	}
}

// report takes over what a holder says it has. It returns false for a report
// that is not later than the last one.
func (a *account) report(h HolderID, sequence uint64, r Holding, expires time.Time) bool {
	l, known := a.loans[h]
	if known && sequence <= l.sequence {
		return false
	}
	if !known {
		a.adopt(h, sequence, r, expires)
		return true
	}
	kept := int64(0)
	if l.pending > 0 && l.pendingSequence == r.open {
		kept = l.pending
	}
	spent := max(0, r.spent-l.spent)
	left := max(0, l.unspent()-kept-spent)
	held := min(max(0, r.held), left)
	a.unspent += held + kept - l.unspent()
	// What is neither spent nor held was lost on the way or handed back.
	// The holder never accepts it, so it returns to the level.
	a.level += float64(left - held)
	l.confirmed, l.pending = held, kept
	l.spent, l.sequence, l.open = max(l.spent, r.spent), sequence, r.open
	return true
}

// adopt records tokens that an earlier owner granted.
func (a *account) adopt(h HolderID, sequence uint64, r Holding, expires time.Time) {
	held := max(0, r.held)
	a.loans[h] = &loan{confirmed: held, spent: r.spent, sequence: sequence, open: r.open, expires: expires}
	a.unspent += held
	a.watch(a.loans[h])
}

// lend moves tokens from the level to a holder and renews all it has.
func (a *account) lend(h HolderID, sequence uint64, tokens int64, expires time.Time) {
	l := a.loans[h]
	a.level -= float64(tokens)
	a.unspent += tokens
	l.pending += tokens
	l.pendingSequence = sequence
	l.expires = expires
	a.watch(l)
}
