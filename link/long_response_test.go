package link

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

// longResponse is a response whose target sends as much of it at once as the host
// takes.
type longResponse struct {
	ctx      context.Context
	pool     *Pool
	conn     *Conn
	exchange *Exchange
}

// openLongResponse requests a response with a body of the given size over a new
// pool.
func openLongResponse(t *testing.T, body int, options ...Option) longResponse {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1<<10))
		header := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", body)
		_, _ = conn.Write(append([]byte(header), make([]byte, body)...))
	}()
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	t.Cleanup(system.Shutdown)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	p, err := StartPool(ctx, system, clock.Wall(), options...)
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
	return longResponse{ctx: ctx, pool: p, conn: conn, exchange: x}
}
