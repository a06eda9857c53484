package relay

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"rhubarbrack/addrs"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// crashTarget is a target whose process ends while it runs some requests.
type crashTarget struct {
	pool        *crashTargets
	listener    net.Listener
	mutex       sync.Mutex
	connections []net.Conn
}

// crashTargets are the targets of a service. For requests of /open/x, onRequest
// tells whether the target responds, ends the connection, or ends. Other requests,
// such as health checks, get a response.
type crashTargets struct {
	onRequest func(n int) crashBehaviour
	mutex     sync.Mutex
	arrivals  int
	ended     int
}

type crashBehaviour uint8

const (
	respond crashBehaviour = iota
	endConnection
	endProcess
)

func (s *crashTarget) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connections = append(s.connections, c)
		s.mutex.Unlock()
		go s.serveConnection(c)
	}
}

func (s *crashTarget) serveConnection(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		switch s.pool.behaviour(r) {
		case endProcess:
			_ = s.listener.Close()
			s.mutex.Lock()
			defer s.mutex.Unlock()
			for _, c := range s.connections {
				_ = c.Close()
			}
			return
		case endConnection:
			return
		}
		if _, err := c.Write([]byte(targetResponse(r, 200, "ok"))); err != nil {
			return
		}
	}
}

func (p *crashTargets) behaviour(r *http.Request) crashBehaviour {
	if r.RequestURI != "/open/x" {
		return respond
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.arrivals++
	b := p.onRequest(p.arrivals)
	if b == endProcess {
		p.ended++
	}
	return b
}

func (p *crashTargets) counts() (arrivals, ended int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.arrivals, p.ended
}

// newCrashHost returns a host with n targets.
func newCrashHost(t *testing.T, n int, onRequest func(n int) crashBehaviour) (*testHost, *crashTargets) {
	t.Helper()
	addresses, err := addrs.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = addresses.Release() })
	pool := &crashTargets{onRequest: onRequest}
	var list []spread.Target
	for i := range n {
		address, err := addresses.Next()
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		target := &crashTarget{pool: pool, listener: l}
		go target.serve()
		list = append(list, spread.NewTarget(ident.Target(rune('a'+i)), "s", address, "z", "r", 4, false, time.Time{}, spread.WithStart(int64(i))))
	}
	h := newTestHostAt(t, "127.0.0.1:1")
	h.handler.admission.SetTargets(list)
	return h, pool
}

// TestCrashingRequest guards against a request that is sent on without end
// although it crashes the targets that run it, and against refusing one that
// only loses connections or that some targets answer.
func TestCrashingRequest(t *testing.T) {
	const calls = 8
	cases := []struct {
		name      string
		onRequest func(n int) crashBehaviour
		arrivals  int
		refused   bool
	}{
		{"ends every process", func(int) crashBehaviour { return endProcess }, 3, true},
		{"ends connections", func(int) crashBehaviour { return endConnection }, 2 * calls, false},
		{"ends one process in two", func(n int) crashBehaviour {
			if n%2 == 1 {
				return endProcess
			}
			return respond
		}, 2 * calls, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h, targets := newCrashHost(t, 2*calls, c.onRequest)
			client := newClient(t)
			var last *http.Response
			for range calls {
				r, _, err := h.call(t, client, http.MethodGet, "/open/x", "", nil)
				if err != nil {
					t.Fatal(err)
				}
				last = r
				h.waitForChecks(t, targets)
				if plain, _, err := h.call(t, client, http.MethodGet, "/open/plain", "", nil); err != nil || plain.StatusCode != 200 {
					t.Fatalf("another request: %v, %v", plain, err)
				}
			}
			arrivals, _ := targets.counts()
			if arrivals != c.arrivals {
				t.Errorf("%d arrivals at targets, want %d", arrivals, c.arrivals)
			}
			if got := last.Header.Get("Reason") == "crashing" && last.Header.Get("Run") == "not-run"; got != c.refused {
				t.Errorf("last response: status %d, reason %q, run %q", last.StatusCode, last.Header.Get("Reason"), last.Header.Get("Run"))
			}
		})
	}
}

// waitForChecks waits until the host knows all processes that have ended, or
// suspects no request.
func (h *testHost) waitForChecks(t *testing.T, targets *crashTargets) {
	t.Helper()
	for {
		reports, err := h.handler.admission.SuspectReports(t.Context(), time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		known := 0
		for _, r := range reports {
			known += len(r.Crashes())
		}
		if _, ended := targets.counts(); known == ended || len(*h.handler.admission.suspected.Load()) == 0 {
			return
		}
		clock.Sleep(t.Context(), clock.Wall(), 5*time.Millisecond)
	}
}
