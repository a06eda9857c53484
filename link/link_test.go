package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// target is a test target that runs a script for each accepted connection.
type target struct {
	listener net.Listener
}

func newTarget(t *testing.T, script func(net.Conn, *bufio.Reader)) *target {
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
			go script(c, bufio.NewReader(c))
		}
	}()
	return &target{listener: l}
}

func (t *target) address() string { return t.listener.Addr().String() }

func newPool(t *testing.T) *Pool {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	p, err := StartPool(ctx, system, clock.Wall())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-p.ref.Done()
		system.Shutdown()
	})
	return p
}

func request(id string) *http.Request {
	return &http.Request{
		Method: http.MethodGet, URL: &url.URL{Opaque: "/a"}, Host: "h", Header: http.Header{"Id": {id}},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// send sends a request over a pooled connection. It returns the body of the
// response and whether the connection was reused.
func send(t *testing.T, p *Pool, address, id string) (string, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.Get(ctx, address, ident.RequestID(id))
	if err != nil {
		return "", false, err
	}
	x, err := p.Send(ctx, c, request(id), func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", c.IsReused(), err
	}
	body, err := io.ReadAll(x.Response().Body)
	if err != nil {
		x.Abort()
		return string(body), c.IsReused(), err
	}
	x.Finish()
	return string(body), c.IsReused(), nil
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// itoa formats a number of one digit.
func itoa(n int) string { return string(rune('0' + n)) }

// serve responds to each request by its ID.
func serve(respond func(id string) string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		defer func() { _ = c.Close() }()
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			text := respond(q.Header.Get("Id"))
			if _, err := io.WriteString(c, text); err != nil || strings.HasSuffix(text, "!") {
				return
			}
		}
	}
}

// TestResponses guards against returning bytes that are not the whole response
// to the request.
func TestResponses(t *testing.T) {
	cases := []struct {
		name    string
		respond func(id string) string
		body    string
		fails   bool
	}{
		{name: "response to the request", respond: func(id string) string { return response(id, "own") }, body: "own"},
		{
			name:    "late response to another request first",
			respond: func(id string) string { return response("0", "old") + response(id, "own") },
			body:    "own",
		},
		{
			name:    "interim response first",
			respond: func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + response(id, "own") },
			body:    "own",
		},
		{name: "only a response to another request", respond: func(string) string { return response("0", "x!") }, fails: true},
		{name: "response without an ID", respond: func(string) string { return response("", "x!") }, fails: true},
		{name: "not HTTP", respond: func(string) string { return "rubbish\r\n\r\n!" }, fails: true},
		{
			name:    "truncated",
			respond: func(id string) string { return strings.TrimSuffix(response(id, "abcd"), "bcd") + "!" },
			body:    "a!", fails: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTarget(t, serve(c.respond))
			body, _, err := send(t, newPool(t), s.address(), "7")
			if (err != nil) != c.fails || !c.fails && body != c.body {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// TestReuse guards against reusing idle connections that the target has closed
// or on which unexpected bytes have arrived.
func TestReuse(t *testing.T) {
	cases := []struct {
		name    string
		respond func(id string) string
		reused  bool
	}{
		{"idle", func(id string) string { return response(id, "ok") }, true},
		{"closed by the target", func(id string) string { return response(id, "ok!") }, false},
		{"close announced by the target", func(id string) string {
			return strings.Replace(response(id, "ok"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
		}, false},
		{"a second response has arrived", func(id string) string { return response(id, "ok") + response(id, "ok") }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan struct{}, 4)
			script := serve(c.respond)
			s := newTarget(t, func(conn net.Conn, r *bufio.Reader) {
				script(conn, r)
				closed <- struct{}{}
			})
			p := newPool(t)
			if _, _, err := send(t, p, s.address(), "1"); err != nil {
				t.Fatal(err)
			}
			if c.name == "closed by the target" {
				<-closed
			}
			_, reused, err := send(t, p, s.address(), "2")
			if err != nil || reused != c.reused {
				t.Errorf("reused %v, want %v; error %v", reused, c.reused, err)
			}
		})
	}
}

// TestUnreachable guards against reporting a failure to connect as a request
// that may have run.
func TestUnreachable(t *testing.T) {
	s := newTarget(t, serve(func(string) string { return "" }))
	address := s.address()
	_ = s.listener.Close()
	if _, _, err := send(t, newPool(t), address, "1"); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want %v", err, ErrUnreachable)
	}
}

// TestCancelledRequest guards against a target that keeps working on a
// cancelled request or receives the rest of it: the connection is reset at
// once, and unsent bytes are discarded.
func TestCancelledRequest(t *testing.T) {
	ended := make(chan error, 1)
	started := make(chan struct{})
	s := newTarget(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			ended <- nil
			return
		}
		close(started)
		_, err := r.ReadByte()
		ended <- err
	})
	p := newPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := p.Get(ctx, s.address(), "1")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-started
		cancel()
	}()
	if _, err := p.Send(ctx, c, request("1"), func(*http.Response) bool { return true }); !errors.Is(err, ErrBroken) {
		t.Errorf("got %v, want %v", err, ErrBroken)
	}
	if err := <-ended; err == nil || errors.Is(err, io.EOF) {
		t.Errorf("target saw %v, want a reset", err)
	}
}

// TestKeepAliveTime guards against keeping idle connections longer than the
// target does.
func TestKeepAliveTime(t *testing.T) {
	cases := []struct {
		header string
		want   time.Duration
	}{
		{"", defaultKeepAlive},
		{"timeout=10", 9 * time.Second},
		{"max=3, timeout=4", 3 * time.Second},
		{"timeout=1", keepAliveMargin / 2},
		{"timeout=x", defaultKeepAlive},
	}
	for _, c := range cases {
		if got := keepAliveTime(c.header); got != c.want {
			t.Errorf("%q: %v, want %v", c.header, got, c.want)
		}
	}
}

// TestLocalIP guards against connections that leave from another address than
// the host's own, by which a target or its network would take them for those of
// another host.
func TestLocalIP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	p, err := StartPool(t.Context(), system, clock.Wall(), WithLocalIP(net.IPv4(127, 0, 0, 9)))
	if err != nil {
		t.Fatal(err)
	}
	c, err := p.Get(t.Context(), l.Addr().String(), "1")
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if ip, _, _ := net.SplitHostPort(accepted.RemoteAddr().String()); ip != "127.0.0.9" {
		t.Errorf("connection from %s", ip)
	}
}
