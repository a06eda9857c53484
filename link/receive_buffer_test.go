package link

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
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
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2097152\r\n\r\n")
				_, _ = conn.Write(make([]byte, body))
			}()
			system := tasks.NewSystem(slog.New(slog.DiscardHandler))
			defer system.Shutdown()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			p, err := StartPool(ctx, system, clock.Wall(), WithReceiveBuffer(c.buffer))
			if err != nil {
				t.Fatal(err)
			}
			conn, err := p.Get(ctx, l.Addr().String(), "id")
			if err != nil {
				t.Fatal(err)
			}
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://target/", nil)
			if err != nil {
				t.Fatal(err)
			}
			x, err := p.Send(ctx, conn, r, func(*http.Response) bool { return true })
			if err != nil {
				t.Fatal(err)
			}
			read, most := 0, 0
			chunk := make([]byte, 32<<10)
			for err == nil {
				var n int
				n, err = x.Response().Body.Read(chunk)
				read += n
				most = max(most, conn.unreadBytes())
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
