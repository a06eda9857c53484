package intact

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// wrappedConn is a connection whose socket is found by NetConn alone.
type wrappedConn struct{ net.Conn }

func (c wrappedConn) NetConn() net.Conn { return c.Conn }

// TestResetOnClose guards against a connection that ends in order though a response
// on it has broken off, or with a reset though it is complete.
func TestResetOnClose(t *testing.T) {
	wrapped := func(c net.Conn) net.Conn { return wrappedConn{wrappedConn{c}} }
	cases := []struct {
		name string
		wrap func(net.Conn) net.Conn
		set  []bool
		want error
	}{
		{"default", wrapped, nil, io.EOF},
		{"reset", wrapped, []bool{true}, syscall.ECONNRESET},
		{"complete", wrapped, []bool{true, false}, io.EOF},
		{"socket", func(c net.Conn) net.Conn { return c }, []bool{true}, syscall.ECONNRESET},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := connectTo(t, func(server *net.TCPConn) {
				conn := c.wrap(server)
				for _, resets := range c.set {
					if err := ResetOnClose(conn, resets); err != nil {
						t.Error(err)
					}
				}
				_, _ = conn.Read(make([]byte, 1))
				_ = conn.Close()
			})
			if _, err := client.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if _, err := client.Conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
				t.Errorf("read returned %v, want %v", err, c.want)
			}
		})
	}
	here, there := net.Pipe()
	defer func() { _, _ = here.Close(), there.Close() }()
	if err := ResetOnClose(here, true); !errors.Is(err, errors.ErrUnsupported) {
		t.Errorf("error %v for a pipe, want %v", err, errors.ErrUnsupported)
	}
}
