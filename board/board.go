// Package board implements the replicated state machine of the desired state:
// the control hosts apply the commands of operators in the order of the
// replicated log.
package board

import (
	"fmt"
	"log/slog"

	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// commandRecord is a command as encoded in the log. Exactly one of Source and
// Zone is set. Order, Host and ReceivedAt, in Unix milliseconds, are the origin;
// hosts of earlier releases skip them.
type commandRecord struct {
	Version    uint64 `msgpack:"version,omitempty"`
	Source     []byte `msgpack:"source,omitempty"`
	Zone       string `msgpack:"zone,omitempty"`
	Begin      bool   `msgpack:"begin,omitempty"`
	Order      string `msgpack:"order,omitempty"`
	Host       string `msgpack:"host,omitempty"`
	ReceivedAt int64  `msgpack:"received-at,omitempty"`
}

// snapshotRecord is the desired state as encoded in a snapshot. The snapshots of
// earlier releases have no orders, and these releases skip them.
type snapshotRecord struct {
	Version uint64        `msgpack:"version"`
	Source  []byte        `msgpack:"source"`
	Zones   []string      `msgpack:"zones"`
	Orders  *ordersRecord `msgpack:"orders,omitempty"`
}

// ordersRecord holds the last orders for zones, see scheme.ZoneOrders.
type ordersRecord struct {
	Last         map[string]uint64 `msgpack:"last"`
	CompleteFrom uint64            `msgpack:"complete-from"`
}

func newOrdersRecord(o scheme.ZoneOrders) *ordersRecord {
	r := &ordersRecord{Last: map[string]uint64{}, CompleteFrom: uint64(o.CompleteFrom())}
	for zone, revision := range o.Known() {
		r.Last[string(zone)] = uint64(revision)
	}
	return r
}

// zoneOrders returns the last orders as of the revision of the snapshot. In a
// snapshot of an earlier release all of them are unknown.
func (r *ordersRecord) zoneOrders(snapshot ident.Revision) scheme.ZoneOrders {
	if r == nil {
		return scheme.NewZoneOrders(nil, snapshot)
	}
	last := map[ident.Zone]ident.Revision{}
	for zone, revision := range r.Last {
		last[ident.Zone(zone)] = ident.Revision(revision)
	}
	return scheme.NewZoneOrders(last, ident.Revision(r.CompleteFrom))
}

// EncodePut encodes the command to put a configuration.
func EncodePut(version uint64, source []byte, origin Origin) ([]byte, error) {
	return encode(origin.addTo(commandRecord{Version: version, Source: source}))
}

// EncodeEvacuate encodes the command to begin or end the evacuation of a zone.
func EncodeEvacuate(zone ident.Zone, begin bool, origin Origin) ([]byte, error) {
	return encode(origin.addTo(commandRecord{Zone: string(zone), Begin: begin}))
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
	log    *slog.Logger
}

var _ ctrl.StateMachine = (*Board)(nil)

// Option sets an optional property of a Board.
type Option func(*Board)

// WithLogger sets the logger for applied commands. By default they are not
// logged.
func WithLogger(log *slog.Logger) Option { return func(b *Board) { b.log = log } }

// New returns a board with an empty state.
func New(notify Listener, options ...Option) *Board {
	b := &Board{notify: notify, log: slog.New(slog.DiscardHandler)}
	for _, apply := range options {
		apply(b)
	}
	return b
}

// Apply implements ctrl.StateMachine. The result is true if the command changed
// the state, and an error if it cannot be decoded.
func (b *Board) Apply(revision ident.Revision, data []byte) any {
	var command commandRecord
	if err := msgpack.Unmarshal(data, &command); err != nil {
		return fmt.Errorf("decode command at revision %d: %w", revision, err)
	}
	var changed bool
	if command.Zone != "" {
		b.state, changed = b.state.Evacuate(ident.Zone(command.Zone), command.Begin, revision)
		b.log.Info("board: evacuation applied", "revision", revision, "zone", command.Zone, "begin", command.Begin,
			"changed", changed, "origin", command.origin())
	} else {
		b.state, changed = b.state.Put(command.Version, command.Source)
		b.log.Info("board: configuration applied", "revision", revision, "version", command.Version,
			"changed", changed, "origin", command.origin())
	}
	b.notify(revision, b.state)
	return changed
}

// Snapshot implements ctrl.StateMachine.
func (b *Board) Snapshot() func() ([]byte, error) {
	s := b.state
	return func() ([]byte, error) {
		record := snapshotRecord{Version: s.Version(), Source: s.Source(), Orders: newOrdersRecord(s.Orders())}
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
	b.state = scheme.NewDesiredState(record.Version, record.Source, zones).WithOrders(record.Orders.zoneOrders(revision))
	b.notify(revision, b.state)
	return nil
}
