package bridge_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"rhubarbrack/clock"
	"rhubarbrack/reach"
	"rhubarbrack/script"
)

// startBrokenPeer starts an entry host that answers each request as soon as it has
// read its header, and returns its address. It resets the connection behind an
// answer without a length, and keeps others open.
func startBrokenPeer(t *testing.T, answer string) string {
	t.Helper()
	address, err := script.Start(t.Context(), script.OnRequests(func(c *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(c, answer)
		if !strings.Contains(answer, "Length") {
			_ = c.SetLinger(0)
			return false
		}
		_, _ = io.Copy(io.Discard, c)
		return false
	}))
	if err != nil {
		t.Fatal(err)
	}
	return address
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
