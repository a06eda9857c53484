package target

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"rhubarbrack/clock"
)

// TestEndlessReport guards against a target that sends the header of a health
// report without end, of which the prober would keep many megabytes. There is no
// deadline within the test, so a missing limit also makes it hang.
func TestEndlessReport(t *testing.T) {
	block := strings.Repeat("x", 4000)
	cases := []struct{ name, first, repeated string }{
		{"status line", "HTTP/1.1 200 ", block},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", block},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: " + block + "\r\n"},
		{"interim responses", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: "+block+"\r\n\r\n", 10)},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", block},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go serveEndless(l, c.first, c.repeated)
			listener := make(reportChannel, 1)
			p := startProber(t, clock.NewManual(time.Unix(1000, 0)), listener)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			p.SetEndpoints([]Endpoint{NewEndpoint("target-1", l.Addr().String())})
			if got := <-listener; got.Err() == nil {
				t.Error("no error")
			}
			runtime.ReadMemStats(&after)
			// The limit is that of a header, with room for its copies.
			if used := after.TotalAlloc - before.TotalAlloc; used > 20*defaultHeaderBytes {
				t.Errorf("%d bytes allocated", used)
			}
		})
	}
}

// serveEndless answers each connection with first and then repeats a text until
// the client closes.
func serveEndless(l net.Listener, first, repeated string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			_, err := io.WriteString(c, first)
			// What the server allocates counts as well.
			for again := []byte(repeated); err == nil; {
				_, err = c.Write(again)
			}
		}()
	}
}
