package scheme

import (
	"slices"

	"rhubarbrack/ident"
)

// Ledger is what operators have ordered: the source text of the configuration
// in force and the zones that are being evacuated. It is the state that the
// control hosts replicate. A Ledger is immutable.
type Ledger struct {
	version uint64
	source  []byte
	zones   []ident.Zone
}

// NewLedger returns a ledger with the given content. An empty source stands
// for no configuration.
func NewLedger(version uint64, source []byte, zones []ident.Zone) Ledger {
	return Ledger{version: version, source: source, zones: zones}
}

// Version returns the version of the configuration, or 0 when there is none.
func (l Ledger) Version() uint64 { return l.version }

// Source returns the configuration as an operator sent it, or nothing when
// there is none. The slice must not be modified.
func (l Ledger) Source() []byte { return l.source }

// Evacuated returns the zones whose targets get nothing, in ascending order.
// The slice must not be modified.
func (l Ledger) Evacuated() []ident.Zone { return l.zones }

// Put returns the ledger after an order to put a configuration, and whether
// it took effect. Only a greater version replaces the one held, so that an
// order that arrives twice or late changes nothing.
func (l Ledger) Put(version uint64, source []byte) (Ledger, bool) {
	if len(l.source) > 0 && version <= l.version {
		return l, false
	}
	l.version, l.source = version, source
	return l, true
}

// Evacuate returns the ledger after an order to begin or end the evacuation
// of a zone, and whether it took effect.
func (l Ledger) Evacuate(zone ident.Zone, begin bool) (Ledger, bool) {
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
