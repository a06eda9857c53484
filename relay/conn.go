package relay

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"rhubarbrack/clock"
)

// lastWait is how long a connection without a request stays open after the
// host has decided to close it. A request that was sent before its caller
// could know may still be on its way over a slow link.
const lastWait = 500 * time.Millisecond

// callerConn is a caller's connection that can be closed between two requests
// without losing one that has arrived in part. net/http alone counts a
// connection as idle until it has read the whole header of a request.
type callerConn struct {
	net.Conn
	clock clock.Clock
	// between is set while no byte of the next request has been read.
	between atomic.Bool
	leaving atomic.Bool
}

func newCallerConn(c net.Conn, k clock.Clock) *callerConn {
	x := &callerConn{Conn: c, clock: k}
	x.between.Store(true)
	return x
}

// rest notes that the answer to the last request is complete.
func (c *callerConn) rest() { c.between.Store(true) }

// leave closes the connection once no request has arrived for lastWait.
func (c *callerConn) leave() {
	c.leaving.Store(true)
	if c.between.Load() {
		// A failure means that the connection has ended already.
		_ = c.SetReadDeadline(c.clock.Now())
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding() {
		// The deadline may be the one by which leave ended the wait.
		n, err = c.read(b)
	}
	if n > 0 {
		c.between.Store(false)
	}
	return n, err
}

func (c *callerConn) read(b []byte) (int, error) {
	if c.isEnding() {
		// A failure means that the connection has ended already.
		_ = c.SetReadDeadline(c.clock.Now().Add(lastWait))
	}
	return c.Conn.Read(b)
}

func (c *callerConn) isEnding() bool { return c.leaving.Load() && c.between.Load() }
