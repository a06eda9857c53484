package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestRequestHandler guards against requests that run although they must not,
// run twice or are forwarded incompletely, and against a refusal that claims
// that a request has not run although it may have.
func TestRequestHandler(t *testing.T) {
	cases := []struct {
		name     string
		method   string
		path     string
		key      string
		body     string
		script   func(n int, r *http.Request) string
		arrivals int
		status   int
		reason   string
		run      string
		response string
	}{
		{
			name: "served", path: "/safe/1?q=2", key: "key", arrivals: 1, status: 200, response: "ok",
			script: func(_ int, r *http.Request) string { return targetResponse(r, 200, "ok") },
		},
		{
			name: "body forwarded", method: http.MethodPost, path: "/once/1", key: "key", body: "deposit", arrivals: 1,
			status: 200, response: "ok", script: func(_ int, r *http.Request) string { return targetResponse(r, 200, "ok") },
		},
		{
			name: "long body forwarded", method: http.MethodPost, path: "/once/1", key: "key",
			body: strings.Repeat("x", 3*bufferedBodyBytes), arrivals: 1, status: 200, response: "ok",
			script: func(_ int, r *http.Request) string { return targetResponse(r, 200, "ok") },
		},
		{
			name: "long response", path: "/safe/1", key: "key", arrivals: 1, status: 200,
			response: strings.Repeat("y", 5*bufferedResponseBytes),
			script: func(_ int, r *http.Request) string {
				return targetResponse(r, 200, strings.Repeat("y", 5*bufferedResponseBytes))
			},
		},
		{name: "no route", path: "/other/1", key: "key", status: 503, reason: "no-route", run: "not-run"},
		{name: "no key", path: "/safe/1", status: 503, reason: "no-key", run: "not-run"},
		{name: "unknown key", path: "/safe/1", key: "x", status: 503, reason: "unknown-key", run: "not-run"},
		{
			name: "public route without a key", path: "/open/1", arrivals: 1, status: 200, response: "ok",
			script: func(_ int, r *http.Request) string { return targetResponse(r, 200, "ok") },
		},
		{
			name: "refused by one target", method: http.MethodPost, path: "/once/1", key: "key", body: "b",
			arrivals: 2, status: 200, response: "ok",
			script: func(n int, r *http.Request) string {
				if n == 1 {
					return notRun(r)
				}
				return targetResponse(r, 200, "ok")
			},
		},
		{
			name: "refused by all targets", method: http.MethodPost, path: "/once/1", key: "key", body: "b",
			arrivals: 2, status: 503, reason: "no-attempts", run: "not-run",
			script: func(_ int, r *http.Request) string { return notRun(r) },
		},
		{
			name: "connection lost, retryable", path: "/safe/1", key: "key", arrivals: 2, status: 200, response: "ok",
			script: func(n int, r *http.Request) string {
				if n == 1 {
					return ""
				}
				return targetResponse(r, 200, "ok")
			},
		},
		{
			name: "connection lost, at most once", method: http.MethodPost, path: "/once/1", key: "key", body: "b", arrivals: 1,
			status: 503, reason: "no-attempts", run: "unknown",
			script: func(int, *http.Request) string { return "" },
		},
		{
			name: "failure of the target, at most once", method: http.MethodPost, path: "/once/1", key: "key", body: "b",
			arrivals: 1, status: 500, response: "sorry",
			script: func(_ int, r *http.Request) string { return targetResponse(r, 500, "sorry") },
		},
		{
			name: "failure of the target, retryable", path: "/safe/1", key: "key", arrivals: 2, status: 200, response: "ok",
			script: func(n int, r *http.Request) string {
				if n == 1 {
					return targetResponse(r, 500, "sorry")
				}
				return targetResponse(r, 200, "ok")
			},
		},
		{
			name: "failure of two targets", path: "/safe/1", key: "key", arrivals: 2, status: 500, response: "sorry 2",
			script: func(n int, r *http.Request) string { return targetResponse(r, 500, fmt.Sprintf("sorry %d", n)) },
		},
		{
			name: "success without the mark of a target", method: http.MethodPost, path: "/once/1", key: "key", body: "b",
			arrivals: 1, status: 503, reason: "no-attempts", run: "unknown",
			script: func(_ int, r *http.Request) string {
				return strings.Replace(targetResponse(r, 200, "ok"), "Stamp: s\r\n", "", 1)
			},
		},
		{
			name: "encoded response", method: http.MethodPost, path: "/once/1", key: "key", body: "b", arrivals: 1,
			status: 503, reason: "no-attempts", run: "unknown",
			script: func(_ int, r *http.Request) string {
				return strings.Replace(targetResponse(r, 200, "ok"), "Stamp: s", "Stamp: s\r\nContent-Encoding: gzip", 1)
			},
		},
		{
			name: "truncated response, at most once", method: http.MethodPost, path: "/once/1", key: "key", body: "b", arrivals: 1,
			status: 503, reason: "no-attempts", run: "unknown",
			script: func(n int, r *http.Request) string {
				return "!" + strings.Replace(targetResponse(r, 200, "ok"), "Length: 2", "Length: 9", 1)
			},
		},
		{
			name: "another process at the address", method: http.MethodPost, path: "/once/1", key: "key", body: "b",
			arrivals: 2, status: 200, response: "ok",
			script: func(n int, r *http.Request) string {
				if n == 1 {
					return "HTTP/1.1 421 x\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
				}
				return targetResponse(r, 200, "ok")
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, c.script)
			method := c.method
			if method == "" {
				method = http.MethodGet
			}
			var body io.Reader
			if c.body != "" {
				body = strings.NewReader(c.body)
			}
			r, response, err := h.call(t, newClient(t), method, c.path, c.key, body)
			if err != nil {
				t.Fatal(err)
			}
			if r.StatusCode != c.status || r.Header.Get("Reason") != c.reason || r.Header.Get("Run") != c.run ||
				response != c.response {
				t.Errorf("status %d, reason %q, run %q, %d bytes; want %d, %q, %q, %d bytes", r.StatusCode,
					r.Header.Get("Reason"), r.Header.Get("Run"), len(response), c.status, c.reason, c.run, len(c.response))
			}
			list := h.target.list()
			if len(list) != c.arrivals {
				t.Fatalf("%d arrivals, want %d", len(list), c.arrivals)
			}
			for i, a := range list {
				team := ""
				if c.key != "" {
					team = "team"
				}
				if a.path != c.path || a.body != c.body || a.key != "" || a.team != team {
					t.Errorf("arrival %d: path %q, %d bytes, key %q, team %q", i, a.path, len(a.body), a.key, a.team)
				}
				if i > 0 && a.target == list[i-1].target {
					t.Errorf("arrival %d went to the same target again", i)
				}
			}
		})
	}
}

