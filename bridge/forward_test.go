package bridge_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/bridge"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/link"
	"rhubarbrack/meter"
	"rhubarbrack/reach"
	"rhubarbrack/relay"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// dialect uses short header names.
type dialect struct{}

var _ relay.Dialect = dialect{}

func (dialect) DecodeRequest(r *http.Request) admit.Request {
	return admit.NewRequest(ident.RequestID(r.Header.Get("Id")), r.Host, r.URL.Path, r.Header.Get("Key"), "o", 0)
}

func (dialect) SetOutboundHeaders(h http.Header, target ident.Target, _ time.Duration, team ident.Team) {
	h.Del("Key")
	h.Set("Target", string(target))
	h.Set("Team", string(team))
}

func (dialect) DecodeResponse(r *http.Response) relay.Response {
	return relay.NewResponse(ident.RequestID(r.Header.Get("Id")), r.Header.Get("Stamp") != "", r.Header.Get("Unrun") != "",
		false, ident.None[spread.Load](), ident.None[time.Duration](), relay.WithStatement(dialect{}.DecodeStatement(r)))
}

func (dialect) DecodeStatement(r *http.Response) spread.Statement {
	rate, err := strconv.ParseFloat(r.Header.Get("Limit"), 64)
	if err != nil {
		return spread.NewStatement()
	}
	return spread.NewStatement(spread.WithLimit(spread.NewRateLimit(rate)))
}

func (dialect) SetResponseHeaders(http.Header, spread.Target) {}

func (dialect) WriteRefusal(w http.ResponseWriter, r relay.Refusal) {
	w.Header().Set("Id", string(r.Request()))
	w.Header().Set("Reason", string(r.Reason()))
	w.Header().Set("Run", r.Outcome().String())
	w.Header().Set("After", r.RetryAfter().String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

type noReserve struct{}

func (noReserve) RequestToken(context.Context, ident.Team, float64, float64) (bool, error) {
	return false, nil
}

// targetServer is a target that records what it gets.
type targetServer struct {
	mutex    sync.Mutex
	arrivals []http.Header
	bodies   []string
	respond  func(http.ResponseWriter)
}

// ServeHTTP implements http.Handler.
func (s *targetServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mutex.Lock()
	s.arrivals, s.bodies = append(s.arrivals, r.Header.Clone()), append(s.bodies, string(body))
	s.mutex.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Stamp", "s")
	s.respond(w)
}

func (s *targetServer) list() []http.Header {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]http.Header(nil), s.arrivals...)
}

// host is an entry host with a front end for callers and one for peers.
type host struct {
	admission   *relay.Admission
	handler     *relay.Handler
	peerHandler *relay.Handler
	callers     string
	peers       string
}

// closedAddress is an address at which nothing listens.
const closedAddress = "127.0.0.1:1"

func newHost(t *testing.T, c clock.Clock, name ident.Host, region ident.Region, targets string) *host {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	system := tasks.NewSystem(log)
	t.Cleanup(system.Shutdown)
	ctx := t.Context()
	pool, err := link.StartPool(ctx, system, c)
	if err != nil {
		t.Fatal(err)
	}
	controller := admit.NewController("z", region, admit.NewBounds(5*time.Second, 10*time.Second, 0.2, 1000, 1.5, 5))
	controller.UsePeers(reach.NewPeers(name, region))
	h := &host{}
	if h.admission, err = relay.StartAdmission(ctx, system, c, log, controller, pool, dialect{}); err != nil {
		t.Fatal(err)
	}
	services := []scheme.WeightedService{scheme.NewWeightedService("s", 1)}
	config, err := scheme.New(1, scheme.Limits{},
		[]*scheme.Team{
			scheme.NewTeam("team", []string{"key"}, ident.None[int](), 0, 0, nil),
			scheme.NewTeam("regional", []string{"regional"}, ident.None[int](), 0, 0, []ident.Region{"other"}),
		},
		[]*scheme.Route{
			scheme.NewRoute("safe", "h", "/safe/", scheme.Retryable, services, 2*time.Second, 2, scheme.WithAffinity(true)),
			scheme.NewRoute("once", "h", "/once/", scheme.AtMostOnce, services, 2*time.Second, 2),
		}, []scheme.Service{scheme.NewService("s", "/health", 10, 0, 0)})
	if err != nil {
		t.Fatal(err)
	}
	h.admission.Configure(config)
	var list []spread.Target
	for i := range 4 {
		list = append(list, spread.NewTarget(ident.Target(fmt.Sprint("t", i)), "s", targets, "z", "r", 4, false, time.Time{},
			spread.WithStart(7)))
	}
	h.admission.SetTargets(list)
	h.handler = relay.NewHandler(h.admission, pool, dialect{}, noReserve{}, c, log, meter.New(), relay.WithPeers(bridge.Codec{}))
	h.peerHandler = relay.NewHandler(h.admission, pool, bridge.NewDialect(dialect{}, log), noReserve{}, c, log, meter.New())
	serve := func(handler *relay.Handler) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		front, err := relay.StartFront(ctx, system, l, handler, 100, c, log)
		if err != nil {
			t.Fatal(err)
		}
		front.SetLimits(scheme.NewLimits(1<<16, 1<<20, time.Second, time.Minute))
		return l.Addr().String()
	}
	h.callers, h.peers = serve(h.handler), serve(h.peerHandler)
	return h
}

