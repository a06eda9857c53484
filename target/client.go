package target

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"rhubarbrack/clock"
)

const (
	// defaultDialTimeout is short because round trips are short, even to a
	// target in another region.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is shorter than the keep-alive time of common
	// servers. Otherwise targets would often close a connection while it is
	// being reused, which looks like a crash.
	defaultIdleTimeout = 15 * time.Second
	// defaultIdleConns is the number of idle connections kept per target.
	defaultIdleConns = 32
	// defaultHeaderBytes limits the header of a response.
	defaultHeaderBytes = 64 << 10
	// bufferBytes is the size of the buffer that copies a response.
	bufferBytes = 32 << 10
	// maxShedBodyBytes limits how much of the body of a shed response is read
	// so that its connection can be reused.
	maxShedBodyBytes = 4 << 10
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	// freshTransport uses each connection for one request only.
	freshTransport *http.Transport
	clock          clock.Clock
	log            *slog.Logger
	attempts       attemptIDs
	buffers        sync.Pool
}

type settings struct {
	clock       clock.Clock
	log         *slog.Logger
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	dialTimeout time.Duration
	idleTimeout time.Duration
	idleConns   int
	headerBytes int64
}

// Option changes a default of NewClient.
type Option func(*settings)

// WithClock sets the clock that dates in Retry-After headers are compared
// with. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLogger sets the logger. The default is slog.Default.
func WithLogger(l *slog.Logger) Option { return func(s *settings) { s.log = l } }

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *settings) { s.dial = dial }
}

// WithDialTimeout limits the time to open a connection. The default is 1 s.
func WithDialTimeout(d time.Duration) Option { return func(s *settings) { s.dialTimeout = d } }

// WithIdleTimeout sets how long an unused connection is kept. It must be
// shorter than the keep-alive time of the targets. The default is 15 s.
func WithIdleTimeout(d time.Duration) Option { return func(s *settings) { s.idleTimeout = d } }

// WithIdleConns sets the number of idle connections per target. The default
// is 32.
func WithIdleConns(n int) Option { return func(s *settings) { s.idleConns = n } }

// NewClient returns a client. Close closes its idle connections.
func NewClient(options ...Option) *Client {
	s := settings{
		clock:       clock.Wall(),
		log:         slog.Default(),
		dialTimeout: defaultDialTimeout,
		idleTimeout: defaultIdleTimeout,
		idleConns:   defaultIdleConns,
		headerBytes: defaultHeaderBytes,
	}
	for _, apply := range options {
		apply(&s)
	}
	c := &Client{clock: s.clock, log: s.log, attempts: newAttemptIDs(), transport: newTransport(s), freshTransport: newTransport(s)}
	c.freshTransport.DisableKeepAlives = true
	c.buffers.New = func() any { return new([bufferBytes]byte) }
	return c
}

// newTransport returns a transport without proxies, compression and HTTP/2.
// The package comment explains why it never retries.
func newTransport(s settings) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            s.dialCounted,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    s.idleConns,
		IdleConnTimeout:        s.idleTimeout,
		MaxResponseHeaderBytes: s.headerBytes,
		Protocols:              protocols,
	}
}

func (s settings) dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.dialTimeout)
	defer cancel()
	dial := s.dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	return newCountedConn(conn), nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
