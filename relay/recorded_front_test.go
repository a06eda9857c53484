package relay

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
)

// recordingListener passes on its connections with a record of what is done to
// them.
type recordingListener struct {
	net.Listener
	conns chan *recordingConn
}

// Accept implements net.Listener.
func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &recordingConn{TCPConn: conn.(*net.TCPConn)}
	l.conns <- c
	return c, nil
}

// recordingConn is a connection that records its read deadline, and the ends
// that are closed.
type recordingConn struct {
	*net.TCPConn
	mu       sync.Mutex
	deadline time.Time
	closes   []string
	// readLate is the number of bytes that were read after the sending half was
	// closed.
	readLate int
}

// Read implements net.Conn.
func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.recordRead(n)
	return n, err
}

// WriteTo implements io.WriterTo, which io.Copy prefers to Read.
func (c *recordingConn) WriteTo(w io.Writer) (int64, error) {
	n, err := c.TCPConn.WriteTo(w)
	c.recordRead(int(n))
	return n, err
}

func (c *recordingConn) recordRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.closes) > 0 {
		c.readLate += n
	}
}

func (c *recordingConn) lateBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readLate
}

// SetReadDeadline implements net.Conn.
func (c *recordingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.TCPConn.SetReadDeadline(t)
}

func (c *recordingConn) readDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
}

func (c *recordingConn) recordClose(end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closes = append(c.closes, end)
}

func (c *recordingConn) closedEnds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.closes)
}

// CloseWrite closes the sending half.
func (c *recordingConn) CloseWrite() error {
	c.recordClose("sending half")
	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn.
func (c *recordingConn) Close() error {
	c.recordClose("connection")
	return c.TCPConn.Close()
}

// heldHandler holds each request until the test releases it.
type heldHandler struct {
	begun    chan string
	released chan struct{}
}

var _ FrontHandler = heldHandler{}

func (heldHandler) IsRetryable(*http.Request) bool                  { return false }
func (heldHandler) RecordUnanswered(*http.Request, UnansweredCause) {}

func (h heldHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	h.begun <- id
	<-h.released
	_, _ = w.Write([]byte("body of " + id))
}

// startRecordedFront returns a front end with the given handler, and the
// connections that it accepts.
func startRecordedFront(t *testing.T, handler FrontHandler) (*Front, chan *recordingConn) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	l := recordingListener{Listener: listen(t), conns: make(chan *recordingConn, testConnections)}
	front, err := StartFront(ctx, system, l, handler, testConnections, clock.Wall(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	front.SetLimits(scheme.NewLimits(1<<16, 1<<20, time.Minute, time.Minute))
	t.Cleanup(func() {
		cancel()
		<-front.ref.Done()
		system.Shutdown()
	})
	return front, l.conns
}

// beginShutdown returns when the front end has handled all messages before, and
// closes its connections. The channel is closed with the last one.
func beginShutdown(t *testing.T, f *Front) <-chan struct{} {
	t.Helper()
	f.Drain()
	done, err := tasks.Ask(t.Context(), f.ref, func(reply tasks.Reply[<-chan struct{}]) any { return shutDown{reply: reply} })
	if err != nil {
		t.Fatal(err)
	}
	return done
}
