package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
)

// Front is the HTTP front end: it serves the callers' listener. New limits
// apply to new connections; open connections keep the limits they started
// with, so that a change interrupts nothing. It is safe for concurrent use.
type Front struct {
	ref      *tasks.Ref
	listener net.Listener
	draining *atomic.Bool
}

// FrontHandler handles requests. It tells which ones may be handled before a
// request that the caller has sent earlier on the same connection is answered,
// and records those that were read whole and whose connection has ended without
// a complete response. Of such a request, r is nil if its header is unreadable.
type FrontHandler interface {
	http.Handler
	IsRetryable(r *http.Request) bool
	RecordUnanswered(r *http.Request, cause UnansweredCause)
}

// StartFront accepts connections until Shutdown or the end of ctx.
//
// It holds at most maxConns connections. While more than half of them are
// open, responses close their connections, because callers that open a new
// connection for every request leave the old ones open. A response closes the
// connection only if no request behind it was read whole.
func StartFront(
	ctx context.Context, system *tasks.System, listener net.Listener, handler FrontHandler, maxConns int,
	c clock.Clock, log *slog.Logger,
) (*Front, error) {
	t := &frontTask{
		ctx: ctx, listener: listener, maxConns: int64(maxConns), handler: handler, draining: new(atomic.Bool),
		conns: map[*callerConn]bool{}, earlySlots: make(chan struct{}, maxHostEarlyRequests), clock: c, log: log,
	}
	ref, err := tasks.Spawn(ctx, system, "front", t)
	if err != nil {
		return nil, fmt.Errorf("start front: %w", err)
	}
	t.self = ref
	go t.accept()
	return &Front{ref: ref, listener: listener, draining: t.draining}, nil
}

// SetLimits sets the limits for new connections. Until the first call,
// accepted connections wait.
func (f *Front) SetLimits(l scheme.Limits) { f.ref.Tell(setLimits{limits: l}) }

// Drain makes responses close their connections, unless a request behind them
// was read whole. New connections are still served, and idle ones stay open.
func (f *Front) Drain() { f.draining.Store(true) }

// Shutdown stops accepting connections and returns when all requests have been
// answered or ctx ends.
func (f *Front) Shutdown(ctx context.Context) error {
	f.draining.Store(true)
	done, err := tasks.Ask(ctx, f.ref, func(reply tasks.Reply[<-chan struct{}]) any { return shutDown{reply: reply} })
	if err != nil {
		return fmt.Errorf("shut down front: %w", err)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("shut down front: %w", context.Cause(ctx))
	}
}

// The messages of the front end.
type (
	accepted   struct{ conn net.Conn }
	setLimits  struct{ limits scheme.Limits }
	shutDown   struct{ reply tasks.Reply[<-chan struct{}] }
	connClosed struct{ conn *callerConn }
)

// frontTask owns the callers' connections and the servers that read them, one
// per set of limits.
type frontTask struct {
	ctx      context.Context
	self     *tasks.Ref
	listener net.Listener
	handler  FrontHandler
	clock    clock.Clock
	log      *slog.Logger
	limits   scheme.Limits
	servers  []*http.Server
	// queue passes connections to the server with the current limits.
	queue *connListener
	// pending holds accepted connections until the first limits are set.
	pending  []*callerConn
	draining *atomic.Bool
	conns    map[*callerConn]bool
	// earlySlots limits the early requests of all connections together.
	earlySlots chan struct{}
	// openConns is the number of conns, for the goroutines of requests.
	openConns atomic.Int64
	maxConns  int64
	// done is set when the shutdown starts, and closed with the last
	// connection.
	done chan struct{}
}

// acceptPause is the pause after a failed accept, which is mostly due to a
// lack of file descriptors.
const acceptPause = 20 * time.Millisecond

var (
	_ tasks.Task    = (*frontTask)(nil)
	_ tasks.Stopper = (*frontTask)(nil)
)

// accept passes connections to the task until the listener is closed.
func (t *frontTask) accept() {
	for {
		conn, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.log.Warn("relay: accept failed", "open", t.openConns.Load(), "error", err)
			if !clock.Sleep(t.ctx, t.clock, acceptPause) {
				return
			}
			continue
		}
		t.self.Tell(accepted{conn: conn})
	}
}

