package mesh

import (
	"bytes"
	"net"
	"sync"
	"testing"
)

// holdingProxy passes connections on to a host and holds back the first calls of
// a method. Held calls are delivered after their sender has closed the connection,
// like data that a kernel sends again.
type holdingProxy struct {
	listener net.Listener
	to       string
	method   []byte

	mutex sync.Mutex
	// remaining is how many further calls are held back.
	remaining int
	release   chan struct{}
	// held receives a value for each call that is held back, and answered one for
	// each that the host has answered after its release.
	held, answered chan struct{}
}

// startHoldingProxy starts a proxy at an address.
func startHoldingProxy(t *testing.T, address, to, method string) *holdingProxy {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &holdingProxy{
		listener: l, to: to, method: []byte(method), release: make(chan struct{}),
		held: make(chan struct{}, 8), answered: make(chan struct{}, 8),
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// hold holds back the next calls of the method.
func (p *holdingProxy) hold(calls int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.remaining = calls
}

// isHeld reports whether data starts a call to hold back.
func (p *holdingProxy) isHeld(data []byte) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.remaining == 0 || !bytes.Contains(data, p.method) {
		return false
	}
	p.remaining--
	return true
}

func (p *holdingProxy) serve(caller net.Conn) {
	host, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = caller.Close()
		return
	}
	released := make(chan struct{}, 1)
	go p.passAnswers(caller, host, released)
	defer func() { _ = host.Close() }()
	defer func() { _ = caller.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := caller.Read(buffer)
		if err != nil {
			return
		}
		if p.isHeld(buffer[:n]) {
			p.held <- struct{}{}
			<-p.release
			released <- struct{}{}
			if _, err := host.Write(buffer[:n]); err != nil {
				return
			}
			// The host drops calls of a closed connection, so it is kept until the
			// host has answered.
			<-p.answered
			p.answered <- struct{}{}
			return
		}
		if _, err := host.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// passAnswers passes data of the host on to the caller. The first data after a
// release answers the call that was held.
func (p *holdingProxy) passAnswers(caller, host net.Conn, released <-chan struct{}) {
	defer func() { _ = caller.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := host.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-released:
			p.answered <- struct{}{}
		default:
		}
		_, _ = caller.Write(buffer[:n])
	}
}
