// Package board implements the replicated state machine of the desired state:
// the control hosts apply the commands of operators in the order of the
// replicated log.
package board

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// commandRecord is a command as encoded in the log. Exactly one of Source and
// Zone is set.
type commandRecord struct {
	Version uint64 `msgpack:"version,omitempty"`
	Source  []byte `msgpack:"source,omitempty"`
	Zone    string `msgpack:"zone,omitempty"`
	Begin   bool   `msgpack:"begin,omitempty"`
}

// snapshotRecord is the desired state as encoded in a snapshot.
type snapshotRecord struct {
	Version uint64   `msgpack:"version"`
	Source  []byte   `msgpack:"source"`
	Zones   []string `msgpack:"zones"`
}

// EncodePut encodes the command to put a configuration.
func EncodePut(version uint64, source []byte) ([]byte, error) {
	return encode(commandRecord{Version: version, Source: source})
}

// EncodeEvacuate encodes the command to begin or end the evacuation of a zone.
func EncodeEvacuate(zone ident.Zone, begin bool) ([]byte, error) {
	return encode(commandRecord{Zone: string(zone), Begin: begin})
}

func encode(record any) ([]byte, error) {
	data, err := msgpack.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return data, nil
}

// Listener receives each state of the board. The task of the replica calls it,
// so it must not block.
type Listener func(revision ident.Revision, s scheme.DesiredState)

// Board is the state machine of the desired state. It implements
// ctrl.StateMachine. The replica task owns it.
type Board struct {
	state  scheme.DesiredState
	notify Listener
}

var _ ctrl.StateMachine = (*Board)(nil)

// New returns a board with an empty state.
func New(notify Listener) *Board { return &Board{notify: notify} }

// Apply implements ctrl.StateMachine. The result is true if the command changed
// the state, and an error if it cannot be decoded.
func (b *Board) Apply(revision ident.Revision, data []byte) any {
	var command commandRecord
	if err := msgpack.Unmarshal(data, &command); err != nil {
		return fmt.Errorf("decode command at revision %d: %w", revision, err)
	}
	var changed bool
	if command.Zone != "" {
		b.state, changed = b.state.Evacuate(ident.Zone(command.Zone), command.Begin)
	} else {
		b.state, changed = b.state.Put(command.Version, command.Source)
	}
	b.notify(revision, b.state)
	return changed
}

// Snapshot implements ctrl.StateMachine.
func (b *Board) Snapshot() func() ([]byte, error) {
	s := b.state
	return func() ([]byte, error) {
		record := snapshotRecord{Version: s.Version(), Source: s.Source()}
		for _, z := range s.Evacuated() {
			record.Zones = append(record.Zones, string(z))
		}
		return encode(record)
	}
}

// Restore implements ctrl.StateMachine.
func (b *Board) Restore(revision ident.Revision, data []byte) error {
	var record snapshotRecord
	if err := msgpack.Unmarshal(data, &record); err != nil {
		return fmt.Errorf("decode snapshot at revision %d: %w", revision, err)
	}
	zones := make([]ident.Zone, len(record.Zones))
	for i, z := range record.Zones {
		zones[i] = ident.Zone(z)
	}
	b.state = scheme.NewDesiredState(record.Version, record.Source, zones)
	b.notify(revision, b.state)
	return nil
}
