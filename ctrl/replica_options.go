package ctrl

import (
	"log/slog"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/store"
	"rhubarbrack/wire"
)

const (
	// defaultTick leaves several ticks in a heartbeat interval.
	defaultTick = 25 * time.Millisecond
	// defaultSnapshotEntries bounds the replay after a restart.
	defaultSnapshotEntries = 8192
	// defaultSnapshotBytes bounds the size of the log on disk.
	defaultSnapshotBytes = 16 << 20
	// defaultCallTimeout bounds a call between replicas.
	defaultCallTimeout = time.Second
)

// Peer is a host of the initial list of a cluster.
type Peer struct {
	host    ident.Host
	address string
}

// NewPeer returns a host with the address of its listener.
func NewPeer(host ident.Host, address string) Peer { return Peer{host: host, address: address} }

// Host returns the name of the host.
func (p Peer) Host() ident.Host { return p.host }

// Address returns the address of the host.
func (p Peer) Address() string { return p.address }

type replicaOptions struct {
	clock           clock.Clock
	logger          *slog.Logger
	observer        LeadershipObserver
	formation       []Peer
	files           store.FileSystem
	tick            time.Duration
	callTimeout     time.Duration
	snapshotEntries int
	snapshotBytes   int
	chunkBytes      int
	node            []agree.Option
	wire            []wire.Option
}

// ReplicaOption changes a default of StartReplica.
type ReplicaOption func(*replicaOptions)

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(c clock.Clock) ReplicaOption { return func(o *replicaOptions) { o.clock = c } }

// WithLogger sets the destination of log lines.
func WithLogger(l *slog.Logger) ReplicaOption { return func(o *replicaOptions) { o.logger = l } }

// WithLeadershipObserver sets who learns of the replica's leaderships.
func WithLeadershipObserver(b LeadershipObserver) ReplicaOption {
	return func(o *replicaOptions) { o.observer = b }
}

// WithInitialPeers sets the initial list of a cluster, with the host itself. It
// matters only while the disk is empty. Without it, an empty host waits until
// a leader adds it.
//
// The list must name every control host that ever formed the cluster and is
// still a member: a host that lost its disk is recognised by asking them.
func WithInitialPeers(peers ...Peer) ReplicaOption {
	return func(o *replicaOptions) { o.formation = peers }
}

// WithFileSystem sets the file system of the data directory.
func WithFileSystem(files store.FileSystem) ReplicaOption {
	return func(o *replicaOptions) { o.files = files }
}

// WithTickInterval sets the interval at which the replica checks its timers.
func WithTickInterval(d time.Duration) ReplicaOption { return func(o *replicaOptions) { o.tick = d } }

// WithCallTimeout sets the deadline of a call to another replica.
func WithCallTimeout(d time.Duration) ReplicaOption {
	return func(o *replicaOptions) { o.callTimeout = d }
}

// WithSnapshotThresholds sets after how many entries, or bytes of entries, the replica
// takes a snapshot and compacts its log.
func WithSnapshotThresholds(entries, bytes int) ReplicaOption {
	return func(o *replicaOptions) { o.snapshotEntries, o.snapshotBytes = entries, bytes }
}

// WithChunkBytes sets the size of the parts in which a snapshot is sent.
func WithChunkBytes(n int) ReplicaOption { return func(o *replicaOptions) { o.chunkBytes = n } }

// WithNodeOptions sets options of the protocol, such as the election timeout.
func WithNodeOptions(list ...agree.Option) ReplicaOption {
	return func(o *replicaOptions) { o.node = append(o.node, list...) }
}

// WithWireOptions sets options of the connections to other replicas.
func WithWireOptions(list ...wire.Option) ReplicaOption {
	return func(o *replicaOptions) { o.wire = append(o.wire, list...) }
}

func newReplicaOptions(list []ReplicaOption) replicaOptions {
	o := replicaOptions{
		clock:           clock.Wall(),
		logger:          slog.Default(),
		files:           store.OS(),
		tick:            defaultTick,
		callTimeout:     defaultCallTimeout,
		snapshotEntries: defaultSnapshotEntries,
		snapshotBytes:   defaultSnapshotBytes,
		chunkBytes:      defaultChunkBytes,
	}
	for _, apply := range list {
		apply(&o)
	}
	return o
}
