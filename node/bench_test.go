package node_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/node"
	"rhubarbrack/platf"
	"rhubarbrack/stand"
	"rhubarbrack/tasks"
)

// startDev runs a trial process and returns its addresses. Rates are set so
// high that they refuse nothing.
func startDev(b *testing.B) node.DevAddresses {
	b.Helper()
	sample, err := os.ReadFile("../sample/dev.yaml")
	if err != nil {
		b.Fatal(err)
	}
	text := strings.ReplaceAll(string(sample), "rate: 200\nburst: 400", "rate: 1000000\nburst: 1000000")
	ready := make(chan node.DevAddresses, 1)
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	d, err := node.NewDev([]byte(text), io.Discard, node.DevPort(19300), node.DevTargets(16, 64, 50*time.Microsecond),
		node.DevReady(func(a node.DevAddresses) { ready <- a }), node.DevProcess(node.WithLogger(quiet), node.WithLookupTTL(0)))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Logf("trial process ended: %v", err)
		}
	})
	select {
	case a := <-ready:
		return a
	case err := <-done:
		b.Fatal(err)
	}
	return node.DevAddresses{}
}

// passThrough forwards requests to one target with net/http and nothing else.
func passThrough(b *testing.B) string {
	b.Helper()
	system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
	target, err := stand.StartTarget(context.Background(), system, stand.WithSlots(1024),
		stand.WithServiceTime(50*time.Microsecond, 0.1), stand.WithPlace("north-a", "north"))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := target.Entry(platf.Live); err != nil {
		b.Fatal(err)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target.Address()+r.URL.RequestURI(), r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		response, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() {
		_ = server.Close()
		target.Close()
	})
	return "http://" + listener.Addr().String()
}

// BenchmarkEntryHost compares an entry host with a plain pass-through in one
// run: requests of 32 parallel callers on kept connections.
func BenchmarkEntryHost(b *testing.B) {
	addresses := startDev(b)
	cases := []struct {
		name, base, key, path string
	}{
		{name: "pass-through", base: passThrough(b), path: "/progress"},
		{name: "entry-open", base: addresses.Entries()[0], path: "/catalogue"},
		{name: "entry-keyed", base: addresses.Entries()[0], path: "/progress", key: addresses.Key(ident.Team("carvers"))},
	}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			transport := &http.Transport{MaxIdleConnsPerHost: 64}
			defer transport.CloseIdleConnections()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					r, err := http.NewRequest(http.MethodGet, tc.base+tc.path, nil)
					if err != nil {
						b.Fatal(err)
					}
					r.Host = "commissions.test"
					if tc.key != "" {
						r.Header.Set("Authorization", "Bearer "+tc.key)
					}
					response, err := transport.RoundTrip(r)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					if response.StatusCode != http.StatusOK {
						b.Errorf("status %d, reason %s", response.StatusCode, response.Header.Get("Rhubarbrack-Reason"))
						return
					}
				}
			})
		})
	}
}
