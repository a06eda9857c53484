package tally

import (
	"fmt"
	"net"
	"sync/atomic"
)

// Listener wraps a net.Listener and counts the payload bytes that its connections
// receive and send. TCP and IP headers are not counted.
type Listener struct {
	net.Listener
	received, sent atomic.Int64
}

// New returns a counting listener that wraps l.
func New(l net.Listener) *Listener { return &Listener{Listener: l} }

// BytesReceived returns the bytes received so far.
func (l *Listener) BytesReceived() int64 { return l.received.Load() }

// BytesSent returns the bytes sent so far.
func (l *Listener) BytesSent() int64 { return l.sent.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return &countedConn{Conn: c, listener: l}, nil
}

type countedConn struct {
	net.Conn
	listener *Listener
}

// Read implements net.Conn. It does not wrap the error, since readers compare it
// with io.EOF.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.sent.Add(int64(n))
	if err != nil {
		return n, fmt.Errorf("write: %w", err)
	}
	return n, nil
}
