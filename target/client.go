package target

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"rhubarbrack/clock"
)

const (
	// defaultDialTimeout is short because targets are at most a region away.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is shorter than the keep-alive time of common
	// servers, so that targets seldom close a connection that is being
	// reused, which looks like a crash.
	defaultIdleTimeout = 15 * time.Second
	// defaultIdleConns is the number of idle connections kept per target.
	defaultIdleConns = 32
	// defaultHeaderBytes bounds the header of an answer.
	defaultHeaderBytes = 64 << 10
	// bufferBytes is the size of the copy buffer of one answer.
	bufferBytes = 32 << 10
	// shedBodyBytes is the most that is read of the body of a shed answer so
	// that its connection can be used again.
	shedBodyBytes = 4 << 10
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	// fresh uses each connection once.
	fresh   *http.Transport
	clock   clock.Clock
	buffers sync.Pool
}

type settings struct {
	clock       clock.Clock
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	dialTimeout time.Duration
	idleTimeout time.Duration
	idleConns   int
	headerBytes int64
}

// Option changes a default of NewClient.
type Option func(*settings)

// WithClock sets the clock that dates of Retry-After headers are compared
// with. The default is the clock of the machine.
func WithClock(c clock.Clock) Option { return func(s *settings) { s.clock = c } }

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *settings) { s.dial = dial }
}

// WithDialTimeout bounds the set-up of a connection. The default is 1 s.
func WithDialTimeout(d time.Duration) Option { return func(s *settings) { s.dialTimeout = d } }

// WithIdleTimeout sets how long an unused connection is kept. It must be
// shorter than the keep-alive time of the targets. The default is 15 s.
func WithIdleTimeout(d time.Duration) Option { return func(s *settings) { s.idleTimeout = d } }

// WithIdleConns sets the number of idle connections per target. The default
// is 32.
func WithIdleConns(n int) Option { return func(s *settings) { s.idleConns = n } }

// NewClient returns a client. Close releases its connections.
func NewClient(options ...Option) *Client {
	s := settings{
		clock:       clock.Wall(),
		dialTimeout: defaultDialTimeout,
		idleTimeout: defaultIdleTimeout,
		idleConns:   defaultIdleConns,
		headerBytes: defaultHeaderBytes,
	}
	for _, apply := range options {
		apply(&s)
	}
	c := &Client{clock: s.clock, transport: newTransport(s), fresh: newTransport(s)}
	c.fresh.DisableKeepAlives = true
	c.buffers.New = func() any { return new([bufferBytes]byte) }
	return c
}

// newTransport returns a transport without proxies, compression, redirects
// and HTTP/2. See the package comment about retries.
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
	return &countedConn{Conn: conn}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
