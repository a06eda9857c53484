package caller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// Limits limits the resources that callers can occupy at an entry host.
type Limits struct {
	headerBytes int
	headerTime  time.Duration
	idleTime    time.Duration
	connections int
}

// NewLimits returns the limits of the header size, of the time to send a
// header, of the time that an idle connection is kept, and of the number of
// open connections. Further connections wait to be accepted.
func NewLimits(headerBytes int, headerTime, idleTime time.Duration, connections int) Limits {
	return Limits{headerBytes: headerBytes, headerTime: headerTime, idleTime: idleTime, connections: connections}
}

// Server serves callers on one listener.
type Server struct {
	server *http.Server
	done   chan struct{}
	err    error
}

// Serve starts to serve the listener. The HTTP server logs to log.
func Serve(listener net.Listener, handler http.Handler, limits Limits, log *slog.Logger) *Server {
	s := &Server{
		server: &http.Server{
			Handler:           handler,
			ConnContext:       withConn,
			MaxHeaderBytes:    limits.headerBytes,
			ReadHeaderTimeout: limits.headerTime,
			IdleTimeout:       limits.idleTime,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		s.err = s.server.Serve(newBoundedListener(listener, limits.connections))
	}()
	return s
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, or nil if it is not known.
func connOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// Done returns a channel that is closed when the server no longer accepts
// connections.
func (s *Server) Done() <-chan struct{} { return s.done }

// Err returns why the server stopped. It is valid once Done is closed.
func (s *Server) Err() error { return s.err }

// Shutdown stops accepting connections and returns when every request has been
// served. If ctx ends first, it closes the remaining connections and returns
// the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		_ = s.server.Close()
		return fmt.Errorf("shut down server for callers: %w", err)
	}
	return nil
}

// boundedListener limits the number of open connections by not accepting more.
type boundedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
}

func newBoundedListener(l net.Listener, connections int) net.Listener {
	if connections <= 0 {
		return l
	}
	return &boundedListener{Listener: l, slots: make(chan struct{}, connections), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (b *boundedListener) Accept() (net.Conn, error) {
	select {
	case b.slots <- struct{}{}:
	case <-b.closed:
		return nil, fmt.Errorf("accept: %w", net.ErrClosed)
	}
	conn, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, fmt.Errorf("accept: %w", err)
	}
	return &boundedConn{Conn: conn, slots: b.slots, closed: make(chan struct{}, 1)}, nil
}

// Close implements net.Listener. The server calls it once.
func (b *boundedListener) Close() error {
	select {
	case <-b.closed:
	default:
		close(b.closed)
	}
	if err := b.Listener.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

type boundedConn struct {
	net.Conn
	slots  chan struct{}
	closed chan struct{}
}

// NetConn returns the connection that is read and written.
func (c *boundedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn. Only the first call frees the slot of the
// connection.
func (c *boundedConn) Close() error {
	select {
	case c.closed <- struct{}{}:
		<-c.slots
	default:
	}
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}
