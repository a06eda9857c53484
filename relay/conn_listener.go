package relay

import (
	"fmt"
	"net"
	"sync"
)

// connListener is a net.Listener for connections that were accepted elsewhere.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// maxQueuedConns is the number of accepted connections that may wait for a
// server.
const maxQueuedConns = 256

func newConnListener(address net.Addr) *connListener {
	return &connListener{address: address, conns: make(chan net.Conn, maxQueuedConns), closed: make(chan struct{})}
}

// enqueue passes a connection on, and returns false if too many are waiting.
func (l *connListener) enqueue(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener. After the end it returns the connections that
// were queued before: nothing else would serve or close them.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
	}
	select {
	case c := <-l.conns:
		return c, nil
	default:
		return nil, fmt.Errorf("accept: %w", net.ErrClosed)
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.address }
