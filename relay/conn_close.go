package relay

import (
	"errors"
	"fmt"
	"io"
)

// CloseWrite closes the sending half. The server does so before it closes a
// connection on which a body is unread, because a reset could overtake the
// answer.
func (c *callerConn) CloseWrite() error {
	c.mu.Lock()
	c.hasClosedWrite = true
	c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return fmt.Errorf("close sending half: %w", errors.ErrUnsupported)
	}
	if err := half.CloseWrite(); err != nil {
		return fmt.Errorf("close sending half: %w", err)
	}
	return nil
}

// Close implements net.Conn. It ends the requests that nobody waits for any
// more.
func (c *callerConn) Close() error {
	if c.pipeline.endsWithAnswer() {
		c.linger()
	}
	c.pipeline.close()
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// linger closes the sending half and reads until the caller has closed the
// connection, but no longer than closeGrace. What the caller has sent behind the
// request would otherwise make the close a reset, which can overtake the answer.
func (c *callerConn) linger() {
	c.mu.Lock()
	hasClosedWrite := c.hasClosedWrite
	c.mu.Unlock()
	if hasClosedWrite || c.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(c.clock.Now().Add(closeGrace)) != nil {
		return
	}
	// Any error ends the wait.
	_, _ = io.Copy(io.Discard, c.Conn)
}
