package scheme

import (
	"maps"
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
	orders  ZoneOrders
}

// ZoneOrders tells at which revisions the last orders for zones were applied. It is
// immutable.
type ZoneOrders struct {
	last map[ident.Zone]ident.Revision
	// completeFrom is the revision from which on all orders are known.
	completeFrom ident.Revision
}

// NewZoneOrders returns the given last orders. Orders up to completeFrom may be
// missing.
func NewZoneOrders(last map[ident.Zone]ident.Revision, completeFrom ident.Revision) ZoneOrders {
	return ZoneOrders{last: last, completeFrom: completeFrom}
}

// Known returns the known last orders. The map must not be modified.
func (o ZoneOrders) Known() map[ident.Zone]ident.Revision { return o.last }

// CompleteFrom returns the revision up to which orders may be missing.
func (o ZoneOrders) CompleteFrom() ident.Revision { return o.completeFrom }

// Last returns the revision of the last order for a zone. If it is unknown, it
// returns the latest revision that the order may have.
func (o ZoneOrders) Last(zone ident.Zone) ident.Revision { return max(o.last[zone], o.completeFrom) }

// with returns the orders with another one for a zone.
func (o ZoneOrders) with(zone ident.Zone, revision ident.Revision) ZoneOrders {
	last := maps.Clone(o.last)
	if last == nil {
		last = map[ident.Zone]ident.Revision{}
	}
	last[zone] = revision
	return ZoneOrders{last: last, completeFrom: o.completeFrom}
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

// Orders returns the last orders for zones.
func (s DesiredState) Orders() ZoneOrders { return s.orders }

// WithOrders returns the state with the given last orders for zones.
func (s DesiredState) WithOrders(orders ZoneOrders) DesiredState {
	s.orders = orders
	return s
}

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

// Evacuate returns the state after the order at a revision to begin or end the
// evacuation of a zone, and whether the evacuated zones changed.
func (s DesiredState) Evacuate(zone ident.Zone, begin bool, revision ident.Revision) (DesiredState, bool) {
	s.orders = s.orders.with(zone, revision)
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