func newTarget(t *testing.T, respond func(http.ResponseWriter)) (*targetServer, string) {
	t.Helper()
	s := &targetServer{respond: respond}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.Listener.Addr().String()
}

// call sends a request of a caller.
func (h *host) call(t *testing.T, method, path, key, body string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", key)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(data)
}

func ok(w http.ResponseWriter) { _, _ = io.WriteString(w, "done") }

// TestRequestThroughPeer guards against callers of a host without a path to the
// targets that are not served, against requests that run twice or for another team
// on the way through another host, and against untrue refusals.
func TestRequestThroughPeer(t *testing.T) {
	longBody := strings.Repeat("x", 200<<10)
	cases := []struct {
		name              string
		method, path, key string
		body              string
		respond           func(http.ResponseWriter)
		// peerTargets overrides the address of the peer's targets.
		peerTargets string
		prepare     func(peer *host)
		status      int
		reason, run string
		arrivals    int
	}{
		{name: "may run twice", method: "GET", path: "/safe/1", key: "key", respond: ok, status: 200, arrivals: 1},
		{name: "must not run twice", method: "POST", path: "/once/1", key: "key", body: "amount", respond: ok, status: 200, arrivals: 1},
		{name: "long body", method: "POST", path: "/once/1", key: "key", body: longBody, respond: ok, status: 200, arrivals: 1},
		{
			name: "target fails a request that must not run twice", method: "POST", path: "/once/1", key: "key",
			respond: func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, status: 500, arrivals: 1,
		},
		{
			name: "targets fail a request that may run twice", method: "GET", path: "/safe/1", key: "key",
			respond: func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, status: 500, arrivals: 2,
		},
		{
			name: "connection to the target breaks", method: "POST", path: "/once/1", key: "key",
			respond: func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, status: 503, reason: "no-attempts", run: "unknown", arrivals: 1,
		},
		{
			name: "targets refuse", method: "POST", path: "/once/1", key: "key",
			respond: func(w http.ResponseWriter) {
				w.Header().Set("Unrun", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}, status: 503, reason: "no-attempts", run: "not-run", arrivals: 2,
		},
		{
			name: "peer reaches no target either", method: "POST", path: "/once/1", key: "key", respond: ok,
			peerTargets: closedAddress, status: 503, reason: "no-target", run: "not-run",
		},
		{
			name: "peer stops", method: "POST", path: "/once/1", key: "key", respond: ok,
			prepare: func(peer *host) { peer.peerHandler.Stop() }, status: 503, reason: "no-target", run: "not-run",
		},
		{
			name: "team with other regions", method: "POST", path: "/once/1", key: "regional", respond: ok,
			status: 503, reason: "no-target", run: "not-run",
		},
		{name: "unknown key", method: "GET", path: "/safe/1", key: "x", respond: ok, status: 503, reason: "unknown-key", run: "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, address := newTarget(t, c.respond)
			if c.peerTargets != "" {
				address = c.peerTargets
			}
			peer := newHost(t, clock.Wall(), "peer", "r", address)
			cutOff := newHost(t, clock.Wall(), "cut-off", "r", closedAddress)
			cutOff.admission.SetPeers([]reach.Peer{reach.NewPeer(peer.peers, "r")})
			if c.prepare != nil {
				c.prepare(peer)
			}
			r, body := cutOff.call(t, c.method, c.path, c.key, c.body)
			if r.StatusCode != c.status || r.Header.Get("Reason") != c.reason || r.Header.Get("Run") != c.run {
				t.Errorf("status %d, reason %q, run %q", r.StatusCode, r.Header.Get("Reason"), r.Header.Get("Run"))
			}
			if c.status == http.StatusOK && body != "done" {
				t.Errorf("body %q", body)
			}
			for name := range r.Header {
				if strings.HasPrefix(name, "Rhubarbrack-") {
					t.Errorf("the caller got the header %s", name)
				}
			}
			arrivals := server.list()
			if len(arrivals) != c.arrivals {
				t.Errorf("%d arrivals, want %d", len(arrivals), c.arrivals)
			}
			for i, h := range arrivals {
				if h.Get("Team") != "team" || h.Get("Key") != "" || h.Get("Rhubarbrack-Terms") != "" || h.Get("Target") == "" {
					t.Errorf("a target got the header %v", h)
				}
				if server.bodies[i] != c.body {
					t.Errorf("a target got a body of %d bytes, want %d", len(server.bodies[i]), len(c.body))
				}
			}
		})
	}
}

// TestForgedTerms guards against callers who choose the team or the service of a
// request themselves.
func TestForgedTerms(t *testing.T) {
	server, address := newTarget(t, ok)
	h := newHost(t, clock.Wall(), "h", "r", address)
	r, err := http.NewRequest(http.MethodGet, "http://"+h.callers+"/safe/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Rhubarbrack-Terms", `{"kind":1,"service":"s","team":"team","attempts":1}`)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.Header.Get("Reason") != "no-key" || len(server.list()) > 0 {
		t.Errorf("status %d, reason %q, %d arrivals", response.StatusCode, response.Header.Get("Reason"), len(server.list()))
	}
}
