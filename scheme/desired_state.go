package scheme

import (
	"slices"

	"rhubarbrack/ident"
)

// DesiredState is what operators have ordered: the source text of the configuration
// in force and the zones that are being evacuated. It is the state that the
// control hosts replicate. A DesiredState is immutable.
type DesiredState struct {
	version uint64
	source  []byte
	zones   []ident.Zone
}

// NewDesiredState returns a ledger with the given content. An empty source stands
// for no configuration.
func NewDesiredState(version uint64, source []byte, zones []ident.Zone) DesiredState {
	return DesiredState{version: version, source: source, zones: zones}
}

// Version returns the version of the configuration, or 0 when there is none.
func (l DesiredState) Version() uint64 { return l.version }

// Source returns the configuration as an operator sent it, or nothing when
// there is none. The slice must not be modified.
func (l DesiredState) Source() []byte { return l.source }

// Evacuated returns the zones whose targets get nothing, in ascending order.
// The slice must not be modified.
func (l DesiredState) Evacuated() []ident.Zone { return l.zones }

// Put returns the ledger after an order to put a configuration, and whether
// it took effect. Only a greater version replaces the one held, so that an
// order that arrives twice or late changes nothing.
func (l DesiredState) Put(version uint64, source []byte) (DesiredState, bool) {
	if len(l.source) > 0 && version <= l.version {
		return l, false
	}
	l.version, l.source = version, source
	return l, true
}

// Evacuate returns the ledger after an order to begin or end the evacuation
// of a zone, and whether it took effect.
func (l DesiredState) Evacuate(zone ident.Zone, begin bool) (DesiredState, bool) {
	i, found := slices.BinarySearch(l.zones, zone)
	switch {
	case begin == found:
		return l, false
	case begin:
		l.zones = slices.Insert(slices.Clone(l.zones), i, zone)
	default:
		l.zones = slices.Delete(slices.Clone(l.zones), i, i+1)
	}
	return l, true
}
