package link

import (
	"io"
	"testing"
)

// TestUnread guards against bytes that wait to be read and are not counted, and
// against connections that count after their use.
func TestUnread(t *testing.T) {
	const body = 20_000
	cases := []struct {
		name string
		// end ends the exchange.
		end func(*Exchange)
		// want is the number of connections in use afterwards.
		want int
	}{
		{"in use", func(*Exchange) {}, 1},
		{"read to the end", func(x *Exchange) {
			_, _ = io.Copy(io.Discard, x.Response().Body)
			x.Finish()
		}, 0},
		{"aborted", (*Exchange).Abort, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := openLongResponse(t, body)
			for {
				// The header and what came with it are in the reader's buffer.
				u, err := r.pool.Unread(r.ctx)
				if err != nil {
					t.Fatal(err)
				}
				if u.Connections() == 1 && u.Bytes() == u.Most() && u.Bytes() >= body-bufferBytes {
					break
				}
			}
			c.end(r.exchange)
			u, err := r.pool.Unread(r.ctx)
			if err != nil || u.Connections() != c.want || c.want == 0 && u.Bytes() != 0 {
				t.Errorf("%d connections in use with %d bytes, %v, want %d connections", u.Connections(), u.Bytes(), err, c.want)
			}
		})
	}
}
