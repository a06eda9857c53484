package target

import (
	"errors"
	"net"
	"testing"
)

// countingConn counts the writes that reach it.
type countingConn struct {
	net.Conn
	writes int
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes++
	return len(p), nil
}

func (*countingConn) Close() error { return nil }

// Guards against a write after the conclusion that nothing was written, and
// against a count of writes that did not reach the connection since it was closed
// or given up: the target would look crashed.
func TestSeal(t *testing.T) {
	cases := []struct {
		name          string
		end           func(c *countedConn)
		before, after int
	}{
		{name: "nothing before", end: func(c *countedConn) { c.seal() }, after: 2},
		{name: "written before", end: func(c *countedConn) { c.seal() }, before: 3, after: 1},
		{name: "closed by the transport", end: func(c *countedConn) { _ = c.Close() }, before: 1, after: 2},
		{name: "given up", end: (*countedConn).retire, before: 1, after: 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inner := &countingConn{}
			c := newCountedConn(inner)
			for range tc.before {
				if _, err := c.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			}
			tc.end(c)
			for range tc.after {
				if _, err := c.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
					t.Errorf("write after the end: %v, want %v", err, net.ErrClosed)
				}
			}
			if writes, _ := c.seal(); writes != int64(tc.before) {
				t.Errorf("seal counts %d writes, want %d", writes, tc.before)
			}
			if inner.writes != tc.before {
				t.Errorf("%d writes reached the connection, want %d", inner.writes, tc.before)
			}
		})
	}
}
