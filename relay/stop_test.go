package relay

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/clock"
	"rhubarbrack/link"
	"rhubarbrack/meter"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// slowHost is an entry host with a slow link. Its clock stands still unless a test
// advances it, so that long responses wait for the link.
type slowHost struct {
	*testHost
	clock *clock.Manual
	pacer *Pacer
}

// newSlowHost returns a host whose link carries the given bytes of long responses
// per second, with targets that respond according to a script.
func newSlowHost(t *testing.T, rate float64, script func(n int, r *http.Request) string) *slowHost {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	system := tasks.NewSystem(log)
	c := clock.NewManual(time.Now())
	pool, err := link.StartPool(ctx, system, clock.Wall())
	if err != nil {
		t.Fatal(err)
	}
	controller := admit.NewController("z", "r", admit.NewBounds(5*time.Second, 10*time.Second, 0.2, 1000, 1.5, 5))
	controller.SetLinkRate(rate)
	admission, err := StartAdmission(ctx, system, c, log, controller, pool, testDialect{})
	if err != nil {
		t.Fatal(err)
	}
	target, address := startTestTarget(t, script)
	admission.Configure(testConfig(t))
	admission.SetTargets([]spread.Target{spread.NewTarget("t1", "s", address, "z", "r", 100, false, time.Time{})})
	pacer, err := StartPacer(ctx, system, c, rate/maxPacedShare)
	if err != nil {
		t.Fatal(err)
	}
	handler := NewHandler(admission, pool, testDialect{}, noReserve{}, c, log, meter.New(), WithPacer(pacer))
	front, err := StartFront(ctx, system, listen(t), handler, testConnections, clock.Wall(), log)
	if err != nil {
		t.Fatal(err)
	}
	front.SetLimits(scheme.NewLimits(1<<16, 1<<20, time.Second, time.Minute))
	t.Cleanup(func() {
		cancel()
		<-front.ref.Done()
		system.Shutdown()
	})
	h := &testHost{address: front.listener.Addr().String(), target: target, front: front, handler: handler}
	return &slowHost{testHost: h, clock: c, pacer: pacer}
}

// callResult is the end of a request.
type callResult struct {
	status int
	reason string
	run    string
	body   string
	err    error
}

// start sends a request and returns its result later.
func (h *slowHost) start(t *testing.T, path string) <-chan callResult {
	t.Helper()
	client := newClient(t)
	result := make(chan callResult, 1)
	go func() {
		response, body, err := h.call(t, client, http.MethodGet, path, "key", nil)
		r := callResult{body: body, err: err}
		if response != nil {
			r.status, r.reason, r.run = response.StatusCode, response.Header.Get("Reason"), response.Header.Get("Run")
		}
		result <- r
	}()
	return result
}

// awaitWork returns once the accepted work fulfils a condition.
func (h *slowHost) awaitWork(t *testing.T, isReached func(w admit.Work) bool) {
	t.Helper()
	for {
		w, err := h.handler.admission.Work(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if isReached(w) {
			return
		}
		<-time.After(time.Millisecond)
	}
}

// advanceUntil advances the clock until a request has ended.
func (h *slowHost) advanceUntil(t *testing.T, result <-chan callResult) callResult {
	t.Helper()
	for {
		select {
		case r := <-result:
			return r
		case <-t.Context().Done():
			t.Fatal("the request has not ended")
		case <-time.After(time.Millisecond):
			h.clock.Advance(20 * time.Millisecond)
		}
	}
}

// TestStopWhileLinkIsBusy guards against a stopping host that takes a long response
// which its link cannot send before the end of the grace period, behind those that
// wait for it already.
func TestStopWhileLinkIsBusy(t *testing.T) {
	const rate, size = 64 << 10, 128 << 10
	cases := []struct {
		name   string
		path   string
		left   time.Duration
		result callResult
	}{
		{"too late for a long response", "/long/2", 5 * time.Second, callResult{status: 503, reason: "not-ready", run: "not-run"}},
		{"in time for a long response", "/long/2", 8 * time.Second, callResult{status: 200, body: strings.Repeat("y", size)}},
		{"short response", "/safe/2", 5 * time.Second, callResult{status: 200, body: "ok"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			arrived := make(chan string, 10)
			h := newSlowHost(t, rate, func(_ int, r *http.Request) string {
				arrived <- r.URL.Path
				if strings.HasPrefix(r.URL.Path, "/long/") {
					return targetResponse(r, 200, strings.Repeat("y", size))
				}
				return targetResponse(r, 200, "ok")
			})
			first := h.start(t, "/long/1")
			<-arrived
			h.awaitWork(t, func(w admit.Work) bool { return w.Begun() == 1 && w.Bytes() < size })
			h.handler.admission.StopBy(h.clock.Now().Add(c.left))
			second := h.start(t, c.path)
			var got callResult
			select {
			case <-arrived:
				got = h.advanceUntil(t, second)
			case got = <-second:
			}
			if got != c.result {
				t.Errorf("status %d, %s, %s, %d bytes, error %v", got.status, got.reason, got.run, len(got.body), got.err)
			}
			if got := h.advanceUntil(t, first); got.err != nil || len(got.body) != size {
				t.Errorf("accepted before the stop: %d bytes, error %v", len(got.body), got.err)
			}
		})
	}
}

// TestEnd guards against a long response that is cut before the process exits, and
// against a request without a response that gets no answer.
func TestEnd(t *testing.T) {
	const rate, size = 64 << 10, 128 << 10
	cases := []struct {
		name   string
		path   string
		result callResult
	}{
		{"begun", "/long/1", callResult{status: 200, body: strings.Repeat("y", size)}},
		{"no response", "/long/silent", callResult{status: 503, reason: "out-of-time", run: "late"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			arrived, silence := make(chan struct{}, 1), make(chan struct{})
			defer close(silence)
			h := newSlowHost(t, rate, func(_ int, r *http.Request) string {
				arrived <- struct{}{}
				if r.URL.Path == "/long/silent" {
					<-silence
				}
				return targetResponse(r, 200, strings.Repeat("y", size))
			})
			result := h.start(t, c.path)
			<-arrived
			if c.result.body != "" {
				h.awaitWork(t, func(w admit.Work) bool { return w.Begun() == 1 && w.Bytes() < size })
			}
			h.handler.End()
			if got := h.advanceUntil(t, result); got != c.result {
				t.Errorf("status %d, %s, %s, %d bytes, error %v", got.status, got.reason, got.run, len(got.body), got.err)
			}
		})
	}
}

// TestStopAfterHead guards against a stopping host that expects long responses on a
// route because the responses to HEAD requests stated a length.
func TestStopAfterHead(t *testing.T) {
	h := newSlowHost(t, 64<<10, func(_ int, r *http.Request) string {
		if r.Method == http.MethodHead {
			return "HTTP/1.1 200 x\r\nId: " + r.Header.Get("Id") + "\r\nStamp: s\r\nContent-Length: 1000000\r\n\r\n"
		}
		return targetResponse(r, 200, "ok")
	})
	client := newClient(t)
	response, _, err := h.call(t, client, http.MethodHead, "/long/1", "key", nil)
	if err != nil || response.ContentLength != 1000000 {
		t.Fatalf("response to HEAD: %v, error %v", response, err)
	}
	h.handler.admission.StopBy(h.clock.Now().Add(5 * time.Second))
	if response, body, err := h.call(t, client, http.MethodGet, "/long/2", "key", nil); err != nil || body != "ok" {
		t.Errorf("response %v, body %q, error %v; want ok", response, body, err)
	}
}
