package link

import (
	"context"
	"errors"
	"strings"
	"syscall"
	"testing"
	"time"

	"rhubarbrack/intact"
)

// TestProbe guards against probes that take a target for reachable because
// something accepts connections, or for out of reach because it is not healthy.
func TestProbe(t *testing.T) {
	cases := []struct {
		name    string
		respond func(string) string
		fails   bool
	}{
		{"healthy", func(id string) string { return response(id, "ok") }, false},
		{"not healthy", func(id string) string { return strings.Replace(response(id, "no"), "200", "503", 1) }, false},
		{"closes the connection", func(string) string { return "!" }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTarget(t, serve(c.respond))
			if _, err := newPool(t).Probe(t.Context(), s.address(), "/health"); (err != nil) != c.fails {
				t.Errorf("error %v", err)
			}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := newPool(t).Probe(ctx, "127.0.0.1:1", "/health"); err == nil {
		t.Error("no error without a target")
	}
}

// TestMalformedProbe guards against probes that take malformed bytes for the response
// of a target, or wait for the response behind them.
func TestMalformedProbe(t *testing.T) {
	cases := []struct{ name, old, changed string }{
		{"status 000", "200", "000"},
		{"blank before a colon", "Content-Length:", "Content-Length :"},
		{"blank in a name", "Id:", "Foo Bar: x\r\nId:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTarget(t, serve(func(id string) string { return strings.Replace(response(id, "ok"), c.old, c.changed, 1) }))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if _, err := newPool(t).Probe(ctx, s.address(), "/health"); !errors.Is(err, intact.ErrMalformed) {
				t.Errorf("error %v, want %v", err, intact.ErrMalformed)
			}
		})
	}
}

// TestIsRefused guards against taking a target for ended that does not respond,
// that accepts connections, or whose connections are reset on the way.
func TestIsRefused(t *testing.T) {
	s := newTarget(t, serve(func(string) string { return "!" }))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name    string
		ctx     context.Context
		address string
		// dialErr is the error of the attempt to connect, if it is set.
		dialErr error
		want    bool
		fails   bool
	}{
		{"listening", t.Context(), s.address(), nil, false, false},
		{"nobody listens", t.Context(), "127.0.0.1:1", nil, true, false},
		{"no answer in time", ended, "127.0.0.1:1", nil, false, true},
		{"reset", t.Context(), s.address(), syscall.ECONNRESET, false, true},
	}
	for _, c := range cases {
		pool := newPool(t)
		if c.dialErr != nil {
			pool.dialer.Control = func(string, string, syscall.RawConn) error { return c.dialErr }
		}
		got, err := pool.IsRefused(c.ctx, c.address)
		if got != c.want || (err != nil) != c.fails {
			t.Errorf("%s: refused %v, error %v", c.name, got, err)
		}
	}
}
