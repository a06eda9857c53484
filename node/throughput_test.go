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

// startDevSystem runs a development system and returns its addresses. The team
// rates are too high to refuse any request.
func startDevSystem(b *testing.B) node.DevAddresses {
	b.Helper()
	sample, err := os.ReadFile("../sample/dev.yaml")
	if err != nil {
		b.Fatal(err)
	}
	text := strings.ReplaceAll(string(sample), "rate: 200\nburst: 400", "rate: 1000000\nburst: 1000000")
	ready := make(chan node.DevAddresses, 1)
	discardLog := slog.New(slog.NewTextHandler(io.Discard, nil))
	d, err := node.NewDevSystem([]byte(text), io.Discard, node.DevPort(19300), node.DevTargets(16, 64, 50*time.Microsecond),
		node.DevReady(func(a node.DevAddresses) { ready <- a }), node.DevHostOptions(node.WithLogger(discardLog), node.WithLookupTTL(0)))
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

// startPassThrough starts a proxy that forwards requests to one target with plain
// net/http, and returns its URL.
func startPassThrough(b *testing.B) string {
	b.Helper()
	system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
	target, err := stand.StartTarget(context.Background(), system, stand.WithSlots(1024),
		stand.WithServiceTime(50*time.Microsecond, 0.1), stand.WithLocation("north-a", "north"))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := target.ListEntry(lister.Live); err != nil {
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

// BenchmarkEntryHost compares an entry host with a plain proxy on persistent
// connections. The cases run with four parallel callers per core, or with a single
// caller, whose mean latency shows the overhead of an entry host.
func BenchmarkEntryHost(b *testing.B) {
	addresses := startDevSystem(b)
	proxy, entry, key := startPassThrough(b), addresses.Entries()[0], addresses.Key(ident.Team("carvers"))
	cases := []struct {
		name, base, key, path string
		singleCaller          bool
	}{
		{name: "pass-through", base: proxy, path: "/progress"},
		{name: "entry-open", base: entry, path: "/catalogue"},
		{name: "entry-keyed", base: entry, path: "/progress", key: key},
		{name: "pass-through-one", base: proxy, path: "/progress", singleCaller: true},
		{name: "entry-keyed-one", base: entry, path: "/progress", key: key, singleCaller: true},
	}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			transport := &http.Transport{MaxIdleConnsPerHost: 64}
			defer transport.CloseIdleConnections()
			get := func() bool { return getOnce(b, transport, tc.base+tc.path, tc.key) }
			if tc.singleCaller {
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

// getOnce sends one request and reports whether the response has status 200.
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
