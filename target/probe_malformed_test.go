package target

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/intact"
)

// startReports starts a target that answers requests for its health and its load with
// the given texts, and returns its address.
func startReports(t *testing.T, health, load string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(c)
			for r, err := http.ReadRequest(reader); err == nil; r, err = http.ReadRequest(reader) {
				text := health
				if r.URL.Path == PathLoad {
					text = load
				}
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestMalformedReport guards against a report that counts although its header is
// malformed.
func TestMalformedReport(t *testing.T) {
	answer := func(status, fields, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
	}
	const ready, load = `{"state":"ready"}`, `{"slots":4,"busy":0,"queued":0}`
	cases := []struct {
		name, status, fields string
		want                 error
	}{
		{"sound", "200 OK", "A: b\r\n", nil},
		{"status 000", "000 OK", "", intact.ErrMalformed},
		{"blank before a colon", "200 OK", "A : b\r\n", intact.ErrMalformed},
		{"blank in a name", "200 OK", "Foo Bar: x\r\n", intact.ErrMalformed},
		{"control byte in a name", "200 OK", "Foo\x01: x\r\n", intact.ErrMalformed},
	}
	for _, c := range cases {
		for _, isLoad := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, of the load %v", c.name, isLoad), func(t *testing.T) {
				health := answer(c.status, c.fields, ready)
				if isLoad {
					health = answer("200 OK", "", ready)
				}
				listener := make(reportChannel, 1)
				p := startProber(t, clock.NewManual(time.Unix(1000, 0)), listener)
				p.SetEndpoints([]Endpoint{NewEndpoint("target-1", startReports(t, health, answer(c.status, c.fields, load)))})
				got := <-listener
				_, hasHealth := got.Health()
				_, _, _, hasLoad := got.Load()
				if !errors.Is(got.Err(), c.want) || hasHealth != (isLoad || c.want == nil) || hasLoad != (c.want == nil) {
					t.Errorf("health %v, load %v, error %v, want %v", hasHealth, hasLoad, got.Err(), c.want)
				}
			})
		}
	}
}
