package wire

import (
	"crypto/tls"
	"time"

	"rhubarbrack/clock"
)

const (
	// defaultMessageBytes bounds one message. A snapshot of the
	// configuration is the largest.
	defaultMessageBytes = 64 << 20
	// defaultServerCalls bounds the calls in flight of one connection.
	// Slot requests wait in a queue, so each holds its place meanwhile.
	defaultServerCalls = 4096
	// defaultClientCalls bounds the calls in flight of one client.
	defaultClientCalls = 4096
	// defaultFirstDial bounds the first attempt to set up a connection, and
	// the first after a connection has ended. A peer that has just been
	// without power has lost the opening packet, which the kernel repeats
	// only after a second. It is several round trips between regions.
	defaultFirstDial = 250 * time.Millisecond
	// defaultDialTimeout bounds later attempts, each of which may take twice
	// as long as the one before: a slow link needs more time.
	defaultDialTimeout = time.Second
	// defaultRedialPause keeps a client from dialling a dead peer in a loop.
	defaultRedialPause = 100 * time.Millisecond
)

type options struct {
	security     *tls.Config
	securityFor  func(address string) *tls.Config
	clock        clock.Clock
	messageBytes int64
	serverCalls  int
	clientCalls  int
	firstDial    time.Duration
	dialTimeout  time.Duration
	redialPause  time.Duration
}

// Option changes a default of Dial or Serve.
type Option func(*options)

// WithTLS sets the certificates of a connection. Nil means plain TCP.
func WithTLS(security *tls.Config) Option { return func(o *options) { o.security = security } }

// WithTLSFor sets the certificates of a client by the IP address of its peer,
// which the peer's certificate must bear.
func WithTLSFor(security func(address string) *tls.Config) Option {
	return func(o *options) { o.securityFor = security }
}

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(c clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithMaxMessageBytes sets the size limit of one message.
func WithMaxMessageBytes(n int64) Option { return func(o *options) { o.messageBytes = n } }

// WithMaxClientCalls sets the greatest number of calls in flight of a client.
func WithMaxClientCalls(n int) Option { return func(o *options) { o.clientCalls = n } }

func newOptions(list []Option) options {
	o := options{
		clock:        clock.Wall(),
		messageBytes: defaultMessageBytes,
		serverCalls:  defaultServerCalls,
		clientCalls:  defaultClientCalls,
		firstDial:    defaultFirstDial,
		dialTimeout:  defaultDialTimeout,
		redialPause:  defaultRedialPause,
	}
	for _, apply := range list {
		apply(&o)
	}
	return o
}
