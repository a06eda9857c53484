package link

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// bufferBytes is the size of the read buffer of a connection.
const bufferBytes = 4 << 10

// Conn is an open connection to a target. Only one goroutine may use it at a
// time.
type Conn struct {
	socket  net.Conn
	reader  *bufio.Reader
	address string
	reused  bool
	// keepAlive is how long the connection may stay idle.
	keepAlive time.Duration
	idleSince time.Time
}

func newConn(socket net.Conn, address string) *Conn {
	return &Conn{socket: socket, reader: bufio.NewReaderSize(socket, bufferBytes), address: address, keepAlive: defaultKeepAlive}
}

// IsReused reports whether the connection has carried an earlier request.
func (c *Conn) IsReused() bool { return c.reused }

// close closes a connection that carries no request.
func (c *Conn) close() { _ = c.socket.Close() }

// abort resets the connection and discards unsent bytes, so that no part of a
// cancelled request arrives later.
func (c *Conn) abort() {
	if t, ok := c.socket.(*net.TCPConn); ok {
		// The connection is closed either way.
		_ = t.SetLinger(0)
	}
	_ = c.socket.Close()
}

// isReusable reports whether the connection is open and has no unread bytes.
// Bytes on an idle connection belong to no request.
func (c *Conn) isReusable() bool {
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
