package intact

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// ErrCutOff means that a connection failed where its end would have been the end
// of the response.
const ErrCutOff = errors.ConstError("connection failed before the end of the response")

// past is a write deadline that has passed.
var past = time.Unix(1, 0)

// Conn is a client's connection to a server of HTTP/1.x. Its Read returns io.EOF only
// if the server has ended the connection in order, and an error in place of the rest of
// a malformed header. Reads and writes may be concurrent.
//
// The operating system reports the failure of a connection once, to the call that
// comes first. If that is a write, which carries the rest of a request, the next
// read finds the end of the connection, as after a response that is whole.
type Conn struct {
	net.Conn
	// writing is held during a write. It guards writeErr, the first error of a
	// write.
	writing  sync.Mutex
	writeErr error
	// scanning guards header.
	scanning sync.Mutex
	header   headerScanner
}

// NewConn returns a connection that reads and writes c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// BeginResponse makes Read check the header of the next response, and those of
// interim responses before it. The client has read the buffered bytes already, but
// not used them; the response begins there. The error wraps ErrMalformed.
func (c *Conn) BeginResponse(buffered []byte) error {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	c.header.begin()
	return c.header.scan(buffered)
}

// Read implements net.Conn. The error wraps ErrCutOff if a write has taken the
// error of the connection, and ErrMalformed if the header of a response is
// malformed.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if malformed := c.scan(b[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	// Errors are not wrapped here, since readers compare them.
	return n, err
}

// HasHeader reports whether the header of a response has arrived since BeginResponse,
// behind those of interim responses.
func (c *Conn) HasHeader() bool {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	return c.header.isComplete
}

func (c *Conn) scan(b []byte) error {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	return c.header.scan(b)
}

// endError returns why there is nothing more to read: io.EOF or an error that
// wraps ErrCutOff. A write under way may have taken the error of the connection,
// so its result is awaited. The write is interrupted, since the server may not
// read what it sends, and nobody waits for another response.
func (c *Conn) endError() error {
	// An error means that the connection is closed, which ends the write.
	_ = c.SetWriteDeadline(past)
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || isAfterEnd(c.writeErr) {
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrCutOff, c.writeErr)
}

// isAfterEnd reports whether the server may have ended the connection in order although
// a write has failed first with an error. The deadline is that of endError. EPIPE means,
// on Linux, that the end came before a reset; a reset alone is ECONNRESET.
func isAfterEnd(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
}
