package scheme

import (
	"slices"

	"rhubarbrack/ident"
)

// DesiredState is the state that operators have requested: the source text of
// the configuration in force and the evacuated zones. The control hosts
// replicate it. A DesiredState is immutable.
type DesiredState struct {
	version uint64
	source  []byte
	zones   []ident.Zone
}

// NewDesiredState returns a state with the given content. An empty source
// stands for no configuration.
func NewDesiredState(version uint64, source []byte, zones []ident.Zone) DesiredState {
	return DesiredState{version: version, source: source, zones: zones}
}

// Version returns the version of the configuration, or 0 if there is none.
func (s DesiredState) Version() uint64 { return s.version }

// Source returns the configuration as the operator submitted it, or an empty
// slice if there is none. The slice must not be modified.
func (s DesiredState) Source() []byte { return s.source }

// Evacuated returns the evacuated zones, whose targets get no requests, in
// ascending order. The slice must not be modified.
func (s DesiredState) Evacuated() []ident.Zone { return s.zones }

// Put returns the state with the given configuration, and whether it changed.
// A configuration only replaces one with a smaller version, so that duplicate
// and delayed commands have no effect.
func (s DesiredState) Put(version uint64, source []byte) (DesiredState, bool) {
	if len(s.source) > 0 && version <= s.version {
		return s, false
	}
	s.version, s.source = version, source
	return s, true
}

// Evacuate returns the state after the evacuation of a zone begins or ends,
// and whether it changed.
func (s DesiredState) Evacuate(zone ident.Zone, begin bool) (DesiredState, bool) {
	i, found := slices.BinarySearch(s.zones, zone)
	switch {
	case begin == found:
		return s, false
	case begin:
		s.zones = slices.Insert(slices.Clone(s.zones), i, zone)
	default:
		s.zones = slices.Delete(slices.Clone(s.zones), i, i+1)
	}
	return s, true
}
