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

// Guards against a write after the conclusion that nothing was written.
func TestSeal(t *testing.T) {
	cases := []struct {
		name          string
		before, after int
	}{
		{name: "nothing before", after: 2},
		{name: "written before", before: 3, after: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inner := &countingConn{}
			c := &countedConn{Conn: inner}
			for range tc.before {
				if _, err := c.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			}
			if writes, _ := c.seal(); writes != int64(tc.before) {
				t.Errorf("seal counts %d writes, want %d", writes, tc.before)
			}
			for range tc.after {
				if _, err := c.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
					t.Errorf("write after seal: %v, want %v", err, net.ErrClosed)
				}
			}
			if inner.writes != tc.before {
				t.Errorf("%d writes reached the connection, want %d", inner.writes, tc.before)
			}
		})
	}
}
