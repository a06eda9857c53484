package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

// entryHost is a stand-in of an entry host whose answers to requests a test
// scripts. It keeps the idempotency keys in order of arrival.
type entryHost struct {
	*httptest.Server
	script func(n int, w http.ResponseWriter, r *http.Request)

	mutex   sync.Mutex
	keys    []string
	auth    []string
	lookups int
	extra   string
}

func startEntry(t *testing.T, script func(n int, w http.ResponseWriter, r *http.Request)) *entryHost {
	t.Helper()
	e := &entryHost{script: script}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathLookup, e.lookup)
	mux.HandleFunc("/", e.serve)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *entryHost) address() string { return e.Listener.Addr().String() }

func (e *entryHost) lookup(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	e.lookups++
	e.mutex.Unlock()
	if q := r.URL.Query(); q.Get("service") != "catalogue" || q.Get("client") != "127.0.0.1" {
		http.Error(w, "unexpected query", http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, `{"hosts":[%s{"host":"entry-1","address":%q,"weight":1.0}],"ttl-seconds":60}`, e.extra, e.address())
}

func (e *entryHost) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	e.mutex.Lock()
	e.keys = append(e.keys, r.Header.Get(headerKey))
	e.auth = append(e.auth, r.Header.Get("Authorization"))
	n := len(e.keys)
	e.mutex.Unlock()
	e.script(n, w, r)
}

func cut(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func outcome(w http.ResponseWriter, status int, outcome, reason string) {
	w.Header().Set(headerOutcome, outcome)
	w.Header().Set(headerReason, reason)
	w.WriteHeader(status)
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// Guards against lost answers that are resent under another key or counted
// wrongly, and against refusals attributed to the system that the team
// brought about.
func TestCourse(t *testing.T) {
	now := time.Unix(1000, 0)
	lostOnce := func(n int, w http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			cut(w)
		}
		outcome(w, 200, "ran", "")
	}
	refuse := func(_ int, w http.ResponseWriter, _ *http.Request) { outcome(w, 429, outcomeNotRun, reasonRate) }
	keyed := NewRoute("catalogue", "POST", "/deposits", WithIdempotencyKey(), WithBodyBytes(10))
	plain := NewRoute("catalogue", "GET", "/items")
	cases := []struct {
		name     string
		script   func(int, http.ResponseWriter, *http.Request)
		route    Route
		burst    float64
		spent    int
		want     fate
		attempts int
		resends  int
		wrongful int
	}{
		{name: "ran", script: func(_ int, w http.ResponseWriter, _ *http.Request) { outcome(w, 200, "ran", "") },
			route: plain, burst: 1, want: ran, attempts: 1},
		{name: "lost, resent with the same key", script: lostOnce, route: keyed, burst: 2, want: ran, attempts: 2, resends: 1},
		{name: "lost without key", script: lostOnce, route: plain, burst: 1, want: unknown, attempts: 1},
		{name: "always lost", script: func(_ int, w http.ResponseWriter, _ *http.Request) { cut(w) },
			route: keyed, burst: 9, want: unknown, attempts: 4, resends: 3},
		{name: "first attempt runs", route: keyed, burst: 2, want: ran, attempts: 2, resends: 1,
			script: func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 1 {
					outcome(w, 409, outcomeUnknown, reasonRunning)
					return
				}
				outcome(w, 200, "ran", "")
			}},
		{name: "unknown is not resent", route: keyed, burst: 1, want: unknown, attempts: 1,
			script: func(_ int, w http.ResponseWriter, _ *http.Request) { outcome(w, 502, outcomeUnknown, "lost") }},
		{name: "refused within the rate", script: refuse, route: plain, burst: 1, want: refused, attempts: 1, wrongful: 1},
		{name: "refused beyond the burst", script: refuse, route: plain, burst: 2, spent: 2, want: refused, attempts: 1},
		{name: "refused for another reason", route: plain, burst: 1, want: refused, attempts: 1,
			script: func(_ int, w http.ResponseWriter, _ *http.Request) { outcome(w, 503, outcomeNotRun, "overload") }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := startEntry(t, tc.script)
			team := NewTeam("a", "secret", 1, tc.burst, 1, tc.route)
			p, err := NewPlan(e.address(), WithTeams(team), WithResends(3, 0), WithTimeout(time.Hour))
			if err != nil {
				t.Fatal(err)
			}
			r := newTestRunner(t, p, now)
			b := newBucket(1, tc.burst, 0, now)
			for range tc.spent {
				b.offer(now)
			}
			c := course{runner: r, team: team, route: tc.route, bucket: b, due: now.Add(-2 * time.Second), id: "id-1"}
			got := c.run(context.Background())
			counted := newSums()
			counted.add(got)
			if got.fate != tc.want || counted.wrongful != tc.wrongful || got.resends != tc.resends {
				t.Errorf("fate %d, %d wrongful, %d resends; want %d, %d, %d",
					got.fate, counted.wrongful, got.resends, tc.want, tc.wrongful, tc.resends)
			}
			if got.latency != 2*time.Second || got.lateness != 2*time.Second {
				t.Errorf("latency %v, lateness %v; want 2 s from the scheduled arrival", got.latency, got.lateness)
			}
			e.checkArrivals(t, tc.attempts, tc.route.keyed)
		})
	}
}

func (e *entryHost) checkArrivals(t *testing.T, attempts int, keyed bool) {
	t.Helper()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.keys) != attempts || e.lookups != 1 {
		t.Errorf("%d attempts and %d look-ups arrived, want %d and 1", len(e.keys), e.lookups, attempts)
	}
	for i, key := range e.keys {
		if (key == "id-1") != keyed || e.auth[i] != "Bearer secret" {
			t.Errorf("attempt %d had key %q and authorization %q", i+1, key, e.auth[i])
		}
	}
}

