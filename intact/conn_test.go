package intact

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"rhubarbrack/script"
)

// scriptedConn is a connection whose reads return the end, and whose write returns
// an error as soon as it may.
type scriptedConn struct {
	net.Conn
	writeErr error
	// begun is closed when a write begins, and released when it may return.
	begun, released chan struct{}
}

func newScriptedConn(writeErr error) *scriptedConn {
	return &scriptedConn{writeErr: writeErr, begun: make(chan struct{}), released: make(chan struct{})}
}

// Read implements net.Conn.
func (*scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c *scriptedConn) Write(b []byte) (int, error) {
	close(c.begun)
	<-c.released
	if c.writeErr != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.writeErr)}
	}
	return len(b), nil
}

// SetWriteDeadline implements net.Conn. It ends the write, which keeps the error
// that it has taken.
func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	select {
	case <-c.released:
	default:
		close(c.released)
	}
	return nil
}

// TestReadAfterFailedWrite guards against an end of the connection that is taken
// for the end of a response, while a write has taken the error that tells of a
// reset, or is about to return with it.
func TestReadAfterFailedWrite(t *testing.T) {
	cases := []struct {
		name     string
		writeErr error
		cutOff   bool
	}{
		{"written", nil, false},
		{"reset", syscall.ECONNRESET, true},
		{"not acknowledged in time", syscall.ETIMEDOUT, true},
		{"no route", syscall.EHOSTUNREACH, true},
		{"reset after the end", syscall.EPIPE, false},
		{"interrupted", os.ErrDeadlineExceeded, false},
	}
	for _, c := range cases {
		for _, isUnderWay := range []bool{false, true} {
			name := c.name + " before the read"
			if isUnderWay {
				name = c.name + " during the read"
			}
			t.Run(name, func(t *testing.T) {
				inner := newScriptedConn(c.writeErr)
				conn := NewConn(inner)
				written := make(chan struct{})
				go func() {
					defer close(written)
					// The script says how the write ends.
					_, _ = conn.Write([]byte("body"))
				}()
				<-inner.begun
				if !isUnderWay {
					close(inner.released)
					<-written
				}
				_, err := conn.Read(make([]byte, 1))
				if errors.Is(err, ErrCutOff) != c.cutOff || errors.Is(err, io.EOF) == c.cutOff {
					t.Errorf("read returned %v, want cut off %v", err, c.cutOff)
				}
			})
		}
	}
}

// TestReadWithoutWrite guards against an end that is reported as a failure though
// the request was written, or is not being written.
func TestReadWithoutWrite(t *testing.T) {
	if _, err := NewConn(newScriptedConn(nil)).Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read returned %v, want %v", err, io.EOF)
	}
}

// connectTo returns a connection to a server that serves it and then closes it.
func connectTo(t *testing.T, serve func(c *net.TCPConn)) *Conn {
	t.Helper()
	address, err := script.Start(t.Context(), serve)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return NewConn(c)
}

// TestFailureOfSocket guards against an operating system that reports the failure
// of a connection in another way than Conn expects.
func TestFailureOfSocket(t *testing.T) {
	cases := []struct {
		name string
		ends bool
		want error
	}{
		{"reset", false, ErrCutOff},
		{"end and reset", true, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan struct{})
			conn := connectTo(t, func(server *net.TCPConn) {
				_, _ = io.ReadFull(server, make([]byte, len("request")))
				_, _ = io.WriteString(server, "ok")
				if c.ends {
					_ = server.CloseWrite()
				}
				_ = server.SetLinger(0)
				_ = server.Close()
				close(ended)
			})
			if _, err := conn.Write([]byte("request")); err != nil {
				t.Fatal(err)
			}
			<-ended
			for {
				if _, err := conn.Write([]byte("body")); err != nil {
					break
				}
			}
			body := make([]byte, len("ok"))
			if _, err := io.ReadFull(conn, body); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Read(body); !errors.Is(err, c.want) {
				t.Errorf("read returned %v, want %v", err, c.want)
			}
		})
	}
}
