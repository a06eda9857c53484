// Package board is the replicated state machine of whole configurations: the
// control hosts apply the operators' orders to a scheme.Ledger in the order
// of the replicated log.
package board

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// orderRecord is an order as it stands in the log. Exactly one of Source and
// Zone is set.
type orderRecord struct {
	Version uint64 `msgpack:"version,omitempty"`
	Source  []byte `msgpack:"source,omitempty"`
	Zone    string `msgpack:"zone,omitempty"`
	Begin   bool   `msgpack:"begin,omitempty"`
}

// ledgerRecord is a ledger as it stands in a snapshot.
type ledgerRecord struct {
	Version uint64   `msgpack:"version"`
	Source  []byte   `msgpack:"source"`
	Zones   []string `msgpack:"zones"`
}

// EncodePut encodes the order to put a configuration.
func EncodePut(version uint64, source []byte) ([]byte, error) {
	return encode(orderRecord{Version: version, Source: source})
}

// EncodeEvacuate encodes the order to begin or end the evacuation of a zone.
func EncodeEvacuate(zone ident.Zone, begin bool) ([]byte, error) {
	return encode(orderRecord{Zone: string(zone), Begin: begin})
}

func encode(record any) ([]byte, error) {
	data, err := msgpack.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return data, nil
}

// Listener learns each state of the board. It is called by the task of the
// replica, so it must not block.
type Listener func(revision ident.Revision, l scheme.DesiredState)

// Board implements ctrl.Machine. The replica task owns it.
type Board struct {
	ledger scheme.DesiredState
	tell   Listener
}

var _ ctrl.StateMachine = (*Board)(nil)

// New returns an empty board.
func New(tell Listener) *Board { return &Board{tell: tell} }

// Apply implements ctrl.Machine. The result is true when the order changed
// something.
func (b *Board) Apply(revision ident.Revision, data []byte) any {
	var o orderRecord
	if err := msgpack.Unmarshal(data, &o); err != nil {
		return fmt.Errorf("decode order at revision %d: %w", revision, err)
	}
	var changed bool
	if o.Zone != "" {
		b.ledger, changed = b.ledger.Evacuate(ident.Zone(o.Zone), o.Begin)
	} else {
		b.ledger, changed = b.ledger.Put(o.Version, o.Source)
	}
	b.tell(revision, b.ledger)
	return changed
}

// Snapshot implements ctrl.Machine.
func (b *Board) Snapshot() func() ([]byte, error) {
	l := b.ledger
	return func() ([]byte, error) {
		record := ledgerRecord{Version: l.Version(), Source: l.Source()}
		for _, z := range l.Evacuated() {
			record.Zones = append(record.Zones, string(z))
		}
		return encode(record)
	}
}

// Restore implements ctrl.Machine.
func (b *Board) Restore(revision ident.Revision, data []byte) error {
	var record ledgerRecord
	if err := msgpack.Unmarshal(data, &record); err != nil {
		return fmt.Errorf("decode snapshot at revision %d: %w", revision, err)
	}
	zones := make([]ident.Zone, len(record.Zones))
	for i, z := range record.Zones {
		zones[i] = ident.Zone(z)
	}
	b.ledger = scheme.NewDesiredState(record.Version, record.Source, zones)
	b.tell(revision, b.ledger)
	return nil
}
