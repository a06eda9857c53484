package intact

import (
	"errors"
	"fmt"
	"net"
)

// ResetOnClose sets whether the end of a connection is a reset, also when its process
// ends. A server sets it while it sends a response whose end is that of the connection,
// so that one that breaks off does not look whole. The error wraps
// errors.ErrUnsupported unless c, or what its NetConn method returns, is a TCP
// connection.
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