// handle handles a request that the server has read. It runs on the
// connection's goroutine.
func (t *frontTask) handle(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		// The server was given only callers' connections.
		panic(http.ErrAbortHandler)
	}
	p := conn.pipeline
	response := &frontResponse{ResponseWriter: w, isLast: func() bool { return p.beginResponse(t.wantsClose()) }}
	early := p.begin(r, t.wantsClose())
	isHandled := false
	defer func() { p.finish(isHandled) }()
	if early == nil || !early.deliver(response) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		// The server cannot notice the end of a connection that is read ahead.
		defer context.AfterFunc(p.ctx, cancel)()
		p.readExpected(r)
		t.handler.ServeHTTP(response, r.WithContext(ctx))
	}
	response.beginHeader()
	isHandled = true
}

// wantsClose reports whether the host wants to close connections.
func (t *frontTask) wantsClose() bool {
	return t.draining.Load() || t.openConns.Load() > t.maxConns/2
}

// Handle implements tasks.Task.
func (t *frontTask) Handle(message any) {
	switch m := message.(type) {
	case accepted:
		t.accepted(m.conn)
	case setLimits:
		t.setLimits(m.limits)
	case connClosed:
		delete(t.conns, m.conn)
		t.openConns.Store(int64(len(t.conns)))
		t.notifyIfEmpty()
	case shutDown:
		_ = t.listener.Close()
		m.reply.Send(t.closeConns())
	}
}

func (t *frontTask) accepted(socket net.Conn) {
	if open := len(t.conns) + len(t.pending); int64(open) >= t.maxConns {
		t.log.Warn("relay: connection refused: connection limit reached", "open", open)
		_ = socket.Close()
		return
	}
	c := newCallerConn(socket, t.clock, newPipeline(t.ctx, socket, t.handler, t.earlySlots, t.log))
	if t.queue == nil {
		t.pending = append(t.pending, c)
		return
	}
	t.serve(c)
}

// serve passes a connection to the server with the current limits.
func (t *frontTask) serve(c *callerConn) {
	if !t.queue.enqueue(c) {
		t.log.Warn("relay: connection refused: server queue full", "open", len(t.conns))
		_ = c.Close()
		return
	}
	t.conns[c] = true
	t.openConns.Store(int64(len(t.conns)))
	if t.done != nil {
		c.closeWhenIdle()
	}
}

// closeConns closes all connections as they become idle, and returns a channel
// that is closed with the last one.
func (t *frontTask) closeConns() <-chan struct{} {
	if t.done == nil {
		t.done = make(chan struct{})
		for c := range t.conns {
			c.closeWhenIdle()
		}
		for _, c := range t.pending {
			_ = c.Close()
		}
		t.pending = nil
		t.notifyIfEmpty()
	}
	return t.done
}

func (t *frontTask) notifyIfEmpty() {
	if t.done == nil || len(t.conns) > 0 {
		return
	}
	select {
	case <-t.done:
	default:
		close(t.done)
	}
}

// Stop implements tasks.Stopper.
func (t *frontTask) Stop() {
	_ = t.listener.Close()
	for _, s := range t.servers {
		_ = s.Close()
	}
	// A server does not close connections that it accepts after its end.
	for c := range t.conns {
		_ = c.Close()
	}
	for _, c := range t.pending {
		_ = c.Close()
	}
}

func (t *frontTask) setLimits(l scheme.Limits) {
	if t.queue != nil && l == t.limits {
		return
	}
	old := t.queue
	t.limits = l
	t.queue = newConnListener(t.listener.Addr())
	server := &http.Server{
		Handler:           http.MaxBytesHandler(http.HandlerFunc(t.handle), bodyLimit(l)),
		ConnContext:       withConn,
		MaxHeaderBytes:    l.HeaderBytes(),
		ReadHeaderTimeout: l.HeaderTime(),
		IdleTimeout:       l.IdleTime(),
		ConnState:         t.connState,
		ErrorLog:          slog.NewLogLogger(t.log.Handler(), slog.LevelDebug),
	}
	t.servers = append(t.servers, server)
	queue := t.queue
	go func() {
		if err := server.Serve(queue); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			t.log.Error("relay: server failed", "error", err)
		}
	}()
	if old != nil {
		_ = old.Close()
	}
	for _, c := range t.pending {
		t.serve(c)
	}
	t.pending = nil
}

// connState tracks the state of a connection. The server calls it on the
// connection's goroutine.
func (t *frontTask) connState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		c.markIdle()
	case http.StateActive:
		c.beginRequest()
	case http.StateClosed, http.StateHijacked:
		t.self.Tell(connClosed{conn: c})
	}
}

func bodyLimit(l scheme.Limits) int64 {
	if l.BodyBytes() > 0 {
		return l.BodyBytes()
	}
	return 1 << 40
}
