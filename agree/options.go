package agree

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultElectionTimeout is at least ten times the round-trip time between
	// regions, so that lost packets and short pauses do not end a leadership.
	defaultElectionTimeout = 600 * time.Millisecond
	// defaultHeartbeatInterval allows several heartbeats per election timeout.
	defaultHeartbeatInterval = 100 * time.Millisecond
	// defaultMaxMessageBytes bounds the total size of the entries of a message.
	defaultMaxMessageBytes = 1 << 20
	// defaultMaxProposalBytes bounds one proposal. An entry that exceeds
	// defaultMaxMessageBytes is sent in a message of its own.
	defaultMaxProposalBytes = 3 << 20
	// defaultMaxInFlight bounds the unacknowledged appends to one peer.
	defaultMaxInFlight = 16
	// defaultMaxInFlightBytes bounds the size of the entries of these appends,
	// but for a single append.
	defaultMaxInFlightBytes = 4 << 20
	// defaultMaxUncommittedEntries bounds the number of uncommitted entries.
	defaultMaxUncommittedEntries = 16384
	// defaultMaxUncommittedBytes bounds the size of the uncommitted entries.
	defaultMaxUncommittedBytes = 32 << 20
	// defaultRetainedEntries is the number of entries kept before a snapshot, so
	// that members that lag slightly behind need no snapshot.
	defaultRetainedEntries = 4096
	// defaultRetainedBytes bounds the size of these entries. A member that lags
	// by more gets a snapshot, which is smaller if the entries are large.
	defaultRetainedBytes = 4 << 20
	// snapshotResendTimeouts is the number of election timeouts after which a
	// leader sends an unconfirmed snapshot again.
	snapshotResendTimeouts = 10
)

type options struct {
	electionTimeout       time.Duration
	heartbeatInterval     time.Duration
	maxMessageBytes       int
	maxProposalBytes      int
	maxInFlight           int
	maxInFlightBytes      int
	maxUncommittedEntries int
	maxUncommittedBytes   int
	retainedEntries       int
	retainedBytes         int
	random                *rand.Rand
}

// Option changes a default of New.
type Option func(*options)

// WithElectionTimeout sets the minimum time without a leader after which a
// voter starts an election. The actual timeout is random, up to twice as long.
func WithElectionTimeout(d time.Duration) Option { return func(o *options) { o.electionTimeout = d } }

// WithHeartbeatInterval sets the interval between the heartbeats of a leader.
func WithHeartbeatInterval(d time.Duration) Option {
	return func(o *options) { o.heartbeatInterval = d }
}

// WithMaxMessageBytes bounds the total size of the entries of a message. A larger
// entry is sent in a message of its own.
func WithMaxMessageBytes(n int) Option { return func(o *options) { o.maxMessageBytes = n } }

// WithMaxProposalBytes bounds the size of a proposal.
func WithMaxProposalBytes(n int) Option { return func(o *options) { o.maxProposalBytes = n } }

// WithMaxInFlight bounds the number of unacknowledged appends to one peer.
func WithMaxInFlight(n int) Option { return func(o *options) { o.maxInFlight = n } }

// WithMaxInFlightBytes bounds the size of the entries of these appends. A single
// append may be larger.
func WithMaxInFlightBytes(n int) Option { return func(o *options) { o.maxInFlightBytes = n } }

// WithMaxUncommitted bounds the number and the total size of the uncommitted
// entries.
func WithMaxUncommitted(entries, bytes int) Option {
	return func(o *options) { o.maxUncommittedEntries, o.maxUncommittedBytes = entries, bytes }
}

// WithRetainedEntries sets the number of entries that are kept before a
// snapshot.
func WithRetainedEntries(n int) Option { return func(o *options) { o.retainedEntries = n } }

// WithRetainedBytes bounds the size of the entries that are kept before a
// snapshot.
func WithRetainedBytes(n int) Option { return func(o *options) { o.retainedBytes = n } }

// WithSeed sets the seed of the random election timeouts. The hosts of a
// cluster need different seeds.
func WithSeed(seed uint64) Option {
	return func(o *options) { o.random = rand.New(rand.NewPCG(seed, 0)) }
}

func newOptions(list []Option) options {
	o := options{
		electionTimeout:       defaultElectionTimeout,
		heartbeatInterval:     defaultHeartbeatInterval,
		maxMessageBytes:       defaultMaxMessageBytes,
		maxProposalBytes:      defaultMaxProposalBytes,
		maxInFlight:           defaultMaxInFlight,
		maxInFlightBytes:      defaultMaxInFlightBytes,
		maxUncommittedEntries: defaultMaxUncommittedEntries,
		maxUncommittedBytes:   defaultMaxUncommittedBytes,
		retainedEntries:       defaultRetainedEntries,
		retainedBytes:         defaultRetainedBytes,
		random:                rand.New(rand.NewPCG(0, 0)),
	}
	for _, apply := range list {
		apply(&o)
	}
	return o
}
