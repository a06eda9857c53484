package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/link"
	"rhubarbrack/meter"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// testDialect uses short header names.
type testDialect struct{}

var _ Dialect = testDialect{}

func (testDialect) DecodeRequest(r *http.Request) admit.Request {
	timeout, _ := time.ParseDuration(r.Header.Get("Timeout"))
	return admit.NewRequest(ident.RequestID(r.Header.Get("Id")), r.Host, r.URL.Path, r.Header.Get("Key"),
		r.Header.Get("Object"), timeout)
}

func (testDialect) SetOutboundHeaders(h http.Header, target ident.Target, left time.Duration, team ident.Team) {
	h.Del("Key")
	h.Set("Target", string(target))
	h.Set("Team", string(team))
	h.Set("Left", left.String())
}

func (testDialect) DecodeResponse(r *http.Response) Response {
	return NewResponse(ident.RequestID(r.Header.Get("Id")), r.Header.Get("Stamp") != "", r.Header.Get("Unrun") != "",
		r.StatusCode == http.StatusMisdirectedRequest, ident.None[spread.Load](), ident.None[time.Duration](),
		WithStatement(testStatement(r)))
}

// DecodeStatement implements StatementDecoder.
func (testDialect) DecodeStatement(r *http.Response) spread.Statement { return testStatement(r) }

func testStatement(r *http.Response) spread.Statement {
	if r.Header.Get("Leaving") != "" {
		return spread.NewStatement(spread.WithLeaving())
	}
	if pause, err := time.ParseDuration(r.Header.Get("Pause")); err == nil {
		return spread.NewStatement(spread.WithPause(pause))
	}
	return spread.NewStatement()
}

func (testDialect) SetResponseHeaders(http.Header, spread.Target) {}

func (testDialect) WriteRefusal(w http.ResponseWriter, r Refusal) {
	w.Header().Set("Reason", string(r.Reason()))
	w.Header().Set("Run", r.Outcome().String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// noReserve grants no tokens.
type noReserve struct{}

func (noReserve) RequestToken(context.Context, ident.Team, float64, float64) (bool, error) {
	return false, nil
}

// arrival is a request as a target saw it.
type arrival struct {
	target string
	id     string
	path   string
	team   string
	key    string
	body   string
}

// testTarget responds according to a script and records the requests.
type testTarget struct {
	mutex    sync.Mutex
	arrivals []arrival
	script   func(n int, r *http.Request) string
}

func (t *testTarget) list() []arrival {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]arrival(nil), t.arrivals...)
}

func (t *testTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		// Scripts tell connections apart by their remote address.
		q.RemoteAddr = c.RemoteAddr().String()
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		t.mutex.Lock()
		t.arrivals = append(t.arrivals, arrival{
			target: q.Header.Get("Target"), id: q.Header.Get("Id"), path: q.RequestURI, team: q.Header.Get("Team"),
			key: q.Header.Get("Key"), body: string(body),
		})
		n := len(t.arrivals)
		t.mutex.Unlock()
		// A leading exclamation mark closes the connection after the response.
		text, ends := strings.CutPrefix(t.script(n, q), "!")
		if _, err := io.WriteString(c, text); err != nil || text == "" || ends {
			return
		}
	}
}

func targetResponse(r *http.Request, status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("Id"), len(body), body)
}

func notRun(r *http.Request) string {
	return "HTTP/1.1 503 x\r\nId: " + r.Header.Get("Id") + "\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
}

// testHost is an entry host with two targets at one address.
type testHost struct {
	address       string
	targetAddress string
	target        *testTarget
	front         *Front
	handler       *Handler
}

func newTestHost(t testing.TB, script func(n int, r *http.Request) string) *testHost {
	t.Helper()
	s, address := startTestTarget(t, script)
	h := newTestHostAt(t, address)
	h.target = s
	return h
}

