package mesh

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrack/ident"
)

// ListedTarget is a target of the platform's list.
type ListedTarget struct {
	id            ident.Target
	service       ident.Service
	address       string
	zone          ident.Zone
	slots         int
	draining      bool
	coldRemaining time.Duration
	startedAt     int64
}

// ListedTargetOption sets an optional property of a ListedTarget.
type ListedTargetOption func(*ListedTarget)

// WithStart sets when the target's process started, in Unix milliseconds. It
// tells a process from an earlier one with the same ID.
func WithStart(milliseconds int64) ListedTargetOption {
	return func(l *ListedTarget) { l.startedAt = milliseconds }
}

// NewListedTarget returns a listed target that stays cold for coldRemaining.
func NewListedTarget(
	id ident.Target, service ident.Service, address string, zone ident.Zone, slots int, draining bool,
	coldRemaining time.Duration, options ...ListedTargetOption,
) ListedTarget {
	l := ListedTarget{
		id: id, service: service, address: address, zone: zone, slots: slots, draining: draining, coldRemaining: coldRemaining,
	}
	for _, apply := range options {
		apply(&l)
	}
	return l
}

// ID returns the ID of the target process.
func (l ListedTarget) ID() ident.Target { return l.id }

// Service returns the service that the target belongs to.
func (l ListedTarget) Service() ident.Service { return l.service }

// Address returns the network address of the target.
func (l ListedTarget) Address() string { return l.address }

// Zone returns the zone of the target.
func (l ListedTarget) Zone() ident.Zone { return l.zone }

// Slots returns how many requests the target runs concurrently.
func (l ListedTarget) Slots() int { return l.slots }

// IsDraining reports whether the target is about to be removed.
func (l ListedTarget) IsDraining() bool { return l.draining }

// ColdRemaining returns how much longer the target stays cold.
func (l ListedTarget) ColdRemaining() time.Duration { return l.coldRemaining }

// StartedAt returns when the target's process started, in Unix milliseconds, or
// 0 if that is unknown.
func (l ListedTarget) StartedAt() int64 { return l.startedAt }

// Lister reads the platform's list of targets.
type Lister interface {
	List(ctx context.Context) ([]ListedTarget, error)
}

// coldTolerance is by how much the end of a cold period may differ between two
// reads without counting as a change.
const coldTolerance = 800 * time.Millisecond

// listing is a list of targets with the time it was read and its tag.
type listing struct {
	readAt  time.Time
	tag     uint64
	targets []ListedTarget
	// index holds the position of each target once it was asked for.
	index map[ident.Target]int
}

// tagOfTargets returns a hash of the list that identifies it. Equal lists that
// two control hosts read have the same tag, so that a list need not be sent
// again after a change of the leader. The end of a cold period counts in
// seconds. The tag is never zero.
func tagOfTargets(readAt time.Time, list []ListedTarget) uint64 {
	d := xxhash.New()
	for _, t := range list {
		coldUntil := int64(0)
		if t.coldRemaining > 0 {
			coldUntil = readAt.Add(t.coldRemaining).Unix()
		}
		// Writing to a digest never fails.
		_, _ = fmt.Fprintf(d, "%q %q %q %q %d %t %d %d\n",
			t.id, t.service, t.address, t.zone, t.slots, t.draining, coldUntil, t.startedAt)
	}
	return d.Sum64() | 1
}

// latestProcesses returns the list in ascending order of IDs. Of several entries
// with one ID, that of the latest process is kept: a target may start again
// under its ID before its earlier entry is removed.
func latestProcesses(list []ListedTarget) []ListedTarget {
	slices.SortStableFunc(list, func(a, b ListedTarget) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(b.startedAt, a.startedAt))
	})
	return slices.CompactFunc(list, func(a, b ListedTarget) bool { return a.id == b.id })
}

// positions returns the position of each target in the list.
func (l *listing) positions() map[ident.Target]int {
	if l.index == nil {
		l.index = indexTargets(l.targets)
	}
	return l.index
}

// isSame reports whether a list read later is equivalent.
func (l *listing) isSame(readAt time.Time, targets []ListedTarget) bool {
	if len(l.targets) != len(targets) {
		return false
	}
	for i, n := range targets {
		o := l.targets[i]
		oldEnd, newEnd := l.readAt.Add(o.coldRemaining), readAt.Add(n.coldRemaining)
		isCold := o.coldRemaining > 0 || n.coldRemaining > 0
		if isCold && (newEnd.Sub(oldEnd).Abs() > coldTolerance && newEnd.After(readAt)) {
			return false
		}
		o.coldRemaining, n.coldRemaining = 0, 0
		if o != n {
			return false
		}
	}
	return true
}

// maxEarlierLists is the number of earlier lists that are kept for computing
// changes. Entry hosts are rarely more than two lists behind.
const maxEarlierLists = 8

// changesSince returns the targets that differ from an earlier list, and the
// IDs of removed ones. Cold targets always differ, since their remaining time
// counts down.
func (l *listing) changesSince(earlier *listing) ([]ListedTarget, []ident.Target) {
	old := map[ident.Target]ListedTarget{}
	for _, t := range earlier.targets {
		old[t.id] = t
	}
	var changed []ListedTarget
	for _, t := range l.targets {
		o, ok := old[t.id]
		delete(old, t.id)
		if !ok || o != t || t.coldRemaining > 0 {
			changed = append(changed, t)
		}
	}
	var removed []ident.Target
	for id := range old {
		removed = append(removed, id)
	}
	slices.Sort(removed)
	return changed, removed
}

// aged returns the list after the given time: cold targets stay cold for less.
func aged(list []ListedTarget, elapsed time.Duration) []ListedTarget {
	later := slices.Clone(list)
	for i := range later {
		later[i].coldRemaining = max(0, later[i].coldRemaining-elapsed)
	}
	return later
}

// applyChanges returns the list with the given changes, in ascending order of
// IDs.
func applyChanges(list []ListedTarget, changed []ListedTarget, removed []ident.Target) []ListedTarget {
	targets := map[ident.Target]ListedTarget{}
	for _, t := range list {
		targets[t.id] = t
	}
	for _, id := range removed {
		delete(targets, id)
	}
	for _, t := range changed {
		targets[t.id] = t
	}
	merged := make([]ListedTarget, 0, len(targets))
	for _, t := range targets {
		merged = append(merged, t)
	}
	slices.SortFunc(merged, func(a, b ListedTarget) int { return cmp.Compare(a.id, b.id) })
	return merged
}
