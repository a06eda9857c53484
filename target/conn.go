package target

import (
	"net"
	"sync"
)

// countedConn counts writes to a connection and bytes read from it. The counts
// decide whether a request was written and whether any byte of a response
// arrived.
type countedConn struct {
	net.Conn

	mutex sync.Mutex
	// writes counts the calls of Write that reached the connection, including
	// failed ones: a failed write may have sent a part.
	writes int64
	// bytesRead counts the bytes received.
	bytesRead int64
	sealed    bool
}

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

// seal rejects all later writes and returns the final counts. Without it, a
// write could follow the conclusion that nothing was written.
func (c *countedConn) seal() (writes, read int64) {
	c.mutex.Lock()
	c.sealed = true
	writes, read = c.writes, c.bytesRead
	c.mutex.Unlock()
	_ = c.Close()
	return writes, read
}
