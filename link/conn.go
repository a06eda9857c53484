package link

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// bufferBytes is the size of the buffers of one connection.
const bufferBytes = 4 << 10

// Conn is an open connection to a target. One task at a time uses it.
type Conn struct {
	socket  net.Conn
	reader  *bufio.Reader
	address string
	reused  bool
	keep    time.Duration
	idle    time.Time
}

func newConn(socket net.Conn, address string) *Conn {
	return &Conn{socket: socket, reader: bufio.NewReaderSize(socket, bufferBytes), address: address, keep: defaultKeep}
}

// IsReused reports whether the connection has carried a request before.
func (c *Conn) IsReused() bool { return c.reused }

// close ends a connection that carries no request.
func (c *Conn) close() { _ = c.socket.Close() }

// abort closes the connection and drops what has not been sent, so that no
// part of a request arrives after it was given up.
func (c *Conn) abort() {
	if t, ok := c.socket.(*net.TCPConn); ok {
		// The connection is closed either way.
		_ = t.SetLinger(0)
	}
	_ = c.socket.Close()
}

// isQuiet reports whether the connection is open and nothing has arrived on
// it. Bytes on an idle connection belong to no request.
func (c *Conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
