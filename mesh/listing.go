package mesh

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// ListedTarget is a target as the platform lists it.
type ListedTarget struct {
	id       ident.Target
	service  ident.Service
	address  string
	zone     ident.Zone
	slots    int
	draining bool
	cold     time.Duration
}

// NewListedTarget returns a listed target. It stays cold for the given time.
func NewListedTarget(
	id ident.Target, service ident.Service, address string, zone ident.Zone, slots int, draining bool,
	cold time.Duration,
) ListedTarget {
	return ListedTarget{
		id: id, service: service, address: address, zone: zone, slots: slots, draining: draining, cold: cold,
	}
}

// ID returns the name of the target's process.
func (l ListedTarget) ID() ident.Target { return l.id }

// Service returns the service that the target offers.
func (l ListedTarget) Service() ident.Service { return l.service }

// Address returns where the target is reached.
func (l ListedTarget) Address() string { return l.address }

// Zone returns the zone of the target.
func (l ListedTarget) Zone() ident.Zone { return l.zone }

// Slots returns how many requests the target runs at once.
func (l ListedTarget) Slots() int { return l.slots }

// IsDraining reports whether the target is about to leave.
func (l ListedTarget) IsDraining() bool { return l.draining }

// ColdRemaining returns how much longer the target stays cold.
func (l ListedTarget) ColdRemaining() time.Duration { return l.cold }

// Lister reads the platform's list of targets.
type Lister interface {
	List(ctx context.Context) ([]ListedTarget, error)
}

// coldTolerance is by how much two readings of the end of a cold time may
// differ without counting as a change.
const coldTolerance = 800 * time.Millisecond

// listing is a list and the time of its reading.
type listing struct {
	read    time.Time
	tag     uint64
	targets []ListedTarget
}

// isSame reports whether a later reading says the same.
func (l *listing) isSame(read time.Time, targets []ListedTarget) bool {
	if len(l.targets) != len(targets) {
		return false
	}
	for i, n := range targets {
		o := l.targets[i]
		oldEnd, newEnd := l.read.Add(o.cold), read.Add(n.cold)
		isCold := o.cold > 0 || n.cold > 0
		if isCold && (newEnd.Sub(oldEnd).Abs() > coldTolerance && newEnd.After(read)) {
			return false
		}
		o.cold, n.cold = 0, 0
		if o != n {
			return false
		}
	}
	return true
}

// keptLists is the number of earlier lists to which changes can be told. An
// entry host is seldom more than two behind.
const keptLists = 8

// since returns the targets that differ from an earlier list, and those that
// are gone. Cold targets always differ, since their time counts down.
func (l *listing) since(earlier *listing) ([]ListedTarget, []ident.Target) {
	old := map[ident.Target]ListedTarget{}
	for _, t := range earlier.targets {
		old[t.id] = t
	}
	var changed []ListedTarget
	for _, t := range l.targets {
		o, ok := old[t.id]
		delete(old, t.id)
		if !ok || o != t || t.cold > 0 {
			changed = append(changed, t)
		}
	}
	var gone []ident.Target
	for id := range old {
		gone = append(gone, id)
	}
	slices.Sort(gone)
	return changed, gone
}

// apply returns the list after the given changes, in the order of ids.
func apply(list []ListedTarget, changed []ListedTarget, gone []ident.Target) []ListedTarget {
	targets := map[ident.Target]ListedTarget{}
	for _, t := range list {
		targets[t.id] = t
	}
	for _, id := range gone {
		delete(targets, id)
	}
	for _, t := range changed {
		targets[t.id] = t
	}
	out := make([]ListedTarget, 0, len(targets))
	for _, t := range targets {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b ListedTarget) int { return cmp.Compare(a.id, b.id) })
	return out
}
