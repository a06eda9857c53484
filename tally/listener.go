package tally

import (
	"fmt"
	"net"
	"sync/atomic"
)

// Listener counts what the connections of another listener receive and send.
// Headers of TCP and IP are not counted.
type Listener struct {
	net.Listener
	in, out atomic.Int64
}

// New returns a listener around l.
func New(l net.Listener) *Listener { return &Listener{Listener: l} }

// BytesReceived returns the bytes received so far.
func (l *Listener) BytesReceived() int64 { return l.in.Load() }

// BytesSent returns the bytes sent so far.
func (l *Listener) BytesSent() int64 { return l.out.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return &conn{Conn: c, listener: l}, nil
}

type conn struct {
	net.Conn
	listener *Listener
}

// Read implements net.Conn. Its error stays unwrapped for readers that compare
// it with io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.out.Add(int64(n))
	if err != nil {
		return n, fmt.Errorf("write: %w", err)
	}
	return n, nil
}
