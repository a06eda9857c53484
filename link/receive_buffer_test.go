package link

import (
	"errors"
	"io"
	"testing"
)

// TestReceiveBuffer guards against targets that send far more of a long response
// than was read. What they send ahead fills a slow link, and the replies to
// heartbeats wait behind it.
func TestReceiveBuffer(t *testing.T) {
	const body = 2 << 20
	cases := []struct {
		name   string
		buffer int
	}{
		{"link of 2 Mbit/s", 5 << 10},
		{"link of 4.4 Mbit/s", 11 << 10},
		{"link of 40 Mbit/s", 100 << 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := openLongResponse(t, body, WithReceiveBuffer(c.buffer))
			read, most := 0, 0
			chunk := make([]byte, 32<<10)
			var err error
			for err == nil {
				var n int
				n, err = r.exchange.Response().Body.Read(chunk)
				read += n
				most = max(most, r.conn.unreadBytes())
			}
			if read != body || !errors.Is(err, io.EOF) {
				t.Errorf("%d bytes read, %v, want %d", read, err, body)
			}
			// Linux allows twice the size that was set.
			if most > 2*c.buffer {
				t.Errorf("%d bytes were waiting to be read, at most %d are allowed", most, 2*c.buffer)
			}
		})
	}
}
