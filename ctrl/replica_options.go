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
	// defaultTickInterval allows several ticks per heartbeat interval.
	defaultTickInterval = 25 * time.Millisecond
	// defaultSnapshotEntries bounds the entries to replay after a restart.
	defaultSnapshotEntries = 8192
	// defaultSnapshotBytes bounds the size of the log in memory and on disk.
	defaultSnapshotBytes = 8 << 20
	// defaultCallTimeout bounds a call between replicas.
	defaultCallTimeout = time.Second
)

// Peer is a control host with its address.
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
	initialPeers    []Peer
	fileSystem      store.FileSystem
	tickInterval    time.Duration
	callTimeout     time.Duration
	snapshotEntries int
	snapshotBytes   int
	chunkBytes      int
	nodeOptions     []agree.Option
	wireOptions     []wire.Option
}

// ReplicaOption changes a default of StartReplica.
type ReplicaOption func(*replicaOptions)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) ReplicaOption { return func(o *replicaOptions) { o.clock = c } }

// WithLogger sets the destination of log lines.
func WithLogger(l *slog.Logger) ReplicaOption { return func(o *replicaOptions) { o.logger = l } }

// WithLeadershipObserver sets the observer of the replica's leadership.
func WithLeadershipObserver(observer LeadershipObserver) ReplicaOption {
	return func(o *replicaOptions) { o.observer = observer }
}

// WithInitialPeers sets the list of initial peers, which includes the host
// itself. It is used only while the disk is empty. Without it, a host with an
// empty disk waits until a leader adds it.
//
// The list must name every control host with which the cluster was bootstrapped
// and that is still a member: a host that has lost its disk is detected by asking
// them.
func WithInitialPeers(peers ...Peer) ReplicaOption {
	return func(o *replicaOptions) { o.initialPeers = peers }
}

// WithFileSystem sets the file system of the data directory.
func WithFileSystem(files store.FileSystem) ReplicaOption {
	return func(o *replicaOptions) { o.fileSystem = files }
}

// WithTickInterval sets the interval at which the node checks its timers.
func WithTickInterval(d time.Duration) ReplicaOption {
	return func(o *replicaOptions) { o.tickInterval = d }
}

// WithCallTimeout sets the timeout of a call to another replica.
func WithCallTimeout(d time.Duration) ReplicaOption {
	return func(o *replicaOptions) { o.callTimeout = d }
}

// WithSnapshotThresholds sets the number of entries, and their total size in
// bytes, after which the replica takes a snapshot and compacts its log.
func WithSnapshotThresholds(entries, bytes int) ReplicaOption {
	return func(o *replicaOptions) { o.snapshotEntries, o.snapshotBytes = entries, bytes }
}

// WithChunkBytes sets the size of the chunks in which a snapshot is sent.
func WithChunkBytes(n int) ReplicaOption { return func(o *replicaOptions) { o.chunkBytes = n } }

// WithNodeOptions sets options of the protocol, such as the election timeout.
func WithNodeOptions(list ...agree.Option) ReplicaOption {
	return func(o *replicaOptions) { o.nodeOptions = append(o.nodeOptions, list...) }
}

// WithWireOptions sets options of the connections to other replicas.
func WithWireOptions(list ...wire.Option) ReplicaOption {
	return func(o *replicaOptions) { o.wireOptions = append(o.wireOptions, list...) }
}

func newReplicaOptions(list []ReplicaOption) replicaOptions {
	o := replicaOptions{
		clock:           clock.Wall(),
		logger:          slog.Default(),
		fileSystem:      store.OS(),
		tickInterval:    defaultTickInterval,
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