// TestBrokenResponse guards against a long response that breaks off but looks
// complete to the caller.
func TestBrokenResponse(t *testing.T) {
	h := newTestHost(t, func(_ int, r *http.Request) string {
		text := targetResponse(r, 200, strings.Repeat("y", 3*bufferedResponseBytes))
		return "!" + strings.Replace(text, fmt.Sprintf("Length: %d", 3*bufferedResponseBytes), "Length: 1000000", 1)
	})
	_, _, err := h.call(t, newClient(t), http.MethodGet, "/safe/1", "key", nil)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want %v", err, io.ErrUnexpectedEOF)
	}
}

// TestCallerDisconnects guards against a target that keeps working on a request
// after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	arrived := make(chan struct{})
	ended := make(chan struct{})
	l := listen(t)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		close(arrived)
		_, _ = r.ReadByte()
		close(ended)
	}()
	t.Cleanup(func() { _ = l.Close() })
	h := newTestHostAt(t, l.Addr().String())
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: key\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-arrived
	_ = c.Close()
	<-ended
}

// TestConnectionLimit guards against idle connections that use up the file
// descriptors: beyond half of the limit, each response closes its connection.
func TestConnectionLimit(t *testing.T) {
	h := newTestHost(t, func(_ int, r *http.Request) string { return targetResponse(r, 200, "ok") })
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	closing := 0
	for range testConnections/2 + 10 {
		c, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		if _, err := io.WriteString(c, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: key\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		if r.Close {
			closing++
		}
	}
	if closing == 0 || closing > 10 {
		t.Errorf("%d responses closed their connection, want 1 to 10", closing)
	}
}

// TestDrain guards against a shutdown that closes a connection on which a
// request may be arriving: while the host drains, idle connections stay open
// and each response announces the close; after Stop, requests are refused and
// not forwarded.
func TestDrain(t *testing.T) {
	h := newTestHost(t, func(_ int, r *http.Request) string { return targetResponse(r, 200, "ok") })
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	steps := []struct {
		name      string
		before    func()
		status    int
		closing   bool
		forwarded int
	}{
		{"serving", func() {}, 200, false, 1},
		{"draining", h.front.Drain, 200, true, 2},
	}
	for _, s := range steps {
		s.before()
		if _, err := io.WriteString(c, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: key\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", s.name, err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Fatal(err)
		}
		if r.StatusCode != s.status || r.Close != s.closing || len(h.target.list()) != s.forwarded {
			t.Errorf("%s: status %d, closing %v, %d requests forwarded", s.name, r.StatusCode, r.Close, len(h.target.list()))
		}
	}
	h.handler.Stop()
	r, _, err := h.call(t, newClient(t), http.MethodGet, "/safe/1", "key", nil)
	if err != nil {
		t.Fatal(err)
	}
	if r.Header.Get("Run") != "not-run" || len(h.target.list()) != 2 {
		t.Errorf("stopped: run %q, %d requests forwarded", r.Header.Get("Run"), len(h.target.list()))
	}
}

// untilRefused returns when connections to the address are refused.
func untilRefused(t *testing.T, address string) {
	t.Helper()
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestShutdownServesReceivedRequests guards against a shutdown that closes a
// keep-alive connection as idle although a request, or part of one, has
// arrived on it.
func TestShutdownServesReceivedRequests(t *testing.T) {
	const request = "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: key\r\n\r\n"
	cases := []struct {
		name   string
		before int
		served bool
	}{
		{"nothing", 0, false},
		{"first byte", 1, true},
		{"half of the header", len(request) / 2, true},
		{"whole request", len(request), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, func(_ int, r *http.Request) string { return targetResponse(r, 200, "ok") })
			conn, err := net.Dial("tcp", h.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			exchange := func(text string) (*http.Response, error) {
				if _, err := io.WriteString(conn, text); err != nil {
					return nil, err
				}
				r, err := http.ReadResponse(reader, nil)
				if err != nil {
					return nil, err
				}
				_, err = io.Copy(io.Discard, r.Body)
				return r, err
			}
			if _, err := exchange(request); err != nil {
				t.Fatal(err)
			}
			h.front.Drain()
			if _, err := io.WriteString(conn, request[:c.before]); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- h.front.Shutdown(context.Background()) }()
			untilRefused(t, h.address)
			if c.served {
				r, err := exchange(request[c.before:])
				if err != nil || r.StatusCode != http.StatusOK || !r.Close {
					t.Errorf("response %+v, error %v; want status 200 and the end of the connection", r, err)
				}
			}
			if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("connection closed with %v, want EOF", err)
			}
			if err := <-ended; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		})
	}
}

