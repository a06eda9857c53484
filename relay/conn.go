package relay

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
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
type callerConn struct {
	net.Conn
	clock clock.Clock
	// idle is set while no byte of the next request has been read.
	idle    atomic.Bool
	closing atomic.Bool
}

func newCallerConn(c net.Conn, k clock.Clock) *callerConn {
	conn := &callerConn{Conn: c, clock: k}
	conn.idle.Store(true)
	return conn
}

// markIdle records that the response to the last request is complete.
func (c *callerConn) markIdle() { c.idle.Store(true) }

// closeWhenIdle closes the connection once no request has arrived for
// closeGrace.
func (c *callerConn) closeWhenIdle() {
	c.closing.Store(true)
	if c.idle.Load() {
		// An error means that the connection is closed already.
		_ = c.SetReadDeadline(c.clock.Now())
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() {
		// closeWhenIdle may have set the deadline to interrupt a blocked read.
		n, err = c.read(b)
	}
	if n > 0 {
		c.idle.Store(false)
	}
	return n, err
}

func (c *callerConn) read(b []byte) (int, error) {
	if c.isClosing() {
		// An error means that the connection is closed already.
		_ = c.SetReadDeadline(c.clock.Now().Add(closeGrace))
	}
	return c.Conn.Read(b)
}

func (c *callerConn) isClosing() bool { return c.closing.Load() && c.idle.Load() }
