package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// inFlight returns the target that has a request in flight, once there is one.
func (h *testHost) inFlight(t *testing.T) ident.Target {
	t.Helper()
	for {
		stats, err := h.handler.admission.TargetStats(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range stats {
			if s.InFlight() > 0 {
				return s.Target()
			}
		}
		<-time.After(time.Millisecond)
	}
}

// TestStatementWhileBodyArrives guards against a request that reaches a target
// which has asked for a pause, or said that it leaves, while the body of the
// request was still arriving.
func TestStatementWhileBodyArrives(t *testing.T) {
	cases := []struct{ name, statement string }{
		{"pause", "Unrun: 1\r\nPause: 1h"},
		{"leaving", "Leaving: 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var stating atomic.Value
			stating.Store("")
			stated := make(chan struct{}, 100)
			h := newTestHost(t, func(_ int, r *http.Request) string {
				answer := targetResponse(r, 200, "ok")
				if r.Header.Get("Target") != stating.Load() {
					return answer
				}
				stated <- struct{}{}
				return strings.Replace(answer, "Stamp: s", "Stamp: s\r\n"+c.statement, 1)
			})
			slow, err := net.Dial("tcp", h.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = slow.Close() }()
			if _, err := io.WriteString(slow, "POST /once/1 HTTP/1.1\r\nHost: h\r\nId: slow\r\nKey: key\r\nObject: o\r\nContent-Length: 2\r\n\r\na"); err != nil {
				t.Fatal(err)
			}
			chosen := h.inFlight(t)
			stating.Store(string(chosen))
			if _, _, err := h.call(t, newClient(t), http.MethodPost, "/once/1", "key", nil); err != nil {
				t.Fatal(err)
			}
			if len(stated) != 1 {
				t.Fatal("the target gets no other request of the object")
			}
			if _, err := io.WriteString(slow, "b"); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(slow), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("response %v, %v", response, err)
			}
			for _, a := range h.target.list() {
				if a.id == "slow" && a.target == string(chosen) {
					t.Errorf("the request reached %s", a.target)
				}
			}
		})
	}
}
