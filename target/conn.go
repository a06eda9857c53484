package target

import (
	"net"
	"sync"

	"rhubarbrack/intact"
)

// countedConn counts writes to a connection and bytes read from it. The counts
// decide whether a request was written and whether any byte of a response
// arrived.
type countedConn struct {
	*intact.Conn

	// exchange is locked from the time an exchange receives the connection until
	// it has decided whether the next one may use it: net/http offers a
	// connection to the next request before it delivers a response without a
	// body.
	exchange sync.Mutex
	// echoes reports whether a response on this connection has borne the ID of
	// its attempt. It belongs to the holder of exchange.
	echoes bool

	mutex sync.Mutex
	// writes counts the calls of Write that reached the connection, including
	// failed ones: a failed write may have sent a part.
	writes int64
	// bytesRead counts the bytes received.
	bytesRead int64
	// sealed means that all later writes are rejected.
	sealed bool
}

func newCountedConn(c net.Conn) *countedConn { return &countedConn{Conn: intact.NewConn(c)} }

// begin waits until the previous exchange has decided about the connection, and
// reports whether a request can be written to it. end must follow.
func (c *countedConn) begin() bool {
	c.exchange.Lock()
	// Nothing is malformed yet.
	_ = c.BeginResponse(nil)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.sealed
}

// end lets the next exchange use the connection.
func (c *countedConn) end() { c.exchange.Unlock() }

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mutex.Lock()
		c.bytesRead += int64(n)
		c.mutex.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mutex.Unlock()
	return c.Conn.Write(p)
}

// counts returns the number of writes and of bytes read so far.
func (c *countedConn) counts() (writes, read int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes, c.bytesRead
}

// retire rejects all later writes, so that no other request uses the connection.
// What has been received can still be read.
func (c *countedConn) retire() {
	c.mutex.Lock()
	c.sealed = true
	c.mutex.Unlock()
}

// Close implements net.Conn. A later write is not counted, since nothing of it
// is sent.
func (c *countedConn) Close() error {
	c.retire()
	return c.Conn.Close()
}

// seal closes the connection and returns the final counts. Without it, a write
// could follow the conclusion that nothing was written.
func (c *countedConn) seal() (writes, read int64) {
	_ = c.Close()
	return c.counts()
}
