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

// TestCourse guards against requests that run although they must not, run
// twice, lose a part on their way, or end with an answer that says of a
// request that may have run that it has not.
func TestCourse(t *testing.T) {
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
		answer   string
	}{
		{
			name: "served", path: "/safe/1?q=2", key: "key", arrivals: 1, status: 200, answer: "ok",
			script: func(_ int, r *http.Request) string { return ran(r, 200, "ok") },
		},
		{
			name: "body passed on", method: http.MethodPost, path: "/once/1", key: "key", body: "deposit", arrivals: 1,
			status: 200, answer: "ok", script: func(_ int, r *http.Request) string { return ran(r, 200, "ok") },
		},
		{
			name: "long body passed on", method: http.MethodPost, path: "/once/1", key: "key",
			body: strings.Repeat("x", 3*heldBodyBytes), arrivals: 1, status: 200, answer: "ok",
			script: func(_ int, r *http.Request) string { return ran(r, 200, "ok") },
		},
		{
			name: "long answer whole", path: "/safe/1", key: "key", arrivals: 1, status: 200,
			answer: strings.Repeat("y", 5*heldAnswerBytes),
			script: func(_ int, r *http.Request) string { return ran(r, 200, strings.Repeat("y", 5*heldAnswerBytes)) },
		},
		{name: "no route", path: "/other/1", key: "key", status: 503, reason: "no-route", run: "not-run"},
		{name: "no key", path: "/safe/1", status: 503, reason: "no-key", run: "not-run"},
		{name: "unknown key", path: "/safe/1", key: "x", status: 503, reason: "unknown-key", run: "not-run"},
		{
			name: "open route without a key", path: "/open/1", arrivals: 1, status: 200, answer: "ok",
			script: func(_ int, r *http.Request) string { return ran(r, 200, "ok") },
		},
		{
			name: "refused once by a target", method: http.MethodPost, path: "/once/1", key: "key", body: "b",
			arrivals: 2, status: 200, answer: "ok",
			script: func(n int, r *http.Request) string {
				if n == 1 {
					return shed(r)
				}
				return ran(r, 200, "ok")
			},
		},
		{
			name: "refused by all targets", method: http.MethodPost, path: "/once/1", key: "key", body: "b",
			arrivals: 2, status: 503, reason: "no-attempts", run: "not-run",
			script: func(_ int, r *http.Request) string { return shed(r) },
		},
		{
			name: "connection lost, repeatable", path: "/safe/1", key: "key", arrivals: 2, status: 200, answer: "ok",
			script: func(n int, r *http.Request) string {
				if n == 1 {
					return ""
				}
				return ran(r, 200, "ok")
			},
		},
		{
			name: "connection lost, once", method: http.MethodPost, path: "/once/1", key: "key", body: "b", arrivals: 1,
			status: 503, reason: "no-attempts", run: "unknown",
			script: func(int, *http.Request) string { return "" },
		},
		{
			name: "failure of the target, once", method: http.MethodPost, path: "/once/1", key: "key", body: "b",
			arrivals: 1, status: 500, answer: "sorry",
			script: func(_ int, r *http.Request) string { return ran(r, 500, "sorry") },
		},
		{
			name: "failure of the target, repeatable", path: "/safe/1", key: "key", arrivals: 2, status: 200, answer: "ok",
			script: func(n int, r *http.Request) string {
				if n == 1 {
					return ran(r, 500, "sorry")
				}
				return ran(r, 200, "ok")
			},
		},
		{
			name: "failure of two targets", path: "/safe/1", key: "key", arrivals: 2, status: 500, answer: "sorry 2",
			script: func(n int, r *http.Request) string { return ran(r, 500, fmt.Sprintf("sorry %d", n)) },
		},
		{
			name: "success without the mark of a target", method: http.MethodPost, path: "/once/1", key: "key", body: "b",
			arrivals: 1, status: 503, reason: "no-attempts", run: "unknown",
			script: func(_ int, r *http.Request) string {
				return strings.Replace(ran(r, 200, "ok"), "Stamp: s\r\n", "", 1)
			},
		},
		{
			name: "encoded answer", method: http.MethodPost, path: "/once/1", key: "key", body: "b", arrivals: 1,
			status: 503, reason: "no-attempts", run: "unknown",
			script: func(_ int, r *http.Request) string {
				return strings.Replace(ran(r, 200, "ok"), "Stamp: s", "Stamp: s\r\nContent-Encoding: gzip", 1)
			},
		},
		{
			name: "truncated answer, once", method: http.MethodPost, path: "/once/1", key: "key", body: "b", arrivals: 1,
			status: 503, reason: "no-attempts", run: "unknown",
			script: func(n int, r *http.Request) string {
				return "!" + strings.Replace(ran(r, 200, "ok"), "Length: 2", "Length: 9", 1)
			},
		},
		{
			name: "another process at the address", method: http.MethodPost, path: "/once/1", key: "key", body: "b",
			arrivals: 2, status: 200, answer: "ok",
			script: func(n int, r *http.Request) string {
				if n == 1 {
					return "HTTP/1.1 421 x\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
				}
				return ran(r, 200, "ok")
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
			r, answer, err := h.call(t, newClient(t), method, c.path, c.key, body)
			if err != nil {
				t.Fatal(err)
			}
			if r.StatusCode != c.status || r.Header.Get("Reason") != c.reason || r.Header.Get("Run") != c.run ||
				answer != c.answer {
				t.Errorf("status %d, reason %q, run %q, %d bytes; want %d, %q, %q, %d bytes", r.StatusCode,
					r.Header.Get("Reason"), r.Header.Get("Run"), len(answer), c.status, c.reason, c.run, len(c.answer))
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

// TestBrokenAnswer guards against a long answer that broke off and looks
// complete to the caller.
func TestBrokenAnswer(t *testing.T) {
	h := newTestHost(t, func(_ int, r *http.Request) string {
		text := ran(r, 200, strings.Repeat("y", 3*heldAnswerBytes))
		return "!" + strings.Replace(text, fmt.Sprintf("Length: %d", 3*heldAnswerBytes), "Length: 1000000", 1)
	})
	_, _, err := h.call(t, newClient(t), http.MethodGet, "/safe/1", "key", nil)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want an unexpected end", err)
	}
}

// TestCallerLeaves guards against a target that works on after the caller has
// left.
func TestCallerLeaves(t *testing.T) {
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

// TestConnectionBound guards against idle connections that use up the
// descriptors: beyond half of the bound answers end their connection.
func TestConnectionBound(t *testing.T) {
	h := newTestHost(t, func(_ int, r *http.Request) string { return ran(r, 200, "ok") })
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	closing := 0
	for range testConnections/2 + 10 {
		c, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
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
		t.Errorf("%d answers ended their connection, want 1 to 10", closing)
	}
}

// TestDrain guards against a planned stop that closes a connection on which a
// request may just be arriving: while the host drains, idle connections stay
// open and each answer announces the end; once it has stopped, requests are
// refused and not passed on.
func TestDrain(t *testing.T) {
	h := newTestHost(t, func(_ int, r *http.Request) string { return ran(r, 200, "ok") })
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	steps := []struct {
		name   string
		before func()
		status int
		closes bool
		sent   int
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
		if r.StatusCode != s.status || r.Close != s.closes || len(h.target.list()) != s.sent {
			t.Errorf("%s: status %d, closes %v, %d requests passed on", s.name, r.StatusCode, r.Close, len(h.target.list()))
		}
	}
	h.handler.Stop()
	r, _, err := h.call(t, newClient(t), http.MethodGet, "/safe/1", "key", nil)
	if err != nil {
		t.Fatal(err)
	}
	if r.Header.Get("Run") != "not-run" || len(h.target.list()) != 2 {
		t.Errorf("stopped: run %q, %d requests passed on", r.Header.Get("Run"), len(h.target.list()))
	}
}

// untilRefused returns when no connection to the address comes about any more.
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

// TestShutdownServesWhatArrived guards against a planned stop that closes a
// kept connection as idle although a request, or a part of one, has arrived
// on it.
func TestShutdownServesWhatArrived(t *testing.T) {
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
			h := newTestHost(t, func(_ int, r *http.Request) string { return ran(r, 200, "ok") })
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
					t.Errorf("answer %+v, error %v; want status 200 and the end of the connection", r, err)
				}
			}
			if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("connection ends with %v, want EOF", err)
			}
			if err := <-ended; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		})
	}
}