// newTestRunner returns a runner whose clock stands still.
func newTestRunner(t *testing.T, p Plan, now time.Time) *runner {
	t.Helper()
	transport := newTransport()
	s := settings{clock: clock.NewManual(now), log: quiet(), http: transport}
	r := &runner{settings: s, plan: p, start: now}
	system := tasks.NewSystem(quiet())
	ctx, cancel := context.WithCancel(context.Background())
	if err := r.spawn(ctx, system); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-r.finder.Done()
		<-r.tally.Done()
		system.Shutdown()
		transport.CloseIdleConnections()
	})
	return r
}

// Guards against requests that fail because one of the hosts is down, and
// against a host that is down being charged to the team.
func TestCourseFailsOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	down := listener.Addr().String()
	_ = listener.Close()
	cases := []struct {
		name  string
		extra string
		want  fate
	}{
		{name: "one of two", extra: fmt.Sprintf(`{"host":"entry-2","address":%q,"weight":1e12},`, down), want: ran},
		{name: "none", want: ran},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := startEntry(t, func(_ int, w http.ResponseWriter, _ *http.Request) { outcome(w, 200, "ran", "") })
			e.extra = tc.extra
			team := NewTeam("a", "secret", 1, 1, 1, NewRoute("catalogue", "GET", "/items"))
			p, err := NewPlan(e.address(), WithTeams(team), WithTimeout(time.Hour))
			if err != nil {
				t.Fatal(err)
			}
			now := time.Unix(1000, 0)
			c := course{runner: newTestRunner(t, p, now), team: team, route: team.routes[0], bucket: newBucket(1, 1, 0, now), due: now}
			if got := c.run(context.Background()); got.fate != tc.want || got.resends != 0 || !c.offered.within {
				t.Errorf("fate %d, %d resends, within the rate %v; want %d, 0, true", got.fate, got.resends, c.offered.within, tc.want)
			}
			e.checkArrivals(t, 1, false)
		})
	}
}

// Guards against a closed loop: no request is answered until the last one of
// the schedule has arrived.
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
	all := make(chan struct{})
	e := startEntry(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == arrivals {
			close(all)
		}
		select {
		case <-all:
		case <-r.Context().Done():
		}
	})
	p.entry = e.address()
	report, err := Run(context.Background(), p, WithLog(quiet()))
	if err != nil {
		t.Fatal(err)
	}
	if f := report.Teams[0]; f.Sent != arrivals || f.Ran != arrivals {
		t.Errorf("%d sent, %d ran, want %d", f.Sent, f.Ran, arrivals)
	}
}

// Guards against a report whose counts do not add up, and against plans whose
// fields are ignored.
func TestRunFromFile(t *testing.T) {
	e := startEntry(t, func(n int, w http.ResponseWriter, _ *http.Request) {
		if n%4 == 0 {
			outcome(w, 503, outcomeNotRun, "overload")
			return
		}
		outcome(w, 200, "ran", "")
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
	report, err := Run(context.Background(), p, WithLog(quiet()))
	if err != nil {
		t.Fatal(err)
	}
	var text, encoded strings.Builder
	if err := report.WriteText(&text); err != nil || !strings.Contains(text.String(), "worst-served team: ") {
		t.Errorf("text %q, %v", text.String(), err)
	}
	var back Report
	if err := report.WriteJSON(&encoded); err != nil || json.Unmarshal([]byte(encoded.String()), &back) != nil {
		t.Errorf("JSON %q, %v", encoded.String(), err)
	}
	if len(back.Teams) != 2 || len(back.Classes) != 2 || back.Direct == nil || back.Direct.Ran == 0 {
		t.Fatalf("report %s lacks teams, classes or direct calls", encoded.String())
	}
	for _, f := range append(back.Teams, back.Classes...) {
		if f.Sent == 0 || f.Ran+f.Refused["overload"] != f.Sent || f.Wrongful != 0 {
			t.Errorf("%s: counts do not add up: %+v", f.Name, f)
		}
	}
}

// Guards against malformed plans that run in part.
func TestReadPlanRefuses(t *testing.T) {
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

// Guards against rates that the schedule misses or does not double.
func TestScheduleRate(t *testing.T) {
	cases := []struct {
		name  string
		every time.Duration
		most  float64
		want  float64
	}{
		{name: "constant", most: 1, want: 100 * 100},
		// The integral of 100 * 2^(t/50) over 100 s.
		{name: "doubling", every: 50 * time.Second, most: 8, want: 100 * 50 * 3 / math.Ln2},
		// It reaches its limit after 50 s and stays there.
		{name: "limited", every: 50 * time.Second, most: 2, want: 100*50/math.Ln2 + 200*50},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			const seed = 7
			routes := []Route{{weight: 3}, {weight: 1}}
			s := newSchedule(seed, 1, 100, tc.every, tc.most, routes)
			counts := make([]float64, len(routes))
			for {
				offset, index := s.next()
				if offset >= 100*time.Second {
					break
				}
				counts[index]++
			}
			// Five standard deviations of a Poisson count.
			sum := counts[0] + counts[1]
			if math.Abs(sum-tc.want) > 5*math.Sqrt(tc.want) {
				t.Errorf("seed %d: %v arrivals, want about %v", seed, sum, tc.want)
			}
			if math.Abs(counts[0]-0.75*sum) > 5*math.Sqrt(sum*3/16) {
				t.Errorf("seed %d: mix %v, want 3 to 1", seed, counts)
			}
		})
	}
}
