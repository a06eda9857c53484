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
	"rhubarbrack/lister"
	"rhubarbrack/node"
	"rhubarbrack/stand"
	"rhubarbrack/tasks"
)

// startDevSystem runs a trial process and returns its addresses. Rates are set so
// high that they refuse nothing.
func startDevSystem(b *testing.B) node.DevAddresses {
	b.Helper()
	sample, err := os.ReadFile("../sample/dev.yaml")
	if err != nil {
		b.Fatal(err)
	}
	text := strings.ReplaceAll(string(sample), "rate: 200\nburst: 400", "rate: 1000000\nburst: 1000000")
	ready := make(chan node.DevAddresses, 1)
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	d, err := node.NewDevSystem([]byte(text), io.Discard, node.DevPort(19300), node.DevTargets(16, 64, 50*time.Microsecond),
		node.DevReady(func(a node.DevAddresses) { ready <- a }), node.DevHostOptions(node.WithLogger(quiet), node.WithLookupTTL(0)))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
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

// startPassThrough forwards requests to one target with net/http and nothing else.
func startPassThrough(b *testing.B) string {
	b.Helper()
	system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
	target, err := stand.StartTarget(context.Background(), system, stand.WithSlots(1024),
		stand.WithServiceTime(50*time.Microsecond, 0.1), stand.WithPlace("north-a", "north"))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := target.Entry(lister.Live); err != nil {
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
// run, on kept connections: four parallel callers for each core, and one caller
// whose mean time shows what an entry host adds.
func BenchmarkEntryHost(b *testing.B) {
	addresses := startDevSystem(b)
	plain, entry, key := startPassThrough(b), addresses.Entries()[0], addresses.Key(ident.Team("carvers"))
	cases := []struct {
		name, base, key, path string
		one                   bool
	}{
		{name: "pass-through", base: plain, path: "/progress"},
		{name: "entry-open", base: entry, path: "/catalogue"},
		{name: "entry-keyed", base: entry, path: "/progress", key: key},
		{name: "pass-through-one", base: plain, path: "/progress", one: true},
		{name: "entry-keyed-one", base: entry, path: "/progress", key: key, one: true},
	}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			transport := &http.Transport{MaxIdleConnsPerHost: 64}
			defer transport.CloseIdleConnections()
			get := func() bool { return getOnce(b, transport, tc.base+tc.path, tc.key) }
			if tc.one {
				for b.Loop() {
					if !get() {
						return
					}
				}
				return
			}
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() && get() {
				}
			})
		})
	}
}

// getOnce sends one request and reports whether a target answered it.
func getOnce(b *testing.B, transport *http.Transport, address, key string) bool {
	r, err := http.NewRequest(http.MethodGet, address, nil)
	if err != nil {
		b.Error(err)
		return false
	}
	r.Host = "commissions.test"
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		b.Error(err)
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Errorf("status %d, reason %s", response.StatusCode, response.Header.Get("Rhubarbrack-Reason"))
		return false
	}
	return true
}
