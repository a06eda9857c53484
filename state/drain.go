package state

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// DrainID identifies a drain. Operators choose it.
type DrainID string

// ScopeKind is the kind of object that a drain applies to.
type ScopeKind string

// The kinds of scope.
const (
	ScopeTarget ScopeKind = "target"
	ScopeZone   ScopeKind = "zone"
	ScopeRegion ScopeKind = "region"
)

// Scope is the target, zone or region that a drain applies to.
type Scope struct {
	kind ScopeKind
	name string
}

// NewScope returns a scope. It is validated when a PlanDrain command is
// applied.
func NewScope(kind ScopeKind, name string) Scope { return Scope{kind: kind, name: name} }

// TargetScope returns a scope that covers one target.
func TargetScope(name ident.Target) Scope { return Scope{kind: ScopeTarget, name: string(name)} }

// ZoneScope returns a scope that covers an availability zone.
func ZoneScope(name ident.Zone) Scope { return Scope{kind: ScopeZone, name: string(name)} }

// RegionScope returns a scope that covers a region.
func RegionScope(name ident.Region) Scope { return Scope{kind: ScopeRegion, name: string(name)} }

// Kind returns the kind of object that is drained.
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

// Drain is a period during which the targets in its scope get no new requests.
type Drain struct {
	id       DrainID
	scope    Scope
	from     time.Time
	until    time.Time
	state    DrainState
	changed  time.Time
	revision ident.Revision
}

// NewDrain returns a drain read from a snapshot. A zero until means that the
// drain lasts until it is cancelled.
func NewDrain(id DrainID, scope Scope, from, until time.Time, state DrainState, changed time.Time,
	revision ident.Revision) Drain {
	return Drain{id: id, scope: scope, from: canonicalTime(from), until: canonicalTime(until), state: state,
		changed: canonicalTime(changed), revision: revision}
}

// ID returns the identifier of the drain.
func (d Drain) ID() DrainID { return d.id }

// Scope returns the target, zone or region that is drained.
func (d Drain) Scope() Scope { return d.scope }

// From returns the start of the drain.
func (d Drain) From() time.Time { return d.from }

// Until returns the end of the drain. It is zero if the drain lasts until it
// is cancelled.
func (d Drain) Until() time.Time { return d.until }

// State reports whether the drain is planned or cancelled.
func (d Drain) State() DrainState { return d.state }

// ChangedAt returns the time of the latest change.
func (d Drain) ChangedAt() time.Time { return d.changed }

// Revision returns the revision of the latest change.
func (d Drain) Revision() ident.Revision { return d.revision }

// Active reports whether the drain is in effect at the given time.
func (d Drain) Active(at time.Time) bool {
	return d.state == DrainPlanned && !at.Before(d.from) && (d.until.IsZero() || at.Before(d.until))
}

// endedSince returns the time at which the drain was cancelled or ended, and
// whether that is the case at the given time.
func (d Drain) endedSince(at time.Time) (time.Time, bool) {
	if d.state == DrainCancelled {
		return d.changed, true
	}
	return d.until, !d.until.IsZero() && !at.Before(d.until)
}
