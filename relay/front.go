package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
)

// Front serves the callers' listener. New limits hold for new connections;
// open connections keep those that they began with, so that a change breaks
// nothing. It is safe for concurrent use.
type Front struct {
	ref *tasks.Ref
}

// StartFront accepts connections until Drain or the end of ctx.
func StartFront(
	ctx context.Context, system *tasks.System, listener net.Listener, handler http.Handler, log *slog.Logger,
) (*Front, error) {
	t := &frontTask{ctx: ctx, listener: listener, handler: handler, log: log}
	ref, err := tasks.Spawn(ctx, system, "front", t)
	if err != nil {
		return nil, fmt.Errorf("start front: %w", err)
	}
	t.self = ref
	go t.accept()
	return &Front{ref: ref}, nil
}

// Limit sets the limits of new connections. Until the first call, accepted
// connections wait.
func (f *Front) Limit(l scheme.Limits) { f.ref.Tell(setLimits{limits: l}) }

// Drain ends idle connections and announces the end with each further
// answer. New connections are still served.
func (f *Front) Drain() { f.ref.Tell(drain{}) }

// Shutdown accepts no more connections and returns when all requests have
// been answered or ctx ends.
func (f *Front) Shutdown(ctx context.Context) error {
	servers, err := tasks.Ask(ctx, f.ref, func(reply tasks.Reply[[]*http.Server]) any { return closeFront{reply: reply} })
	if err != nil {
		return fmt.Errorf("shut down front: %w", err)
	}
	var faults []error
	for _, s := range servers {
		faults = append(faults, s.Shutdown(ctx))
	}
	if err := errors.Join(faults...); err != nil {
		return fmt.Errorf("shut down front: %w", err)
	}
	return nil
}

// The messages of the front.
type (
	accepted   struct{ conn net.Conn }
	setLimits  struct{ limits scheme.Limits }
	drain      struct{}
	closeFront struct{ reply tasks.Reply[[]*http.Server] }
)

// frontTask owns the servers, one for each set of limits.
type frontTask struct {
	ctx      context.Context
	self     *tasks.Ref
	listener net.Listener
	handler  http.Handler
	log      *slog.Logger
	limits   scheme.Limits
	servers  []*http.Server
	feed     *feed
	waiting  []net.Conn
	draining bool
}

var (
	_ tasks.Task    = (*frontTask)(nil)
	_ tasks.Stopper = (*frontTask)(nil)
)

// accept passes connections on until the listener is closed.
func (t *frontTask) accept() {
	for {
		conn, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.log.Warn("relay: connection not accepted", "error", err)
			if t.ctx.Err() != nil {
				return
			}
			continue
		}
		t.self.Tell(accepted{conn: conn})
	}
}

// Handle implements tasks.Task.
func (t *frontTask) Handle(message any) {
	switch m := message.(type) {
	case accepted:
		if t.feed == nil {
			t.waiting = append(t.waiting, m.conn)
			return
		}
		t.feed.push(m.conn)
	case setLimits:
		t.setLimits(m.limits)
	case drain:
		t.draining = true
		for _, s := range t.servers {
			s.SetKeepAlivesEnabled(false)
		}
	case closeFront:
		_ = t.listener.Close()
		m.reply.Send(t.servers)
	}
}

// Stop implements tasks.Stopper.
func (t *frontTask) Stop() {
	_ = t.listener.Close()
	for _, s := range t.servers {
		_ = s.Close()
	}
}

func (t *frontTask) setLimits(l scheme.Limits) {
	if t.feed != nil && l == t.limits {
		return
	}
	old := t.feed
	t.limits = l
	t.feed = newFeed(t.listener.Addr())
	server := &http.Server{
		Handler:           http.MaxBytesHandler(t.handler, maxBody(l)),
		MaxHeaderBytes:    l.HeaderBytes(),
		ReadHeaderTimeout: l.HeaderTime(),
		IdleTimeout:       l.IdleTime(),
		ErrorLog:          slog.NewLogLogger(t.log.Handler(), slog.LevelDebug),
	}
	if t.draining {
		server.SetKeepAlivesEnabled(false)
	}
	t.servers = append(t.servers, server)
	feed := t.feed
	go func() {
		if err := server.Serve(feed); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			t.log.Error("relay: server ended", "error", err)
		}
	}()
	if old != nil {
		_ = old.Close()
	}
	for _, c := range t.waiting {
		t.feed.push(c)
	}
	t.waiting = nil
}

func maxBody(l scheme.Limits) int64 {
	if l.BodyBytes() > 0 {
		return l.BodyBytes()
	}
	return 1 << 40
}

// feed is a listener whose connections are accepted elsewhere.
type feed struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// feedConns is the number of accepted connections that wait for a server.
const feedConns = 256

func newFeed(address net.Addr) *feed {
	return &feed{address: address, conns: make(chan net.Conn, feedConns), closed: make(chan struct{})}
}

// push passes a connection on, or closes it when too many wait.
func (f *feed) push(c net.Conn) {
	select {
	case f.conns <- c:
	default:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	default:
	}
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.closed:
		return nil, fmt.Errorf("accept: %w", net.ErrClosed)
	}
}

// Close implements net.Listener.
func (f *feed) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr implements net.Listener.
func (f *feed) Addr() net.Addr { return f.address }
