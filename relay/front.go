package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
)

// Front serves the callers' listener. New limits hold for new connections;
// open connections keep those that they began with, so that a change breaks
// nothing. It is safe for concurrent use.
type Front struct {
	ref      *tasks.Ref
	listener net.Listener
	draining *atomic.Bool
}

// StartFront accepts connections until Drain or the end of ctx.
//
// It holds at most the given number of connections. When half of them are
// open, each answer ends its connection: callers that ask again on a new
// connection each time leave the old ones open.
func StartFront(
	ctx context.Context, system *tasks.System, listener net.Listener, handler http.Handler, connections int,
	c clock.Clock, log *slog.Logger,
) (*Front, error) {
	t := &frontTask{ctx: ctx, listener: listener, connections: int64(connections),
		draining: new(atomic.Bool), conns: map[*callerConn]bool{}, clock: c, log: log}
	t.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.draining.Load() || t.open.Load() > t.connections/2 {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	ref, err := tasks.Spawn(ctx, system, "front", t)
	if err != nil {
		return nil, fmt.Errorf("start front: %w", err)
	}
	t.self = ref
	go t.accept()
	return &Front{ref: ref, listener: listener, draining: t.draining}, nil
}

// SetLimits sets the limits of new connections. Until the first call, accepted
// connections wait.
func (f *Front) SetLimits(l scheme.Limits) { f.ref.Tell(setLimits{limits: l}) }

// Drain announces the end of the connection with each further answer. New
// connections are still served, and idle ones stay open.
func (f *Front) Drain() { f.draining.Store(true) }

// Shutdown accepts no more connections and returns when all requests have
// been answered or ctx ends.
func (f *Front) Shutdown(ctx context.Context) error {
	f.draining.Store(true)
	ended, err := tasks.Ask(ctx, f.ref, func(reply tasks.Reply[<-chan struct{}]) any { return closeFront{reply: reply} })
	if err != nil {
		return fmt.Errorf("shut down front: %w", err)
	}
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("shut down front: %w", context.Cause(ctx))
	}
}

// The messages of the front.
type (
	accepted   struct{ conn net.Conn }
	setLimits  struct{ limits scheme.Limits }
	closeFront struct{ reply tasks.Reply[<-chan struct{}] }
	connRests  struct{ conn *callerConn }
	connEnded  struct{ conn *callerConn }
)

// frontTask owns the callers' connections and the servers that read them, one
// for each set of limits.
type frontTask struct {
	ctx      context.Context
	self     *tasks.Ref
	listener net.Listener
	handler  http.Handler
	clock    clock.Clock
	log      *slog.Logger
	limits   scheme.Limits
	servers  []*http.Server
	feed     *feed
	waiting  []*callerConn
	draining *atomic.Bool
	conns    map[*callerConn]bool
	// open is the number of conns, for the goroutines of requests.
	open        atomic.Int64
	connections int64
	// ended is set once the front closes, and closed with the last connection.
	ended chan struct{}
}

// acceptPause is the time without new connections after one could not be
// accepted, mostly for lack of descriptors.
const acceptPause = 20 * time.Millisecond

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
			t.log.Warn("relay: connection not accepted", "open", t.open.Load(), "error", err)
			if !clock.Sleep(t.ctx, t.clock, acceptPause) {
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
		t.accepted(m.conn)
	case setLimits:
		t.setLimits(m.limits)
	case connRests:
		if t.ended != nil {
			m.conn.leave()
		}
	case connEnded:
		delete(t.conns, m.conn)
		t.open.Store(int64(len(t.conns)))
		t.endIfEmpty()
	case closeFront:
		_ = t.listener.Close()
		m.reply.Send(t.close())
	}
}

func (t *frontTask) accepted(socket net.Conn) {
	if open := len(t.conns) + len(t.waiting); int64(open) >= t.connections {
		t.log.Warn("relay: connection closed unread", "open", open)
		_ = socket.Close()
		return
	}
	c := newCallerConn(socket, t.clock)
	if t.feed == nil {
		t.waiting = append(t.waiting, c)
		return
	}
	t.serve(c)
}

// serve passes a connection on to the server with the newest limits.
func (t *frontTask) serve(c *callerConn) {
	if !t.feed.push(c) {
		t.log.Warn("relay: connection closed unread", "open", len(t.conns))
		_ = c.Close()
		return
	}
	t.conns[c] = true
	t.open.Store(int64(len(t.conns)))
	if t.ended != nil {
		c.leave()
	}
}

// close ends all connections between two requests, and returns a channel that
// is closed with the last one.
func (t *frontTask) close() <-chan struct{} {
	if t.ended == nil {
		t.ended = make(chan struct{})
		for c := range t.conns {
			c.leave()
		}
		for _, c := range t.waiting {
			_ = c.Close()
		}
		t.waiting = nil
		t.endIfEmpty()
	}
	return t.ended
}

func (t *frontTask) endIfEmpty() {
	if t.ended == nil || len(t.conns) > 0 {
		return
	}
	select {
	case <-t.ended:
	default:
		close(t.ended)
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
		ConnState:         t.connState,
		ErrorLog:          slog.NewLogLogger(t.log.Handler(), slog.LevelDebug),
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
		t.serve(c)
	}
	t.waiting = nil
}

// connState follows a connection through its server, which calls it on the
// goroutine of the connection.
func (t *frontTask) connState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		c.rest()
		if t.draining.Load() {
			t.self.Tell(connRests{conn: c})
		}
	case http.StateClosed, http.StateHijacked:
		t.self.Tell(connEnded{conn: c})
	}
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

// push passes a connection on, and reports whether it did: false means that
// too many wait.
func (f *feed) push(c net.Conn) bool {
	select {
	case f.conns <- c:
		return true
	default:
		return false
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
