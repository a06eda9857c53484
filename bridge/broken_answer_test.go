package bridge_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"rhubarbrack/clock"
	"rhubarbrack/reach"
)

// startBrokenPeer starts an entry host that answers each request as soon as it has
// read its header, and returns its address. It resets the connection behind an
// answer without a length, and keeps others open.
func startBrokenPeer(t *testing.T, answer string) string {
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
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				if !strings.Contains(answer, "Length") {
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return l.Addr().String()
}

// TestBrokenAnswerOfPeer guards against a broken answer that reaches the caller, or
// for which it waits until its time is up, because it came through another entry
// host.
func TestBrokenAnswerOfPeer(t *testing.T) {
	const fields = "\r\nId: id-1\r\nStamp: s\r\n"
	cases := []struct{ name, answer string }{
		{"reset during the upload", "HTTP/1.1 200 OK" + fields + "\r\npart"},
		{"status 000", "HTTP/1.1 000 OK" + fields + "Content-Length: 2\r\n\r\nok"},
		{"blank in a name", "HTTP/1.1 200 OK" + fields + "Foo Bar: x\r\nContent-Length: 2\r\n\r\nok"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cutOff := newHost(t, clock.Wall(), "cut-off", "r", closedAddress)
			cutOff.admission.SetPeers([]reach.Peer{reach.NewPeer(startBrokenPeer(t, c.answer), "r")})
			r, body := cutOff.call(t, http.MethodPost, "/once/1", "key", strings.Repeat("x", 1<<20))
			if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Run") != "unknown" {
				t.Errorf("status %d, run %q, body %q", r.StatusCode, r.Header.Get("Run"), body)
			}
		})
	}
}
