package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/certs"
	"rhubarbrack/clock"
	"rhubarbrack/conf"
	"rhubarbrack/wire"
)

// ErrEnded means that a required task or server ended unexpectedly.
const ErrEnded = errors.ConstError("required task ended unexpectedly")

type options struct {
	clock           clock.Clock
	log             *slog.Logger
	lookupTTL       time.Duration
	shutdownTimeout time.Duration
	ready           func()
}

const (
	// defaultLookupTTL is how long callers may cache a lookup response. It is
	// short because a planned stop waits that long.
	defaultLookupTTL = 5 * time.Second
	// defaultShutdownTimeout limits the wait for requests in flight at a planned
	// stop.
	defaultShutdownTimeout = 60 * time.Second
)

// Option changes a default of a process.
type Option func(*options)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithLogger sets the logger. The default is slog.Default().
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithLookupTTL sets how long callers may cache a lookup response.
func WithLookupTTL(d time.Duration) Option { return func(o *options) { o.lookupTTL = d } }

// WithReady sets a function that is called when the process is ready to serve.
func WithReady(ready func()) Option { return func(o *options) { o.ready = ready } }

func newOptions(opts []Option) options {
	o := options{
		clock: clock.Wall(), log: slog.Default(), lookupTTL: defaultLookupTTL,
		shutdownTimeout: defaultShutdownTimeout, ready: func() {},
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// security holds the TLS configurations of one process. Plain-text listeners
// have no entry in servers, and dial is nil if peers use plain text.
type security struct {
	servers map[conf.Listener]*tls.Config
	// dial returns the TLS configuration of connections to a peer.
	dial func(address string) *tls.Config
}

// listener returns the TLS configuration of a listener, or nil for plain text.
// It is nil for peers too, since package wire applies TLS to their connections.
func (s security) listener(name conf.Listener) *tls.Config {
	if name == conf.Peers {
		return nil
	}
	return s.servers[name]
}

// dialOptions returns the options for connections to peers.
func (s security) dialOptions() []wire.Option {
	if s.dial == nil {
		return nil
	}
	return []wire.Option{wire.WithTLSFor(s.dial)}
}

// loadSecurity loads the certificates named in the settings.
func loadSecurity(s *conf.Settings, o options) (security, error) {
	out := security{servers: make(map[conf.Listener]*tls.Config)}
	for _, name := range conf.Listeners() {
		files, ok := s.TLSFiles(name)
		if !ok {
			continue
		}
		source, err := certs.Load(
			certs.NewFiles(files.Certificate(), files.Key(), files.Authorities()),
			certs.WithClock(o.clock), certs.WithLogger(o.log),
		)
		if err != nil {
			return security{}, fmt.Errorf("certificates for %s: %w", name, err)
		}
		out.servers[name] = source.ServerConfig()
		if name == conf.Peers {
			out.dial = source.ClientConfig
		}
	}
	return out, nil
}

// listen opens a listener of the process. It returns nil if the settings have no
// address for it.
func listen(ctx context.Context, s *conf.Settings, name conf.Listener, tlsConfig *tls.Config) (net.Listener, error) {
	address, ok := s.ListenAddress(name)
	if !ok {
		return nil, nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return listener, nil
}
