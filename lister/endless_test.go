package lister

import (
	"context"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"rhubarbrack/tasks"
)

// TestEndlessList guards against a platform that sends the header of its list
// without end, of which the lister would keep many megabytes.
func TestEndlessList(t *testing.T) {
	block := strings.Repeat("x", 4000)
	cases := []struct{ name, first, repeated string }{
		{"status line", "HTTP/1.1 200 ", block},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", block},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: " + block + "\r\n"},
		{"body", "HTTP/1.1 200 OK\r\n\r\n{\"hosts\":[\"", block},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, c.first)
				// What the server allocates counts as well.
				for repeated := []byte(c.repeated); err == nil; {
					_, err = conn.Write(repeated)
				}
			}()
			system := tasks.NewSystem(slog.New(slog.DiscardHandler))
			defer system.Shutdown()
			received := make(listChannel, 1)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			l, err := StartLister(context.Background(), system, "http://"+listener.Addr().String(), received,
				WithInterval(time.Hour), WithTimeout(time.Hour), WithMaxListBytes(maxHeaderBytes), WithLogger(slog.New(slog.DiscardHandler)))
			if err != nil {
				t.Fatal(err)
			}
			if got := <-received; got.Err() == nil {
				t.Error("no error")
			}
			runtime.ReadMemStats(&after)
			if used := after.TotalAlloc - before.TotalAlloc; used > 20*maxHeaderBytes {
				t.Errorf("%d bytes allocated", used)
			}
			l.Stop()
			<-l.Done()
		})
	}
}
