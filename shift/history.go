package shift

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/ident"
)

// ErrCapExceeded is returned for a shift that would exceed the cap.
const ErrCapExceeded = errors.ConstError("shift exceeds the cap")

// Cause is the reason why load moves. All causes count towards the cap.
type Cause string

const (
	// CausePlan is a move to a preferred or a permitted region.
	CausePlan Cause = "plan"
	// CauseDrain is a move away from a planned drain.
	CauseDrain Cause = "drain"
	// CauseFailover is a move away from a region without capacity.
	CauseFailover Cause = "failover"
	// CauseOverflow is a move away from an overloaded region or link.
	CauseOverflow Cause = "spill"
)

// Entry is one recorded move of load. The amount is a share of a key's requests
// or, in the inflows of a region, a number of slots.
type Entry struct {
	at     time.Time
	amount float64
	cause  Cause
}

// NewEntry returns an entry with which a history is restored.
func NewEntry(at time.Time, amount float64, c Cause) Entry {
	return Entry{at: at, amount: amount, cause: c}
}

// At returns the time of the move.
func (e Entry) At() time.Time { return e.at }

// Amount returns the share that moved.
func (e Entry) Amount() float64 { return e.amount }

// Cause returns the reason for the move.
func (e Entry) Cause() Cause { return e.cause }

type serviceRegion struct {
	service ident.Service
	region  ident.Region
}

// History records the moves of load. It is not safe for concurrent use.
type History struct {
	moves      map[Key][]Entry
	inflows    map[serviceRegion][]Entry
	knownSince time.Time
}

// NewHistory returns an empty history. Moves before knownSince are not recorded:
// within a window after that time the cap counts as used up. The zero time
// means that nothing moved before.
func NewHistory(knownSince time.Time) *History {
	return &History{moves: map[Key][]Entry{}, inflows: map[serviceRegion][]Entry{}, knownSince: knownSince}
}

// Restore adds an earlier entry, such as one from the replicated log.
func (h *History) Restore(k Key, e Entry) { h.moves[k] = append(h.moves[k], e) }

// Entries returns the entries of a key, oldest first. The caller must not
// change the slice.
func (h *History) Entries(k Key) []Entry { return h.moves[k] }

// Allowance returns the share of a key that may still move at now, so that no
// window exceeds the cap of its profile.
func (h *History) Allowance(k Key, p Profile, now time.Time) float64 {
	if !h.knownSince.IsZero() && now.Sub(h.knownSince) <= p.window {
		return 0
	}
	return max(0, p.moveCap-sumWithin(h.moves[k], p.window, now))
}

// sumWithin returns the sum of the entries in the window that ends at now. The
// window includes both ends.
func sumWithin(list []Entry, window time.Duration, now time.Time) float64 {
	sum := 0.0
	for i := len(list) - 1; i >= 0 && now.Sub(list[i].at) <= window; i-- {
		sum += list[i].amount
	}
	return sum
}

// RecordStep records a step at the time when it takes effect. If the step
// exceeds the allowance, it returns ErrCapExceeded and records nothing.
func (h *History) RecordStep(s Step, p Profile, now time.Time) error {
	if err := h.RecordMove(s.key, s.moved, s.cause, p, now); err != nil {
		return fmt.Errorf("record step: %w", err)
	}
	for r, slots := range s.inflows {
		at := serviceRegion{service: s.key.service, region: r}
		h.inflows[at] = append(dropExpired(h.inflows[at], p.window, now), Entry{at: now, amount: slots, cause: s.cause})
	}
	return nil
}

// RecordMove records a move that is not a step of a plan, such as requests that
// overflow at once when their region fails. If the move exceeds the allowance,
// it returns ErrCapExceeded and records nothing.
func (h *History) RecordMove(k Key, share float64, c Cause, p Profile, now time.Time) error {
	if share == 0 {
		return nil
	}
	if allowance := h.Allowance(k, p, now); share > allowance+shareTolerance*p.moveCap {
		return fmt.Errorf("move share %v of service %s from %s, allowance %v: %w", share, k.service, k.origin, allowance, ErrCapExceeded)
	}
	h.moves[k] = append(dropExpired(h.moves[k], p.window, now), Entry{at: now, amount: share, cause: c})
	return nil
}

// dropExpired removes the entries that are in no window ending at or after now.
func dropExpired(list []Entry, window time.Duration, now time.Time) []Entry {
	for len(list) > 0 && now.Sub(list[0].at) > window {
		list = list[1:]
	}
	return list
}

// inflow returns the load in slots that moved to a region within the window.
func (h *History) inflow(s ident.Service, r ident.Region, window time.Duration, now time.Time) float64 {
	return sumWithin(h.inflows[serviceRegion{service: s, region: r}], window, now)
}
