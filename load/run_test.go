package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbrack/addrs"
	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

// fakeEntryHost is a fake entry host whose responses to requests are written by
// the script of a test. It records the idempotency keys and the authorization
// headers in order of arrival.
type fakeEntryHost struct {
	*httptest.Server
	script func(n int, w http.ResponseWriter, r *http.Request)

	mutex      sync.Mutex
	keys       []string
	auth       []string
	lookups    int
	extraHosts string
}

func startFakeEntryHost(t *testing.T, script func(n int, w http.ResponseWriter, r *http.Request)) *fakeEntryHost {
	t.Helper()
	e := &fakeEntryHost{script: script}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathLookup, e.lookup)
	mux.HandleFunc("/", e.serve)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEntryHost) address() string { return e.Listener.Addr().String() }

func (e *fakeEntryHost) lookup(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	e.lookups++
	e.mutex.Unlock()
	if q := r.URL.Query(); q.Get("service") != "catalogue" || q.Get("client") != "127.0.0.1" {
		http.Error(w, "unexpected query", http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, `{"hosts":[%s{"host":"entry-1","address":%q,"weight":1.0}],"ttl-seconds":60}`, e.extraHosts, e.address())
}

func (e *fakeEntryHost) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	e.mutex.Lock()
	e.keys = append(e.keys, r.Header.Get(headerIdempotencyKey))
	e.auth = append(e.auth, r.Header.Get("Authorization"))
	n := len(e.keys)
	e.mutex.Unlock()
	e.script(n, w, r)
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func writeOutcome(w http.ResponseWriter, status int, outcome, reason string) {
	w.Header().Set(headerOutcome, outcome)
	w.Header().Set(headerReason, reason)
	w.WriteHeader(status)
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// Guards against requests that are resent under another key after a lost
// response or counted wrongly, and against refusals that are attributed to the
// system although the team caused them.
func TestExchange(t *testing.T) {
	now := time.Unix(1000, 0)
	lostOnce := func(n int, w http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			abortConnection(w)
		}
		writeOutcome(w, 200, "ran", "")
	}
	refuse := func(_ int, w http.ResponseWriter, _ *http.Request) {
		writeOutcome(w, 429, headerValueNotRun, reasonRate)
	}
	keyed := NewRoute("catalogue", "POST", "/deposits", WithIdempotencyKey(), WithBodyBytes(10))
	plain := NewRoute("catalogue", "GET", "/items")
	cases := []struct {
		name     string
		script   func(int, http.ResponseWriter, *http.Request)
		route    Route
		burst    float64
		spent    int
		want     outcome
		attempts int
		resends  int
		wrongful int
	}{
		{name: "ran", script: func(_ int, w http.ResponseWriter, _ *http.Request) { writeOutcome(w, 200, "ran", "") },
			route: plain, burst: 1, want: ran, attempts: 1},
		{name: "lost, resent with the same key", script: lostOnce, route: keyed, burst: 2, want: ran, attempts: 2, resends: 1},
		{name: "lost without key", script: lostOnce, route: plain, burst: 1, want: unknown, attempts: 1},
		{name: "always lost", script: func(_ int, w http.ResponseWriter, _ *http.Request) { abortConnection(w) },
			route: keyed, burst: 9, want: unknown, attempts: 4, resends: 3},
		{name: "first attempt runs", route: keyed, burst: 2, want: ran, attempts: 2, resends: 1,
			script: func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 1 {
					writeOutcome(w, 409, headerValueUnknown, reasonRunning)
					return
				}
				writeOutcome(w, 200, "ran", "")
			}},
		{name: "unknown is not resent", route: keyed, burst: 1, want: unknown, attempts: 1,
			script: func(_ int, w http.ResponseWriter, _ *http.Request) { writeOutcome(w, 502, headerValueUnknown, "lost") }},
		{name: "refused within the rate", script: refuse, route: plain, burst: 1, want: refused, attempts: 1, wrongful: 1},
		{name: "refused beyond the burst", script: refuse, route: plain, burst: 2, spent: 2, want: refused, attempts: 1},
		{name: "refused for another reason", route: plain, burst: 1, want: refused, attempts: 1,
			script: func(_ int, w http.ResponseWriter, _ *http.Request) {
				writeOutcome(w, 503, headerValueNotRun, "overload")
			}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := startFakeEntryHost(t, tc.script)
			team := NewTeam("a", "secret", 1, tc.burst, 1, tc.route)
			p, err := NewPlan(e.address(), WithTeams(team), WithResends(3, 0), WithTimeout(time.Hour))
			if err != nil {
				t.Fatal(err)
			}
			r := newTestRunner(t, p, now)
			b := newBucket(1, tc.burst, 0, now)
			for range tc.spent {
				b.charge(now)
			}
			x := exchange{runner: r, team: team, route: tc.route, bucket: b, scheduled: now.Add(-2 * time.Second), requestID: "id-1"}
			got := x.run(context.Background())
			stats := newGroupStats()
			stats.add(got)
			if got.outcome != tc.want || stats.wrongful != tc.wrongful || got.resends != tc.resends {
				t.Errorf("outcome %d, %d wrongful, %d resends; want %d, %d, %d",
					got.outcome, stats.wrongful, got.resends, tc.want, tc.wrongful, tc.resends)
			}
			if got.latency != 2*time.Second || got.lateness != 2*time.Second {
				t.Errorf("latency %v, lateness %v; want 2 s from the scheduled arrival", got.latency, got.lateness)
			}
			e.checkAttempts(t, tc.attempts, tc.route.hasIdempotencyKey)
		})
	}
}

