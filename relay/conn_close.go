package relay

import (
	"errors"
	"fmt"

	"rhubarbrack/clock"
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

// linger closes the sending half and waits until the caller has closed the
// connection, but no longer than closeGrace. What the caller has sent behind the
// request would otherwise make the close a reset, which can overtake the answer.
// It reads one byte at most, which tells whether the caller has sent something: a
// request that nobody answers must not be read.
func (c *callerConn) linger() {
	c.mu.Lock()
	hasClosedWrite := c.hasClosedWrite
	c.mu.Unlock()
	if hasClosedWrite || c.CloseWrite() != nil {
		return
	}
	until := c.clock.Now().Add(closeGrace)
	if c.Conn.SetReadDeadline(until) != nil {
		return
	}
	if n, _ := c.Conn.Read(make([]byte, 1)); n > 0 {
		clock.Sleep(c.pipeline.ctx, c.clock, until.Sub(c.clock.Now()))
	}
}
