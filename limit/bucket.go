package limit

import "time"

// lease is the owner's record of the tokens of one team that a holder has.
// Confirmed tokens were reported by the holder; pending ones were granted since
// its last report.
type lease struct {
	confirmed       int64
	pending         int64
	pendingSequence uint64
	spent           int64
	sequence        uint64
	openSequence    uint64
	expires         time.Time
}

// unspent returns the tokens that the holder may still spend.
func (l *lease) unspent() int64 { return l.confirmed + l.pending }

// teamBucket is the token bucket of one team.
type teamBucket struct {
	limit          Limit
	level          float64
	updated        time.Time
	leases         map[HolderID]*lease
	unspent        int64
	awaitedReports map[HolderID]struct{}
	awaitUntil     time.Time
	round          uint64
	recalledAt     time.Time
	scarceUntil    time.Time
	// nextExpiry is not later than the first expiry of a lease, so that most
	// updates need not visit every lease.
	nextExpiry time.Time
}

// isRecovered reports whether all grants of earlier owners are known or have
// expired.
func (b *teamBucket) isRecovered(now time.Time) bool {
	return len(b.awaitedReports) == 0 || !now.Before(b.awaitUntil)
}

// maxLevel returns the upper bound of the level: burst minus unspent grants.
func (b *teamBucket) maxLevel(now time.Time) float64 {
	if !b.isRecovered(now) {
		return 0
	}
	return max(0, b.limit.burst-float64(b.unspent))
}

// advance expires leases and refills the bucket. The refill of each interval
// since the last update is capped by the grants that were unspent in it: an
// expired lease raises the cap from its expiry on, not before.
func (b *teamBucket) advance(now time.Time) {
	for b.unspent > 0 && !b.nextExpiry.After(now) {
		if !b.findNextExpiry() || b.nextExpiry.After(now) {
			break
		}
		b.refillTo(b.nextExpiry)
		b.expireLeases(b.nextExpiry)
	}
	b.refillTo(now)
}

// findNextExpiry sets nextExpiry to the earliest expiry of a lease with unspent
// tokens and reports whether there is one.
func (b *teamBucket) findNextExpiry() bool {
	first := true
	for _, l := range b.leases {
		if l.unspent() > 0 && (first || l.expires.Before(b.nextExpiry)) {
			b.nextExpiry = l.expires
			first = false
		}
	}
	return !first
}

// noteExpiry lowers nextExpiry to the expiry of a changed lease, or sets it if
// no other lease has unspent tokens.
func (b *teamBucket) noteExpiry(l *lease) {
	if l.expires.Before(b.nextExpiry) || b.unspent == l.unspent() {
		b.nextExpiry = l.expires
	}
}

// refillTo adds the tokens that accrued since the last update. None accrue
// before the bucket has recovered.
func (b *teamBucket) refillTo(t time.Time) {
	from := b.updated
	if len(b.awaitedReports) > 0 && from.Before(b.awaitUntil) {
		from = b.awaitUntil
	}
	if t.After(from) {
		b.level += b.limit.refill(t.Sub(from))
	}
	if t.After(b.updated) {
		b.updated = t
	}
	b.clampLevel(t)
}

func (b *teamBucket) clampLevel(now time.Time) { b.level = min(b.level, b.maxLevel(now)) }

// expireLeases ends the leases that expired by now. Their tokens count as
// spent: a later report must not restore them, because refill has replaced them
// since.
func (b *teamBucket) expireLeases(now time.Time) {
	for _, l := range b.leases {
		if !l.expires.After(now) {
			b.unspent -= l.unspent()
			l.confirmed, l.pending, l.pendingSequence = 0, 0, 0
		}
	}
}

// removeExpiredLeases removes leases that expired long ago, so that those of
// replaced processes do not accumulate. It visits every lease and runs only
// when a holder is new.
func (b *teamBucket) removeExpiredLeases(now time.Time, age time.Duration) {
	for h, l := range b.leases {
		if l.unspent() == 0 && now.Sub(l.expires) > age {
			delete(b.leases, h)
		}
	}
}

// applyHolding updates the lease of a holder from its report. It returns false
// for a report that is not later than the last one. Pending tokens remain only
// while the holder still waits for the response that granted them.
func (b *teamBucket) applyHolding(h HolderID, sequence uint64, report Holding, expires time.Time) bool {
	l, known := b.leases[h]
	if known && sequence <= l.sequence {
		return false
	}
	if !known {
		b.adoptLease(h, sequence, report, expires)
		return true
	}
	pending := int64(0)
	if l.pending > 0 && l.pendingSequence == report.open {
		pending = l.pending
	}
	spent := max(0, report.spent-l.spent)
	remaining := max(0, l.unspent()-pending-spent)
	held := min(max(0, report.held), remaining)
	b.unspent += held + pending - l.unspent()
	// Tokens that are neither spent nor held were lost in transit or handed
	// back. The holder never accepts them, so they return to the level.
	b.level += float64(remaining - held)
	l.confirmed, l.pending = held, pending
	l.spent, l.sequence, l.openSequence = max(l.spent, report.spent), sequence, report.open
	return true
}

// adoptLease creates a lease for tokens that an earlier owner granted.
func (b *teamBucket) adoptLease(h HolderID, sequence uint64, report Holding, expires time.Time) {
	held := max(0, report.held)
	b.leases[h] = &lease{confirmed: held, spent: report.spent, sequence: sequence, openSequence: report.open, expires: expires}
	b.unspent += held
	b.noteExpiry(b.leases[h])
}

// grant moves tokens from the level to a holder's lease and renews the lease.
func (b *teamBucket) grant(h HolderID, sequence uint64, tokens int64, expires time.Time) {
	l := b.leases[h]
	b.level -= float64(tokens)
	b.unspent += tokens
	l.pending += tokens
	l.pendingSequence = sequence
	l.expires = expires
	b.noteExpiry(l)
}
