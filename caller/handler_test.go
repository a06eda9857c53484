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

// runner lets a test decide the course of a request.
type runner func(ctx context.Context, q route.Request, x route.Exchange) route.Result

func (r runner) Run(ctx context.Context, q route.Request, x route.Exchange) route.Result {
	return r(ctx, q, x)
}

type views struct{ config *state.Config }

func (v views) View(context.Context) (route.View, error) {
	return route.NewView(v.config, time.Time{}), nil
}

type directories struct{ directory *locate.Directory }

func (d directories) Directory() *locate.Directory { return d.directory }

type recorder struct{}

func (recorder) Record(route.Request, route.Result, time.Time, time.Duration) {}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// start serves a handler with a dispatcher towards the given target.
func start(t *testing.T, run runner, list ...Option) (base string) {
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
	h := NewHandler("h", 1, views{config: config}, run, directories{directory: directory}, client, recorder{}, list...)
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

// Guards against refusals that lack their reason, and against a part of an
// answer that ends as if it were whole.
func TestAnswers(t *testing.T) {
	whole := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "" {
			w.WriteHeader(http.StatusTeapot)
		}
		_, _ = io.WriteString(w, "whole")
	}))
	defer whole.Close()
	cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	}))
	defer cut.Close()
	sendTo := func(server *httptest.Server) runner {
		return func(ctx context.Context, _ route.Request, x route.Exchange) route.Result {
			sent := x.Send(ctx, server.Listener.Addr().String())
			return route.ResultOfAttempt(sent)
		}
	}
	cases := []struct {
		name    string
		run     runner
		header  http.Header
		status  int
		outcome route.Outcome
		reason  route.Reason
		body    string
		broken  bool
	}{
		{name: "whole answer without the key", run: sendTo(whole), status: http.StatusOK, outcome: route.Ran, body: "whole"},
		{name: "cut answer", run: sendTo(cut), status: http.StatusOK, outcome: route.Ran, broken: true},
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
			name: "recorded answer", status: http.StatusCreated, outcome: route.Ran, reason: route.ReasonReplayed, body: "again",
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
			base := start(t, tc.run)
			r := must(http.NewRequest(http.MethodGet, base+"/x", nil))
			r.Header = http.Header{"Authorization": {"Bearer k.s"}}
			for name, values := range tc.header {
				r.Header[name] = values
			}
			response, err := http.DefaultClient.Do(r)
			if err != nil && tc.broken {
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if (err != nil) != tc.broken {
				t.Errorf("reading the body: %v, want an error: %v", err, tc.broken)
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

// Guards against look-ups that fail without a reason or answer for a service
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
	base := start(t, nil)
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

// Guards against an entry host that takes more requests than it can hold.
func TestBound(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	base := start(t, func(context.Context, route.Request, route.Exchange) route.Result {
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
