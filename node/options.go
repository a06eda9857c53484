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

// ErrEnded means that a part of the process ended by itself.
const ErrEnded = errors.ConstError("part of the process ended")

type options struct {
	clock           clock.Clock
	log             *slog.Logger
	lookupTTL       time.Duration
	shutdownTimeout time.Duration
	ready           func()
}

const (
	// defaultLookupTTL is how long callers may cache a look-up. A planned
	// stop waits as long, so it is short.
	defaultLookupTTL = 5 * time.Second
	// defaultShutdownTimeout bounds the wait for requests under way at a planned
	// stop.
	defaultShutdownTimeout = 60 * time.Second
)

// Option changes a default of a process.
type Option func(*options)

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(c clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithLogger sets the destination of log lines. The default is slog.Default().
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithLookupTTL sets how long callers may cache a look-up.
func WithLookupTTL(d time.Duration) Option { return func(o *options) { o.lookupTTL = d } }

// WithReady sets a function that is called once the process serves.
func WithReady(ready func()) Option { return func(o *options) { o.ready = ready } }

func newOptions(list []Option) options {
	o := options{
		clock: clock.Wall(), log: slog.Default(), lookupTTL: defaultLookupTTL,
		shutdownTimeout: defaultShutdownTimeout, ready: func() {},
	}
	for _, apply := range list {
		apply(&o)
	}
	return o
}

// security holds the TLS settings of one process. The fields are nil where
// plain text is used.
type security struct {
	servers map[conf.Listener]*tls.Config
	// dial returns the settings of connections to a peer.
	dial func(address string) *tls.Config
}

// listener returns the settings of a listener, or nil for plain text. Package
// wire secures the connections of peers by itself.
func (s security) listener(party conf.Listener) *tls.Config {
	if party == conf.Peers {
		return nil
	}
	return s.servers[party]
}

// dialOptions returns the options of connections to peers.
func (s security) dialOptions() []wire.Option {
	if s.dial == nil {
		return nil
	}
	return []wire.Option{wire.WithTLSFor(s.dial)}
}

// loadSecurity reads the certificates that the settings name.
func loadSecurity(s *conf.Settings, o options) (security, error) {
	out := security{servers: make(map[conf.Listener]*tls.Config)}
	for _, party := range conf.Listeners() {
		files, ok := s.TLS(party)
		if !ok {
			continue
		}
		source, err := certs.Load(
			certs.NewFiles(files.Certificate(), files.Key(), files.Authorities()),
			certs.WithClock(o.clock), certs.WithLog(o.log),
		)
		if err != nil {
			return security{}, fmt.Errorf("certificates for %s: %w", party, err)
		}
		out.servers[party] = source.Server()
		if party == conf.Peers {
			out.dial = source.Client
		}
	}
	return out, nil
}

// listen opens the listener for a party. It returns nil when the settings name
// no address.
func listen(ctx context.Context, s *conf.Settings, party conf.Listener, secure *tls.Config) (net.Listener, error) {
	address, ok := s.Listen(party)
	if !ok {
		return nil, nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", party, err)
	}
	if secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	return listener, nil
}