// startTestTarget starts a target and returns its address.
func startTestTarget(t testing.TB, script func(n int, r *http.Request) string) (*testTarget, string) {
	t.Helper()
	s := &testTarget{script: script}
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s, l.Addr().String()
}

// testConnections is the connection limit of a testHost.
const testConnections = 100

// newTestHostAt returns a host whose two targets have the given address.
func newTestHostAt(t testing.TB, targets string) *testHost {
	t.Helper()
	return newLoggedTestHost(t, targets, slog.New(slog.DiscardHandler))
}

// newLoggedTestHost returns a host whose two targets have the given address and
// whose request handler writes to a log.
func newLoggedTestHost(t testing.TB, targets string, log *slog.Logger) *testHost {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	pool, err := link.StartPool(ctx, system, clock.Wall())
	if err != nil {
		t.Fatal(err)
	}
	bounds := admit.NewBounds(5*time.Second, 10*time.Second, 0.2, 1000, 1.5, 5)
	admission, err := StartAdmission(ctx, system, clock.Wall(), slog.New(slog.DiscardHandler), admit.NewController("z", "r", bounds), pool, testDialect{})
	if err != nil {
		t.Fatal(err)
	}
	admission.Configure(testConfig(t))
	var list []spread.Target
	for _, id := range []ident.Target{"t1", "t2"} {
		list = append(list, spread.NewTarget(id, "s", targets, "z", "r", 4, false, time.Time{}))
	}
	admission.SetTargets(list)
	handler := NewHandler(admission, pool, testDialect{}, noReserve{}, clock.Wall(), log, meter.New())
	front, err := StartFront(ctx, system, listen(t), handler, testConnections, clock.Wall(), log)
	if err != nil {
		t.Fatal(err)
	}
	front.SetLimits(scheme.NewLimits(1<<16, 1<<20, time.Second, time.Minute))
	address := front.listener.Addr().String()
	t.Cleanup(func() {
		cancel()
		<-front.ref.Done()
		system.Shutdown()
	})
	return &testHost{address: address, targetAddress: targets, front: front, handler: handler}
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func testConfig(t testing.TB) *scheme.Config {
	t.Helper()
	services := []scheme.WeightedService{scheme.NewWeightedService("s", 1)}
	c, err := scheme.New(1, scheme.Limits{},
		[]*scheme.Team{scheme.NewTeam("team", []string{"key"}, ident.None[int](), 0, 0, nil)},
		[]*scheme.Route{
			scheme.NewRoute("safe", "h", "/safe/", scheme.Retryable, services, 2*time.Second, 2, scheme.WithAffinity(true)),
			scheme.NewRoute("once", "h", "/once/", scheme.AtMostOnce, services, 2*time.Second, 2, scheme.WithAffinity(true)),
			scheme.NewRoute("long", "h", "/long/", scheme.Retryable, services, time.Hour, 2),
			scheme.NewRoute("open", "h", "/open/", scheme.Retryable, services, 2*time.Second, 2, scheme.WithPublicAccess(true)),
		}, []scheme.Service{scheme.NewService("s", "/health", 10, 0, 0)})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// call sends one request and returns the response and its body.
func (h *testHost) call(t testing.TB, client *http.Client, method, path, key string, body io.Reader) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+h.address+path, body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "id"+strconv.Itoa(len(path)))
	r.Header.Set("Object", "o")
	r.Header.Set("Team", "forged")
	if key != "" {
		r.Header.Set("Key", key)
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

func newClient(t testing.TB) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func BenchmarkHandler(b *testing.B) {
	h := newTestHost(b, func(_ int, r *http.Request) string { return targetResponse(r, 200, "body") })
	client := newClient(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := h.call(b, client, http.MethodGet, "/safe/1", "key", nil); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRefusal(b *testing.B) {
	h := newTestHost(b, func(_ int, r *http.Request) string { return targetResponse(r, 200, "body") })
	client := newClient(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := h.call(b, client, http.MethodGet, "/safe/1", "", nil); err != nil {
			b.Fatal(err)
		}
	}
}
