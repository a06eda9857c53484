package link

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

// TestUnread guards against bytes that wait to be read and are not counted, and
// against connections that count after their use.
func TestUnread(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n"
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
				_, _ = conn.Write(append([]byte(header), make([]byte, body)...))
			}()
			log := slog.New(slog.DiscardHandler)
			system := tasks.NewSystem(log)
			defer system.Shutdown()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			p, err := StartPool(ctx, system, clock.Wall())
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
			for {
				// The header and what came with it are in the reader's buffer.
				u, err := p.Unread(ctx)
				if err != nil {
					t.Fatal(err)
				}
				if u.Connections() == 1 && u.Bytes() == u.Most() && u.Bytes() >= body-bufferBytes {
					break
				}
			}
			c.end(x)
			u, err := p.Unread(ctx)
			if err != nil || u.Connections() != c.want || c.want == 0 && u.Bytes() != 0 {
				t.Errorf("%d connections in use with %d bytes, %v, want %d connections", u.Connections(), u.Bytes(), err, c.want)
			}
		})
	}
}
