package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"rhubarbrack/clock"
)

// closeGrace is how long an idle connection stays open after the host decided
// to close it. A caller that does not know yet may have sent a request that is
// still in transit on a slow link.
const closeGrace = 500 * time.Millisecond

// callerConn is a caller's connection that can be closed between two requests
// without losing a partially received one. By itself, net/http counts a
// connection as idle until it has read the whole header of a request.
//
// The server and closeIfIdle both set read deadlines. The connection keeps
// the one of the server, and puts it back in force with the first byte of a
// request.
type callerConn struct {
	net.Conn
	clock    clock.Clock
	pipeline *pipeline
	mu       sync.Mutex
	// idle is set while no byte of the next request has been read.
	idle bool
	// waiting is set while the server waits for the next request. Until then one
	// may lie in its buffer.
	waiting bool
	// closesIdle is set once the connection is to be closed when it is idle.
	closesIdle bool
	// closing is set while closeIfIdle has replaced the read deadline.
	closing bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
	// hasClosedWrite is set once the sending half was closed.
	hasClosedWrite bool
}

func newCallerConn(c net.Conn, k clock.Clock, p *pipeline) *callerConn {
	return &callerConn{Conn: c, clock: k, pipeline: p, idle: true}
}

// NetConn returns the connection that is read and written.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// markIdle records that the response to the last request is complete.
func (c *callerConn) markIdle() {
	c.pipeline.completeResponse()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// closeWhenIdle closes the connection once the server waits for the next request
// and none has arrived for closeGrace.
func (c *callerConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closesIdle = true
	c.closeIfIdle()
}

// closeIfIdle replaces the read deadline if the connection is to be closed and
// the server waits for the next request. It is called with mu held.
func (c *callerConn) closeIfIdle() {
	if !c.closesIdle || !c.waiting || c.closing || c.pipeline.hasUnhandled() {
		return
	}
	c.closing = true
	c.pipeline.deadlineSet()
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(c.clock.Now().Add(closeGrace))
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.closing {
		return nil
	}
	c.pipeline.deadlineSet()
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	return c.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	c.beginRead()
	n, err := c.pipeline.read(b)
	if n > 0 {
		c.beginRequest()
	}
	return n, err
}

// beginRead records that the server waits for the next request, if it has read
// no byte of that.
func (c *callerConn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.waiting = true
		c.pipeline.awaitNext()
		c.closeIfIdle()
	}
}

// beginRequest records the first byte of a request, or that the server has found
// one in its buffer, and restores the deadline of the server.
func (c *callerConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.waiting = false, false
	if c.closing {
		c.closing = false
		c.pipeline.deadlineSet()
		// An error means that the connection is closed already.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.pipeline.noteWrite(err)
	}
	return n, err
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