func (e *fakeEntryHost) checkAttempts(t *testing.T, attempts int, keyed bool) {
	t.Helper()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.keys) != attempts || e.lookups != 1 {
		t.Errorf("%d attempts and %d lookups arrived, want %d and 1", len(e.keys), e.lookups, attempts)
	}
	for i, key := range e.keys {
		if (key == "id-1") != keyed || e.auth[i] != "Bearer secret" {
			t.Errorf("attempt %d had key %q and authorization %q", i+1, key, e.auth[i])
		}
	}
}

// newTestRunner returns a runner whose clock does not advance.
func newTestRunner(t *testing.T, p Plan, now time.Time) *runner {
	t.Helper()
	transport := newTransport()
	s := settings{clock: clock.NewManual(now), log: discardLog(), http: transport}
	r := &runner{settings: s, plan: p, start: now}
	system := tasks.NewSystem(discardLog())
	ctx, cancel := context.WithCancel(context.Background())
	if err := r.startTasks(ctx, system); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-r.resolver.Done()
		<-r.collector.Done()
		system.Shutdown()
		transport.CloseIdleConnections()
	})
	return r
}

// Guards against requests that fail because one of the hosts is down, and
// against charging the team for attempts that reached no host.
func TestExchangeFailover(t *testing.T) {
	addresses, err := addrs.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = addresses.Release() })
	// Nobody listens at the address.
	down, err := addresses.Next()
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name       string
		extraHosts string
		want       outcome
	}{
		{name: "one of two", extraHosts: fmt.Sprintf(`{"host":"entry-2","address":%q,"weight":1e12},`, down), want: ran},
		{name: "none", want: ran},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := startFakeEntryHost(t, func(_ int, w http.ResponseWriter, _ *http.Request) { writeOutcome(w, 200, "ran", "") })
			e.extraHosts = tc.extraHosts
			team := NewTeam("a", "secret", 1, 1, 1, NewRoute("catalogue", "GET", "/items"))
			p, err := NewPlan(e.address(), WithTeams(team), WithTimeout(time.Hour))
			if err != nil {
				t.Fatal(err)
			}
			now := time.Unix(1000, 0)
			x := exchange{runner: newTestRunner(t, p, now), team: team, route: team.routes[0], bucket: newBucket(1, 1, 0, now), scheduled: now}
			if got := x.run(context.Background()); got.outcome != tc.want || got.resends != 0 || !x.charged.withinLimit {
				t.Errorf("outcome %d, %d resends, within the rate %v; want %d, 0, true", got.outcome, got.resends, x.charged.withinLimit, tc.want)
			}
			e.checkAttempts(t, 1, false)
		})
	}
}

