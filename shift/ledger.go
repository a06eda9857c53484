package shift

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/ident"
)

// ErrCapExceeded is returned for a shift that would exceed the cap.
const ErrCapExceeded = errors.ConstError("shift exceeds the cap")

// Cause says why load moves. All causes count towards the cap.
type Cause string

const (
	// CausePlan is a move to a better region.
	CausePlan Cause = "plan"
	// CauseDrain is a move away from a planned drain.
	CauseDrain Cause = "drain"
	// CauseFailover is a move away from a region without capacity.
	CauseFailover Cause = "failover"
	// CauseOverflow is a move away from an overloaded region or link.
	CauseOverflow Cause = "spill"
)

// Entry is one recorded movement.
type Entry struct {
	at     time.Time
	amount float64
	cause  Cause
}

// NewEntry returns an entry, to restore a ledger from.
func NewEntry(at time.Time, amount float64, c Cause) Entry {
	return Entry{at: at, amount: amount, cause: c}
}

// At returns the time of the movement.
func (e Entry) At() time.Time { return e.at }

// Amount returns the share that moved.
func (e Entry) Amount() float64 { return e.amount }

// Cause returns why it moved.
func (e Entry) Cause() Cause { return e.cause }

type place struct {
	service ident.Service
	region  ident.Region
}

// History records what moved. It is not safe for concurrent use.
type History struct {
	moves   map[Key][]Entry
	inflows map[place][]Entry
	known   time.Time
}

// NewHistory returns an empty ledger. What moved before known is not recorded:
// within a window after it the cap counts as used up. The zero time means that
// nothing moved before.
func NewHistory(known time.Time) *History {
	return &History{moves: map[Key][]Entry{}, inflows: map[place][]Entry{}, known: known}
}

// Restore adds an earlier entry, such as one from the replicated log.
func (l *History) Restore(k Key, e Entry) { l.moves[k] = append(l.moves[k], e) }

// Entries returns the entries of a key, oldest first. The caller must not
// change it.
func (l *History) Entries(k Key) []Entry { return l.moves[k] }

// Allowance returns the share of a key that may still move at now, so that no
// window exceeds the cap of its profile.
func (l *History) Allowance(k Key, p Profile, now time.Time) float64 {
	if !l.known.IsZero() && now.Sub(l.known) <= p.window {
		return 0
	}
	return max(0, p.moveCap-within(l.moves[k], p.window, now))
}

// within sums the entries of the window that ends at now. The window is closed
// at both ends.
func within(list []Entry, window time.Duration, now time.Time) float64 {
	sum := 0.0
	for i := len(list) - 1; i >= 0 && now.Sub(list[i].at) <= window; i-- {
		sum += list[i].amount
	}
	return sum
}

// RecordStep notes a step at the time it takes effect. It returns ErrCap, and
// notes nothing, when the step exceeds the allowance.
func (l *History) RecordStep(s Step, p Profile, now time.Time) error {
	if err := l.RecordMove(s.key, s.moved, s.cause, p, now); err != nil {
		return fmt.Errorf("record step: %w", err)
	}
	for r, slots := range s.inflows {
		at := place{service: s.key.service, region: r}
		l.inflows[at] = append(trim(l.inflows[at], p.window, now), Entry{at: now, amount: slots, cause: s.cause})
	}
	return nil
}

// RecordMove notes a movement that is no step of a plan, such as requests that
// spill at once when their region fails. It returns ErrCap, and notes nothing,
// when it exceeds the allowance.
func (l *History) RecordMove(k Key, share float64, c Cause, p Profile, now time.Time) error {
	if share == 0 {
		return nil
	}
	if left := l.Allowance(k, p, now); share > left+shareTolerance*p.moveCap {
		return fmt.Errorf("move %v of %s from %s with %v left: %w", share, k.service, k.origin, left, ErrCapExceeded)
	}
	l.moves[k] = append(trim(l.moves[k], p.window, now), Entry{at: now, amount: share, cause: c})
	return nil
}

// trim drops the entries that no window ending at or after now contains.
func trim(list []Entry, window time.Duration, now time.Time) []Entry {
	for len(list) > 0 && now.Sub(list[0].at) > window {
		list = list[1:]
	}
	return list
}

// inflow returns the slots of load that moved to a region within the window.
func (l *History) inflow(s ident.Service, r ident.Region, window time.Duration, now time.Time) float64 {
	return within(l.inflows[place{service: s, region: r}], window, now)
}
