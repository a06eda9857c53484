package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// reportChannel is a listener that sends each report to a channel.
type reportChannel chan Report

func (r reportChannel) Tell(message any) { r <- message.(Report) }

// reportServer responds with the health and load that a test sets.
type reportServer struct {
	health, load atomic.Pointer[string]
}

func (r *reportServer) set(health, load string) {
	r.health.Store(&health)
	r.load.Store(&load)
}

func (r *reportServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body := *r.health.Load()
	if request.URL.Path == PathLoad {
		body = *r.load.Load()
	}
	if body == "" {
		http.Error(w, "no report", http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, body)
}

func startProber(t *testing.T, c clock.Clock, listener ReportListener, options ...ProbeOption) *Prober {
	t.Helper()
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	options = append([]ProbeOption{WithProbeClock(c), WithProbeLogger(slog.New(slog.DiscardHandler)), WithProbeInterval(time.Second),
		WithProbeTimeout(time.Minute)}, options...)
	p, err := StartProber(context.Background(), system, listener, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Stop()
		<-p.Done()
		system.Shutdown()
	})
	return p
}

// Guards against reports that stop or are wrong but look recent. Each step is
// one round, a second after the previous one.
func TestProberAges(t *testing.T) {
	const ready, load = `{"state":"ready"}`, `{"slots":4,"busy":2,"queued":1,"age-ms":0}`
	steps := []struct {
		name         string
		health, load string
		want         State
		busy         int
		healthAge    time.Duration
		loadAge      time.Duration
		wantErr      error
	}{
		{name: "both", health: ready, load: load, want: Ready, busy: 2},
		{name: "load fails", health: `{"state":"leaving"}`, want: Leaving, busy: 2, loadAge: time.Second, wantErr: ErrMalformedReport},
		{name: "both fail", want: Leaving, busy: 2, healthAge: time.Second, loadAge: 2 * time.Second, wantErr: ErrMalformedReport},
		{name: "unknown state", health: `{"state":"fine"}`, load: load, want: Leaving, busy: 2, healthAge: 2 * time.Second,
			loadAge: 3 * time.Second, wantErr: ErrMalformedReport},
		{name: "negative load", health: ready, load: `{"slots":4,"busy":-1}`, want: Ready, busy: 2, loadAge: 4 * time.Second, wantErr: ErrMalformedReport},
		{name: "not JSON", health: ready, load: "busy", want: Ready, busy: 2, loadAge: 5 * time.Second, wantErr: ErrMalformedReport},
		{name: "too large", health: ready, load: fmt.Sprintf(`{"slots":4,"pad":%q}`, make([]byte, maxReportBytes)), want: Ready, busy: 2,
			loadAge: 6 * time.Second, wantErr: ErrMalformedReport},
		{name: "stale by its own statement", health: ready, load: `{"slots":4,"busy":3,"age-ms":1500}`, want: Ready, busy: 3,
			loadAge: 1500 * time.Millisecond},
	}
	r := &reportServer{}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	c := newNotifyingClock()
	listener := make(reportChannel, 1)
	p := startProber(t, c, listener)
	for i, s := range steps {
		r.set(s.health, s.load)
		if i == 0 {
			p.SetEndpoints([]Endpoint{NewEndpoint("target-1", server.Listener.Addr().String())})
		} else {
			c.advance(time.Second)
		}
		got := <-listener
		state, _ := got.Health()
		_, busy, _, _ := got.Load()
		if got.Target() != "target-1" || state != s.want || busy != s.busy || !errors.Is(got.Err(), s.wantErr) {
			t.Errorf("%s: %s %s, busy %d, %v; want %s, %d, %v", s.name, got.Target(), state, busy, got.Err(), s.want, s.busy, s.wantErr)
		}
		if got.HealthAge(c.Now()) != s.healthAge || got.LoadAge(c.Now()) != s.loadAge {
			t.Errorf("%s: ages %v, %v; want %v, %v", s.name, got.HealthAge(c.Now()), got.LoadAge(c.Now()), s.healthAge, s.loadAge)
		}
	}
}

// notifyingClock is a manual clock that signals when a timer has been set.
type notifyingClock struct {
	*clock.Manual
	timerSet chan struct{}
}

func newNotifyingClock() notifyingClock {
	return notifyingClock{Manual: clock.NewManual(time.Unix(1000, 0)), timerSet: make(chan struct{}, 64)}
}

func (c notifyingClock) NewTimer(d time.Duration) clock.Timer {
	defer func() { c.timerSet <- struct{}{} }()
	return c.Manual.NewTimer(d)
}

// advance moves the clock after the next timer has been set.
func (c notifyingClock) advance(d time.Duration) {
	<-c.timerSet
	c.Advance(d)
}

// Guards against more concurrent probes than the limit, and against an
// unresponsive target that prevents the others from being probed.
func TestProberIsBounded(t *testing.T) {
	const parallel, silent = 3, 2
	var running, peak atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for old := peak.Load(); now > old && !peak.CompareAndSwap(old, now); old = peak.Load() {
		}
		_, _ = io.WriteString(w, `{"state":"ready"}`)
	}))
	t.Cleanup(server.Close)
	unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(unresponsive.Close)
	var endpoints []Endpoint
	for i := range 20 {
		address := server.Listener.Addr().String()
		if i < silent {
			address = unresponsive.Listener.Addr().String()
		}
		endpoints = append(endpoints, NewEndpoint(ident.Target(fmt.Sprintf("target-%d", i)), address))
	}
	listener := make(reportChannel, len(endpoints))
	p := startProber(t, clock.NewManual(time.Unix(1000, 0)), listener, WithMaxProbes(parallel))
	p.SetEndpoints(endpoints)
	seen := ident.NewSet[ident.Target]()
	for range len(endpoints) - silent {
		seen.Add((<-listener).Target())
	}
	if seen.Len() != len(endpoints)-silent {
		t.Errorf("%d targets reported, want %d", seen.Len(), len(endpoints)-silent)
	}
	if got := peak.Load(); got > parallel {
		t.Errorf("%d probes at a time, want at most %d", got, parallel)
	}
}

// Guards against a report from an address that the target no longer has.
func TestProberDropsReplaced(t *testing.T) {
	requested, release := make(chan struct{}, 1), make(chan struct{})
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case requested <- struct{}{}:
		default:
		}
		<-release
		_, _ = io.WriteString(w, `{"state":"broken"}`)
	}))
	t.Cleanup(old.Close)
	r := &reportServer{}
	r.set(`{"state":"ready"}`, `{}`)
	fresh := httptest.NewServer(r)
	t.Cleanup(fresh.Close)
	c := clock.NewManual(time.Unix(1000, 0))
	listener := make(reportChannel, 4)
	p := startProber(t, c, listener, WithMaxProbes(1))
	p.SetEndpoints([]Endpoint{NewEndpoint("target-1", old.Listener.Addr().String())})
	<-requested
	p.SetEndpoints([]Endpoint{NewEndpoint("target-1", fresh.Listener.Addr().String())})
	close(release)
	if got := <-listener; got.Address() != fresh.Listener.Addr().String() {
		t.Errorf("first report from %s, want %s", got.Address(), fresh.Listener.Addr())
	}
}
