package intact

import (
	"errors"
	"fmt"
	"net"
	"net/http"
)

// GuardEnd makes the connection of a caller end with a reset until a response of
// unknown length is complete, if nothing but the end of the connection can tell that.
// That is so for requests of HTTP/1.0, which has no chunks (RFC 9112, section 6.3). w
// is the writer of the response, r its request and conn the connection, or nil if it
// is not known. The returned function records that the response is complete.
func GuardEnd(w http.ResponseWriter, r *http.Request, conn net.Conn) (complete func()) {
	if conn == nil || r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	// An error means that the connection is closed already.
	_ = ResetOnClose(conn, true)
	return func() {
		// The server still holds the last bytes.
		if http.NewResponseController(w).Flush() == nil {
			_ = ResetOnClose(conn, false)
		}
	}
}

// ResetOnClose sets whether the end of a connection is a reset, also when its process
// ends. The error wraps errors.ErrUnsupported unless c, or what its NetConn method
// returns, is a TCP connection.
func ResetOnClose(c net.Conn, resets bool) error {
	for {
		if socket, ok := c.(interface{ SetLinger(seconds int) error }); ok {
			return setReset(socket, resets)
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return fmt.Errorf("reset on close of a %T: %w", c, errors.ErrUnsupported)
		}
		c = wrapper.NetConn()
	}
}

func setReset(socket interface{ SetLinger(seconds int) error }, resets bool) error {
	// A negative number of seconds restores the default.
	seconds := -1
	if resets {
		seconds = 0
	}
	if err := socket.SetLinger(seconds); err != nil {
		return fmt.Errorf("reset on close: %w", err)
	}
	return nil
}
