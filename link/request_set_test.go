package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
)

// TestRepeatedIDOnConnection guards against a connection that carries two requests
// with the same ID, so that the copy of the first response would be taken for the
// response to the second request.
func TestRepeatedIDOnConnection(t *testing.T) {
	cases := []struct {
		name string
		ids  []string
		// connections holds the number of the connection that each request uses.
		connections []int
	}{
		{"different IDs", []string{"1", "2", "3"}, []int{0, 0, 0}},
		{"same ID", []string{"1", "1"}, []int{0, 1}},
		{"same ID after another", []string{"1", "2", "1"}, []int{0, 0, 1}},
		{"every idle connection has carried the ID", []string{"1", "1", "1"}, []int{0, 1, 2}},
		{"an idle connection is left", []string{"1", "1", "2", "2"}, []int{0, 1, 1, 0}},
		{"no ID", []string{"", "", "1"}, []int{0, 1, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTarget(t, serve(func(id string) string { return response(id, "ok") }))
			p := newPool(t)
			var connections []string
			for i, id := range c.ids {
				address := sendOver(t, p, s.address(), id)
				if !slices.Contains(connections, address) {
					connections = append(connections, address)
				}
				if n := slices.Index(connections, address); n != c.connections[i] {
					t.Errorf("request %d used connection %d, want %d", i, n, c.connections[i])
				}
			}
		})
	}
}

// TestRequestsPerConnection guards against connections that are used without
// end, so that the memory for the IDs of their requests grows without a bound.
func TestRequestsPerConnection(t *testing.T) {
	s := newTarget(t, serve(func(id string) string { return response(id, "ok") }))
	p := newPool(t)
	first := sendOver(t, p, s.address(), "first")
	for i := 1; i < maxRequests; i++ {
		if address := sendOver(t, p, s.address(), fmt.Sprint(i)); address != first {
			t.Fatalf("request %d used another connection", i)
		}
	}
	if address := sendOver(t, p, s.address(), "last"); address == first {
		t.Errorf("the connection carried more than %d requests", maxRequests)
	}
}

// TestIdleConnectionsOfRepeatedID guards against an ID that callers repeat and for
// which connections are opened until a target accepts no more.
func TestIdleConnectionsOfRepeatedID(t *testing.T) {
	const requests = 3 * maxIdlePerTarget
	cases := []struct {
		name string
		hash func(i int) uint64
		idle int
	}{
		{"different IDs", func(i int) uint64 { return uint64(i) }, 1},
		{"one ID", func(int) uint64 { return 7 }, maxIdlePerID},
		{"two IDs in turn", func(i int) uint64 { return uint64(i % 2) }, maxIdlePerID},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := &poolTask{clock: clock.Wall(), idle: map[string][]*Conn{}}
			defer pool.Stop()
			for i := range requests {
				conn := pool.get("a", c.hash(i))
				if conn == nil {
					socket, _ := net.Pipe()
					conn = newConn(socket, "a")
					conn.requests.add(c.hash(i))
				}
				pool.put(conn)
				if n := len(pool.idle["a"]); n > c.idle {
					t.Fatalf("%d idle connections after %d requests, want at most %d", n, i+1, c.idle)
				}
			}
		})
	}
}

// TestConnectionOfHealthCheck guards against a late response to a health check that
// is taken for the response to a request without an ID.
func TestConnectionOfHealthCheck(t *testing.T) {
	s := newTarget(t, serve(func(id string) string { return response(id, "ok") }))
	for _, c := range []struct {
		id     string
		reused bool
	}{{"", false}, {"1", true}} {
		p := newPool(t)
		if _, err := p.Probe(t.Context(), s.address(), "/health"); err != nil {
			t.Fatal(err)
		}
		if _, reused, err := send(t, p, s.address(), c.id); err != nil || reused != c.reused {
			t.Errorf("ID %q: reused %v, want %v; error %v", c.id, reused, c.reused, err)
		}
	}
}

// sendOver sends a request over a pooled connection and returns the local address
// of the connection.
func sendOver(t *testing.T, p *Pool, address, id string) string {
	t.Helper()
	c, err := p.Get(t.Context(), address, ident.RequestID(id))
	if err != nil {
		t.Fatal(err)
	}
	x, err := p.Send(t.Context(), c, request(id), func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		t.Fatal(err)
	}
	x.Discard()
	return c.LocalAddress()
}

// endingContext is a context that ends right after it was looked at first.
type endingContext struct {
	context.Context
	ended chan struct{}
	looks int
}

// Done implements context.Context.
func (c *endingContext) Done() <-chan struct{} { return c.ended }

// Err implements context.Context.
func (c *endingContext) Err() error {
	if c.looks++; c.looks == 1 {
		return nil
	}
	return context.Canceled
}

// TestContextEndsDuringGet guards against an idle connection that nobody owns,
// because the request for which it is handed out ends at that moment.
func TestContextEndsDuringGet(t *testing.T) {
	s := newTarget(t, serve(func(id string) string { return response(id, "ok") }))
	p := newPool(t)
	first := sendOver(t, p, s.address(), "1")
	ctx := &endingContext{Context: t.Context(), ended: make(chan struct{})}
	close(ctx.ended)
	if _, err := p.Get(ctx, s.address(), "2"); !errors.Is(err, ErrUnreachable) || !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want an error that nothing was sent", err)
	}
	if next := sendOver(t, p, s.address(), "3"); next != first {
		t.Errorf("the idle connection is lost")
	}
}
