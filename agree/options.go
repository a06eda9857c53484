package agree

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultElectionTimeout is ten round trips between regions and more, so
	// that lost packets and short pauses do not end a leadership.
	defaultElectionTimeout = 600 * time.Millisecond
	// defaultHeartbeat leaves several heartbeats in an election timeout.
	defaultHeartbeat = 100 * time.Millisecond
	// defaultMessageBytes bounds the entries of one message.
	defaultMessageBytes = 1 << 20
	// defaultInFlight bounds the unanswered appends to one peer.
	defaultInFlight = 16
	// defaultUncommittedEntries bounds the entries that wait for a majority.
	defaultUncommittedEntries = 16384
	// defaultUncommittedBytes bounds their size.
	defaultUncommittedBytes = 32 << 20
	// defaultRetained is the number of entries kept before a snapshot, so
	// that a member that lags a little needs no snapshot.
	defaultRetained = 4096
	// snapshotTimeouts is how many election timeouts a leader waits before it
	// sends a snapshot again.
	snapshotTimeouts = 10
)

type options struct {
	electionTimeout    time.Duration
	heartbeat          time.Duration
	messageBytes       int
	inFlight           int
	uncommittedEntries int
	uncommittedBytes   int
	retained           int
	random             *rand.Rand
}

// Option changes a default of New.
type Option func(*options)

// WithElectionTimeout sets the shortest time without a leader after which a
// voter starts an election. The actual time is random, up to twice as long.
func WithElectionTimeout(d time.Duration) Option { return func(o *options) { o.electionTimeout = d } }

// WithHeartbeatInterval sets the interval between the heartbeats of a leader.
func WithHeartbeatInterval(d time.Duration) Option { return func(o *options) { o.heartbeat = d } }

// WithMaxMessageBytes sets the greatest size of the entries of one message, and
// of one proposal.
func WithMaxMessageBytes(n int) Option { return func(o *options) { o.messageBytes = n } }

// WithMaxInFlight sets the greatest number of unanswered appends to one peer.
func WithMaxInFlight(n int) Option { return func(o *options) { o.inFlight = n } }

// WithMaxUncommitted sets the greatest number and size of uncommitted entries.
func WithMaxUncommitted(entries, bytes int) Option {
	return func(o *options) { o.uncommittedEntries, o.uncommittedBytes = entries, bytes }
}

// WithRetainedEntries sets how many entries are kept before a snapshot.
func WithRetainedEntries(n int) Option { return func(o *options) { o.retained = n } }

// WithSeed sets the seed of the random election timeouts. Hosts of a cluster
// need different seeds.
func WithSeed(seed uint64) Option {
	return func(o *options) { o.random = rand.New(rand.NewPCG(seed, 0)) }
}

func newOptions(list []Option) options {
	o := options{
		electionTimeout:    defaultElectionTimeout,
		heartbeat:          defaultHeartbeat,
		messageBytes:       defaultMessageBytes,
		inFlight:           defaultInFlight,
		uncommittedEntries: defaultUncommittedEntries,
		uncommittedBytes:   defaultUncommittedBytes,
		retained:           defaultRetained,
		random:             rand.New(rand.NewPCG(0, 0)),
	}
	for _, apply := range list {
		apply(&o)
	}
	return o
}