// Guards against a closed loop, in which an arrival waits for earlier responses:
// the host responds to no request until the last one has arrived.
func TestRunIsOpenLoop(t *testing.T) {
	team := NewTeam("a", "", 1000, 1000, 200, NewRoute("catalogue", "GET", "/items"))
	p, err := NewPlan("127.0.0.1:1", WithTeams(team), WithDuration(200*time.Millisecond), WithTimeout(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	arrivals := 0
	for s := newSchedule(p.seed, 1, team.offered, 0, 1, team.routes); ; arrivals++ {
		if offset, _ := s.next(); offset >= p.duration {
			break
		}
	}
	if arrivals < 10 {
		t.Fatalf("seed %d yields %d arrivals, too few for this test", p.seed, arrivals)
	}
	allArrived := make(chan struct{})
	e := startFakeEntryHost(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == arrivals {
			close(allArrived)
		}
		select {
		case <-allArrived:
		case <-r.Context().Done():
		}
	})
	p.entry = e.address()
	report, err := Run(context.Background(), p, WithLogger(discardLog()))
	if err != nil {
		t.Fatal(err)
	}
	if f := report.Teams[0]; f.Sent != arrivals || f.Ran != arrivals {
		t.Errorf("%d sent, %d ran, want %d", f.Sent, f.Ran, arrivals)
	}
}

// Guards against a report whose counts are inconsistent, and against plan fields
// that are ignored.
func TestRunFromFile(t *testing.T) {
	e := startFakeEntryHost(t, func(n int, w http.ResponseWriter, _ *http.Request) {
		if n%4 == 0 {
			writeOutcome(w, 503, headerValueNotRun, "overload")
			return
		}
		writeOutcome(w, 200, "ran", "")
	})
	plan := fmt.Sprintf(`
entry: %[1]s
duration: 150ms
in-flight: 1000
teams:
  - {name: a, key: k-a, rate: 100, burst: 50, offered: 200, mix: [{service: catalogue, path: /items, class: urgent}]}
  - {name: b, key: k-b, rate: 100, burst: 50, offered: 300, mix: [{service: catalogue, path: /items, weight: 2}, {service: catalogue, method: POST, path: /deposits, idempotency-key: true}]}
direct: {addresses: ["%[1]s"], rate: 100, route: {service: catalogue, path: /items}}
`, e.address())
	p, err := ReadPlan(strings.NewReader(plan))
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(context.Background(), p, WithLogger(discardLog()))
	if err != nil {
		t.Fatal(err)
	}
	var text, encoded strings.Builder
	if err := report.WriteText(&text); err != nil || !strings.Contains(text.String(), "worst-served team: ") {
		t.Errorf("text %q, %v", text.String(), err)
	}
	var decoded Report
	if err := report.WriteJSON(&encoded); err != nil || json.Unmarshal([]byte(encoded.String()), &decoded) != nil {
		t.Errorf("JSON %q, %v", encoded.String(), err)
	}
	if len(decoded.Teams) != 2 || len(decoded.Classes) != 2 || decoded.Direct == nil || decoded.Direct.Ran == 0 {
		t.Fatalf("report %s lacks teams, classes or direct calls", encoded.String())
	}
	for _, f := range append(decoded.Teams, decoded.Classes...) {
		if f.Sent == 0 || f.Ran+f.Refused["overload"] != f.Sent || f.Wrongful != 0 {
			t.Errorf("%s: counts do not add up: %+v", f.Name, f)
		}
	}
}

// Guards against malformed plans that are accepted.
func TestReadPlanRejectsMalformed(t *testing.T) {
	const team = "teams: [{name: a, rate: 1, burst: 1, offered: 1, mix: [{service: s, path: /}]}]\n"
	cases := []struct{ name, plan string }{
		{name: "no entry", plan: team},
		{name: "no teams", plan: "entry: 127.0.0.1:1\n"},
		{name: "unknown field", plan: "entry: 127.0.0.1:1\nspeed: 3\n" + team},
		{name: "no offered rate", plan: "entry: 127.0.0.1:1\nteams: [{name: a, rate: 1, burst: 1, mix: [{service: s, path: /}]}]\n"},
		{name: "no mix", plan: "entry: 127.0.0.1:1\nteams: [{name: a, rate: 1, burst: 1, offered: 1}]\n"},
		{name: "negative weight", plan: "entry: 127.0.0.1:1\nteams: [{name: a, rate: 1, burst: 1, offered: 1, mix: [{service: s, path: /, weight: -1}]}]\n"},
		{name: "NaN rate", plan: "entry: 127.0.0.1:1\nteams: [{name: a, rate: .nan, burst: 1, offered: 1, mix: [{service: s, path: /}]}]\n"},
		{name: "malformed client", plan: "entry: 127.0.0.1:1\nclient: nowhere\n" + team},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if p, err := ReadPlan(strings.NewReader(tc.plan)); err == nil {
				t.Errorf("ReadPlan accepted %+v", p)
			}
		})
	}
}

// Guards against a schedule that deviates from the rate, from its doubling or
// from the mix.
func TestScheduleRate(t *testing.T) {
	cases := []struct {
		name             string
		doublingInterval time.Duration
		maxFactor        float64
		want             float64
	}{
		{name: "constant", maxFactor: 1, want: 100 * 100},
		// The integral of 100 * 2^(t/50) over 100 s.
		{name: "doubling", doublingInterval: 50 * time.Second, maxFactor: 8, want: 100 * 50 * 3 / math.Ln2},
		// The rate reaches its limit after 50 s and then stays constant.
		{name: "limited", doublingInterval: 50 * time.Second, maxFactor: 2, want: 100*50/math.Ln2 + 200*50},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			const seed = 7
			routes := []Route{{weight: 3}, {weight: 1}}
			s := newSchedule(seed, 1, 100, tc.doublingInterval, tc.maxFactor, routes)
			counts := make([]float64, len(routes))
			for {
				offset, index := s.next()
				if offset >= 100*time.Second {
					break
				}
				counts[index]++
			}
			// The bounds are five standard deviations: of a Poisson count for the
			// sum, of a binomial count for the first route.
			total := counts[0] + counts[1]
			if math.Abs(total-tc.want) > 5*math.Sqrt(tc.want) {
				t.Errorf("seed %d: %v arrivals, want about %v", seed, total, tc.want)
			}
			if math.Abs(counts[0]-0.75*total) > 5*math.Sqrt(total*3/16) {
				t.Errorf("seed %d: mix %v, want 3 to 1", seed, counts)
			}
		})
	}
}
