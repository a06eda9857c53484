package link

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/intact"
	"rhubarbrack/tasks"
)

const (
	// bufferBytes is the size of the read buffer of a connection.
	bufferBytes = 4 << 10
	// maxHeadBytes limits what is read of a target's connection before the
	// header of the response is complete, interim responses included. The
	// header of a response is a few hundred bytes long.
	maxHeadBytes = 64 << 10
)

// ErrHeadTooLong means that a target has sent more than maxHeadBytes without
// completing the header of a response.
const ErrHeadTooLong = errors.ConstError("header of the response is too long")

// boundedReader reads a connection. While a header is read, it fails after
// maxHeadBytes, because the parser of net/http has no limit of its own.
type boundedReader struct {
	stream *intact.Conn
	// left is the number of bytes that may still be read, or negative if there
	// is no limit.
	left int
}

// Read implements io.Reader. It does not wrap errors of the stream, since
// readers compare them with io.EOF.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, ErrHeadTooLong
	}
	if r.left > 0 {
		b = b[:min(len(b), r.left)]
	}
	n, err := r.stream.Read(b)
	if r.left > 0 {
		r.left -= n
	}
	return n, err
}

// Conn is an open connection to a target. Only one goroutine may use it at a
// time.
type Conn struct {
	socket net.Conn
	// stream reads and writes the socket.
	stream  *intact.Conn
	bounded *boundedReader
	reader  *bufio.Reader
	address string
	// requests are those that the connection was handed out for.
	requests requestSet
	// pool is told when the connection closes. It is nil outside a pool.
	pool *tasks.Ref
	// keepAlive is how long the connection may stay idle.
	keepAlive time.Duration
	idleSince time.Time
}

func newConn(socket net.Conn, address string) *Conn {
	stream := intact.NewConn(socket)
	bounded := &boundedReader{stream: stream, left: -1}
	return &Conn{
		socket: socket, stream: stream, bounded: bounded, reader: bufio.NewReaderSize(bounded, bufferBytes), address: address,
		keepAlive: defaultKeepAlive,
	}
}

// beginHeader prepares for the header of a response, which begins with the bytes in
// the read buffer. endHeader must follow unless an error is returned.
func (c *Conn) beginHeader() error {
	c.bounded.left = maxHeadBytes
	// Bytes that are in the buffer can be read without an error.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return c.stream.BeginResponse(buffered)
}

func (c *Conn) endHeader() { c.bounded.left = -1 }

// IsReused reports whether the connection has carried an earlier request.
func (c *Conn) IsReused() bool { return c.Carried() > 0 }

// Carried returns the number of requests that the connection has carried before
// the one that it was handed out for.
func (c *Conn) Carried() int { return c.requests.len() - 1 }

// LocalAddress returns the address of this side, in the form host:port. It tells
// connections apart that are open at the same time.
func (c *Conn) LocalAddress() string { return c.socket.LocalAddr().String() }

// close closes a connection that carries no request.
func (c *Conn) close() {
	_ = c.socket.Close()
	c.reportClosed()
}

func (c *Conn) reportClosed() {
	if c.pool != nil {
		c.pool.Tell(closed{conn: c})
	}
}

// abort resets the connection and discards unsent bytes, so that no part of a
// cancelled request arrives later.
func (c *Conn) abort() {
	if t, ok := c.socket.(*net.TCPConn); ok {
		// The connection is closed either way.
		_ = t.SetLinger(0)
	}
	c.close()
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
