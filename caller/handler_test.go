package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/locate"
	"rhubarbrack/once"
	"rhubarbrack/prof"
	"rhubarbrack/route"
	"rhubarbrack/state"
	"rhubarbrack/target"
)

// routerFunc is a router whose result is determined by a test.
type routerFunc func(ctx context.Context, q route.Request, x route.Exchange) route.Result

func (r routerFunc) Run(ctx context.Context, q route.Request, x route.Exchange) route.Result {
	return r(ctx, q, x)
}

type staticViews struct{ config *state.Config }

func (v staticViews) View(context.Context) (route.View, error) {
	return route.NewView(v.config, time.Time{}), nil
}

type staticDirectory struct{ directory *locate.Directory }

func (d staticDirectory) Directory() *locate.Directory { return d.directory }

type discardRecorder struct{}

func (discardRecorder) Record(route.Request, route.Result, time.Time, time.Duration) {}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// startServer serves a handler that dispatches to real targets and returns its
// base URL.
func startServer(t *testing.T, run routerFunc, list ...Option) (base string) {
	t.Helper()
	table := must(locate.NewTable([]locate.Block{locate.NewBlock(netip.MustParsePrefix("10.0.0.0/8"), "a")}))
	directory := locate.NewDirectory(table, map[ident.Zone]ident.Region{"a": "r"},
		[]locate.Host{locate.NewHost("h", "a", "r", "127.0.0.1:1")}, 3*time.Second)
	config := state.NewConfig()
	documents := []prof.Document{
		must(prof.NewFleet(prof.WithRegion("r", "a"))),
		must(prof.NewProfile("p", prof.WithShift(0.1, time.Minute), prof.WithRegions("r"), prof.WithClass(prof.NewClass("c")))),
		must(prof.NewService("s", "p", prof.WithHosts("s.test"), prof.WithRoute(prof.NewRoute("/", []string{"GET"})))),
	}
	for i, d := range documents {
		put := state.Stamp(state.NewPutDocument(ident.RequestID(fmt.Sprint(i)), 0, d, ""), time.Unix(1000, 0))
		config = must(state.Replay(config, ident.Revision(i+1), put))
	}
	client := target.NewClient()
	h := NewHandler("h", 1, staticViews{config: config}, run, staticDirectory{directory: directory}, client, discardRecorder{}, list...)
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	s := Serve(listener, h, NewLimits(1<<14, time.Minute, time.Minute, 16), slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(func() {
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		client.Close()
	})
	return "http://" + listener.Addr().String()
}

// Guards against refusals without a reason, and against a partial response
// that ends as if it were complete.
func TestResponses(t *testing.T) {
	complete := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "" {
			w.WriteHeader(http.StatusTeapot)
		}
		_, _ = io.WriteString(w, "whole")
	}))
	defer complete.Close()
	incomplete := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	}))
	defer incomplete.Close()
	sendTo := func(server *httptest.Server) routerFunc {
		return func(ctx context.Context, _ route.Request, x route.Exchange) route.Result {
			attempt := x.Send(ctx, server.Listener.Addr().String())
			return route.ResultOfAttempt(attempt)
		}
	}
	cases := []struct {
		name    string
		run     routerFunc
		header  http.Header
		status  int
		outcome route.Outcome
		reason  route.Reason
		body    string
		aborted bool
	}{
		{name: "complete response without the key", run: sendTo(complete), status: http.StatusOK, outcome: route.Ran, body: "whole"},
		{name: "incomplete response", run: sendTo(incomplete), status: http.StatusOK, outcome: route.Ran, aborted: true},
		{
			name: "rate", status: http.StatusTooManyRequests, outcome: route.NotRun, reason: route.ReasonRateExceeded,
			run: func(context.Context, route.Request, route.Exchange) route.Result {
				return route.Refuse(route.ReasonRateExceeded, "", time.Second)
			},
		},
		{
			name: "stale view", status: http.StatusServiceUnavailable, outcome: route.NotRun, reason: route.ReasonStaleView,
			run: func(context.Context, route.Request, route.Exchange) route.Result {
				return route.Refuse(route.ReasonStaleView, "", 0)
			},
		},
		{
			name: "bad timeout", header: http.Header{HeaderTimeout: {"soon"}}, status: http.StatusBadRequest,
			outcome: route.NotRun, reason: ReasonBadTimeout,
		},
		{
			name: "recorded response", status: http.StatusCreated, outcome: route.Ran, reason: route.ReasonReplayed, body: "again",
			run: func(ctx context.Context, _ route.Request, x route.Exchange) route.Result {
				if err := x.Replay(ctx, once.NewResult(http.StatusCreated, nil, []byte("again"))); err != nil {
					t.Error(err)
				}
				return route.ResultOfAttempt(route.NewAttemptResult("ok", route.AttemptComplete(), route.AttemptStarted(false)))
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			base := startServer(t, tc.run)
			r := must(http.NewRequest(http.MethodGet, base+"/x", nil))
			r.Header = http.Header{"Authorization": {"Bearer k.s"}}
			for name, values := range tc.header {
				r.Header[name] = values
			}
			response, err := http.DefaultClient.Do(r)
			if err != nil && tc.aborted {
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if (err != nil) != tc.aborted {
				t.Errorf("reading the body: %v, want an error: %v", err, tc.aborted)
			}
			if response.StatusCode != tc.status || response.Header.Get(HeaderOutcome) != string(tc.outcome) ||
				response.Header.Get(HeaderReason) != string(tc.reason) {
				t.Errorf("status %d, header %v; want %d, %s, %s", response.StatusCode, response.Header, tc.status, tc.outcome, tc.reason)
			}
			if tc.body != "" && string(body) != tc.body {
				t.Errorf("body %q, want %q", body, tc.body)
			}
			if !strings.HasPrefix(response.Header.Get(HeaderRequest), "h-1-") {
				t.Errorf("request id %q does not name the host", response.Header.Get(HeaderRequest))
			}
		})
	}
}

// Guards against lookups that fail without a reason or succeed for a service
// that does not exist.
func TestLookup(t *testing.T) {
	cases := []struct {
		name, query string
		status      int
		hosts       int
	}{
		{name: "by name", query: "?service=s&client=10.1.2.3", status: http.StatusOK, hosts: 1},
		{name: "by host name", query: "?service=s.test", status: http.StatusOK, hosts: 1},
		{name: "any service", query: "", status: http.StatusOK, hosts: 1},
		{name: "unknown service", query: "?service=nothing", status: http.StatusNotFound},
		{name: "malformed client", query: "?client=nobody", status: http.StatusBadRequest},
	}
	base := startServer(t, nil)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			response, err := http.Get(base + PathLookup + tc.query)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			var got LookupRecord
			if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != tc.status || len(got.Hosts) != tc.hosts {
				t.Errorf("status %d with %d hosts, want %d with %d", response.StatusCode, len(got.Hosts), tc.status, tc.hosts)
			}
		})
	}
}

// Guards against an entry host that accepts more requests than its limit.
func TestBound(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	base := startServer(t, func(context.Context, route.Request, route.Exchange) route.Result {
		close(entered)
		<-release
		return route.Refuse(route.ReasonNoSlot, "", 0)
	}, WithMaxRequests(1))
	first := make(chan error, 1)
	go func() {
		response, err := http.Get(base + "/first")
		if err == nil {
			err = response.Body.Close()
		}
		first <- err
	}()
	<-entered
	response, err := http.Get(base + "/second")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got := response.Header.Get(HeaderReason); got != string(ReasonBusy) {
		t.Errorf("reason %q, want %q", got, ReasonBusy)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
}
