package link

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

// endless answers each request with a text, and then repeats another one until
// the host closes the connection. It reports the number of bytes written.
func endless(first, repeated string, written chan<- int) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		n, err := io.WriteString(c, first)
		again := []byte(repeated)
		for err == nil {
			var m int
			m, err = c.Write(again)
			n += m
		}
		written <- n
	}
}

// TestEndlessResponse guards against a target that sends bytes without end: the
// host must close the connection by itself and read a bounded number of bytes
// into memory. There is no deadline, so a missing limit makes the test hang.
func TestEndlessResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 7\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	block := strings.Repeat("x", 1000)
	cases := []struct {
		name            string
		first, repeated string
		// inBody is set if the header is complete.
		inBody bool
	}{
		{"nothing but bytes", "", block, false},
		{"status line", "HTTP/1.1 200 ", block, false},
		{"header line", head + "A: ", block, false},
		{"header lines", head, "A: " + block + "\r\n", false},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
		{"header of an interim response", "HTTP/1.1 103 Early Hints\r\n", "A: " + block + "\r\n", false},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx", false},
		{"body of another response", "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", block, false},
		{"chunk size", chunked, "0000000000", true},
		{"chunk extension", chunked + "5;", block, true},
		{"extensions of small chunks", chunked, "1;" + block + "\r\nx\r\n", true},
		{"trailers", chunked + "0\r\n", "A: " + block + "\r\n", true},
		{"trailer", chunked + "0\r\nA: ", block, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			written := make(chan int, 1)
			s := newTarget(t, endless(c.first, c.repeated, written))
			p := newPool(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			conn, err := p.Get(ctx, s.address(), "7")
			if err != nil {
				t.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			x, err := p.Send(ctx, conn, request("7"), func(r *http.Response) bool { return r.Header.Get("Id") == "7" })
			if c.inBody && err == nil {
				_, err = io.Copy(io.Discard, x.Response().Body)
				x.Abort()
			}
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("no error")
			}
			// The limit is that of a header, with room for its copies.
			if used := after.TotalAlloc - before.TotalAlloc; used > 20*maxHeadBytes {
				t.Errorf("%d bytes allocated", used)
			}
			<-written
		})
	}
}

// TestEndlessBytesAfterResponse guards against bytes behind a response that
// occupy memory or are taken for the next response.
func TestEndlessBytesAfterResponse(t *testing.T) {
	cases := []struct {
		name  string
		first string
	}{
		{"after a body", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n"},
		{"after a response without a body", "HTTP/1.1 204 No Content\r\nId: 7\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			manual := clock.NewManual(time.Now())
			system := tasks.NewSystem(slog.New(slog.DiscardHandler))
			p, err := StartPool(ctx, system, manual)
			if err != nil {
				t.Fatal(err)
			}
			written := make(chan int, 1)
			s := newTarget(t, endless(c.first, "x", written))
			if _, _, err := send(t, p, s.address(), "7"); err != nil {
				t.Fatal(err)
			}
			for {
				// The sweep closes the connection, which is not due to expire.
				manual.Advance(sweepInterval)
				select {
				case <-written:
					return
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
}

// TestDiscard guards against waiting for a body that nobody needs, and against
// closing a connection whose body is complete.
func TestDiscard(t *testing.T) {
	cases := []struct {
		name    string
		respond func(id string) string
		reused  bool
	}{
		{"complete", func(id string) string { return response(id, "ok") }, true},
		{"rest does not come", func(id string) string {
			return strings.Replace(response(id, "ok"), "Content-Length: 2", "Content-Length: 3", 1)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTarget(t, serve(c.respond))
			p := newPool(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			conn, err := p.Get(ctx, s.address(), "7")
			if err != nil {
				t.Fatal(err)
			}
			x, err := p.Send(ctx, conn, request("7"), func(*http.Response) bool { return true })
			if err != nil {
				t.Fatal(err)
			}
			x.Discard()
			next, err := p.Get(ctx, s.address(), "8")
			if err != nil || next.IsReused() != c.reused {
				t.Errorf("reused %v, want %v; error %v", next.IsReused(), c.reused, err)
			}
		})
	}
}
