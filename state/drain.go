package state

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// DrainID names a drain. The operator chooses it.
type DrainID string

// ScopeKind says what a drain empties.
type ScopeKind string

// The scopes of a drain.
const (
	ScopeTarget ScopeKind = "target"
	ScopeZone   ScopeKind = "zone"
	ScopeRegion ScopeKind = "region"
)

// Scope is what a drain empties.
type Scope struct {
	kind ScopeKind
	name string
}

// NewScope returns a scope. PlanDrain checks it.
func NewScope(kind ScopeKind, name string) Scope { return Scope{kind: kind, name: name} }

// TargetScope returns the scope of one target.
func TargetScope(name ident.Target) Scope { return Scope{kind: ScopeTarget, name: string(name)} }

// ZoneScope returns the scope of an availability zone.
func ZoneScope(name ident.Zone) Scope { return Scope{kind: ScopeZone, name: string(name)} }

// RegionScope returns the scope of a region.
func RegionScope(name ident.Region) Scope { return Scope{kind: ScopeRegion, name: string(name)} }

// Kind returns what kind of thing is drained.
func (s Scope) Kind() ScopeKind { return s.kind }

// Name returns the name of the target, zone or region.
func (s Scope) Name() string { return s.name }

func (s Scope) check(fleet *prof.Fleet) (Reason, string) {
	switch s.kind {
	case ScopeTarget:
		if s.name == "" {
			return ReasonInvalid, "the target of a drain has no name"
		}
		return "", ""
	case ScopeZone:
		if fleet != nil {
			if _, ok := fleet.RegionOf(ident.Zone(s.name)); ok {
				return "", ""
			}
		}
		return ReasonUnknownZone, "zone " + s.name + " is not in the fleet"
	case ScopeRegion:
		if fleet != nil {
			if _, ok := fleet.Region(ident.Region(s.name)); ok {
				return "", ""
			}
		}
		return ReasonUnknownRegion, "region " + s.name + " is not in the fleet"
	}
	return ReasonInvalid, "scope " + string(s.kind) + " is not one of target, zone, region"
}

// DrainState is the state of a drain.
type DrainState string

// The states of a drain.
const (
	DrainPlanned   DrainState = "planned"
	DrainCancelled DrainState = "cancelled"
)

// Drain is a planned time in which targets take no new work.
type Drain struct {
	id       DrainID
	scope    Scope
	from     time.Time
	until    time.Time
	state    DrainState
	changed  time.Time
	revision ident.Revision
}

// NewDrain returns a drain for a snapshot. The time until is zero when the
// drain lasts until it is cancelled.
func NewDrain(id DrainID, scope Scope, from, until time.Time, state DrainState, changed time.Time,
	revision ident.Revision) Drain {
	return Drain{id: id, scope: scope, from: clean(from), until: clean(until), state: state,
		changed: clean(changed), revision: revision}
}

// ID returns the name of the drain.
func (d Drain) ID() DrainID { return d.id }

// Scope returns what is drained.
func (d Drain) Scope() Scope { return d.scope }

// From returns the start of the drain.
func (d Drain) From() time.Time { return d.from }

// Until returns the end of the drain, zero when it lasts until it is
// cancelled.
func (d Drain) Until() time.Time { return d.until }

// State returns whether the drain is planned or cancelled.
func (d Drain) State() DrainState { return d.state }

// ChangedAt returns the time of the last change.
func (d Drain) ChangedAt() time.Time { return d.changed }

// Revision returns the revision of the last change.
func (d Drain) Revision() ident.Revision { return d.revision }

// Active reports whether the drain is in effect at the given time.
func (d Drain) Active(at time.Time) bool {
	return d.state == DrainPlanned && !at.Before(d.from) && (d.until.IsZero() || at.Before(d.until))
}

// ended returns the time since which the drain has no effect, if it has ended
// by the given time.
func (d Drain) ended(at time.Time) (time.Time, bool) {
	if d.state == DrainCancelled {
		return d.changed, true
	}
	return d.until, !d.until.IsZero() && !at.Before(d.until)
}
