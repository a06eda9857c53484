package script

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
)

// Start starts a server on the loopback interface and returns its address. It runs the
// script for each connection, and closes the connection behind it. The listener is
// closed at the end of ctx.
func Start(ctx context.Context, script func(c *net.TCPConn)) (string, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", fmt.Errorf("start scripted server: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(c)
			}()
		}
	}()
	return l.Addr().String(), nil
}

// OnRequests returns a script that calls answer for each request of a connection, once
// its header has been read, until a request cannot be read or answer returns false.
// The body of the request begins with bytes that have been read already.
func OnRequests(answer func(c *net.TCPConn, r *http.Request) bool) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil || !answer(c, r) {
				return
			}
		}
	}
}