// TestEndlessRefusal guards against a caller that waits for the body of a
// response whose header proves that the request has not run. The route times
// out after an hour.
func TestEndlessRefusal(t *testing.T) {
	cases := []struct {
		name   string
		length string
	}{
		{"until the connection ends", ""},
		{"of a stated length", "Content-Length: 1000000\r\n"},
		{"in chunks", "Transfer-Encoding: chunked\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for n := 0; ; n++ {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go answerSlowly(conn, n == 0, c.length)
				}
			}()
			h := newTestHostAt(t, l.Addr().String())
			r, body, err := h.call(t, newClient(t), http.MethodGet, "/long/", "key", nil)
			if err != nil || r.StatusCode != http.StatusOK || body != "ok" {
				t.Errorf("response %+v, body %q, error %v", r, body, err)
			}
		})
	}
}

// answerSlowly answers requests, or refuses the first one with a body that
// never ends and of which nothing arrives.
func answerSlowly(conn net.Conn, refuses bool, length string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	text := targetResponse(r, 200, "ok")
	if refuses {
		text = "HTTP/1.1 503 x\r\nId: " + r.Header.Get("Id") + "\r\nUnrun: 1\r\n" + length + "\r\n"
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	// The host closes the connection.
	_, _ = reader.ReadByte()
}
