package wire

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"rhubarbrack/clock"
)

const (
	// defaultMaxMessageBytes limits one message. The largest is a snapshot of
	// the configuration.
	defaultMaxMessageBytes = 64 << 20
	// defaultMaxServerCalls limits the calls in flight of one connection. Slot
	// requests count towards it while they wait in a queue.
	defaultMaxServerCalls = 4096
	// defaultMaxClientCalls limits the calls in flight of one client.
	defaultMaxClientCalls = 4096
	// defaultFirstDialTimeout limits the first attempt to connect, and the
	// first one after a connection has ended. The opening packet to a peer
	// that has just been without power is lost, and the kernel retransmits it
	// only after a second. The timeout covers several round trips between
	// regions.
	defaultFirstDialTimeout = 250 * time.Millisecond
	// defaultDialTimeout limits later attempts, each of which may take twice
	// as long as the one before, because a slow link needs more time.
	defaultDialTimeout = time.Second
	// defaultRedialPause keeps a client from dialling an unreachable peer in a
	// tight loop.
	defaultRedialPause = 100 * time.Millisecond
)

// Dialer opens connections to peers. A net.Dialer is one.
type Dialer interface {
	// DialContext opens a connection to an address until ctx ends.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

var _ Dialer = (*net.Dialer)(nil)

type options struct {
	dialer           Dialer
	security         *tls.Config
	securityFor      func(address string) *tls.Config
	clock            clock.Clock
	maxMessageBytes  int64
	maxServerCalls   int
	maxClientCalls   int
	firstDialTimeout time.Duration
	dialTimeout      time.Duration
	redialPause      time.Duration
}

// Option changes a default of StartClient or Serve.
type Option func(*options)

// WithTLS sets the TLS configuration of a connection. Nil means plain TCP.
func WithTLS(security *tls.Config) Option { return func(o *options) { o.security = security } }

// WithTLSFor sets the TLS configuration of a client by the IP address of its
// peer, which the peer's certificate must contain.
func WithTLSFor(security func(address string) *tls.Config) Option {
	return func(o *options) { o.securityFor = security }
}

// WithDialer sets how a client opens its connections, without TLS. The default is
// a net.Dialer that leaves the own address to the system.
func WithDialer(d Dialer) Option { return func(o *options) { o.dialer = d } }

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithMaxMessageBytes limits the size of one message.
func WithMaxMessageBytes(n int64) Option { return func(o *options) { o.maxMessageBytes = n } }

// WithMaxClientCalls limits the calls in flight of a client.
func WithMaxClientCalls(n int) Option { return func(o *options) { o.maxClientCalls = n } }

func newOptions(list []Option) options {
	o := options{
		dialer:           &net.Dialer{},
		clock:            clock.Wall(),
		maxMessageBytes:  defaultMaxMessageBytes,
		maxServerCalls:   defaultMaxServerCalls,
		maxClientCalls:   defaultMaxClientCalls,
		firstDialTimeout: defaultFirstDialTimeout,
		dialTimeout:      defaultDialTimeout,
		redialPause:      defaultRedialPause,
	}
	for _, apply := range list {
		apply(&o)
	}
	return o
}
