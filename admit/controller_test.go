package admit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func newTestController(t *testing.T, slack float64) *Controller {
	t.Helper()
	controller := NewController("z", "r", NewBounds(5*time.Second, 10*time.Second, 0.2, slack, 1.5, 5))
	services := []scheme.WeightedService{scheme.NewWeightedService("s", 3), scheme.NewWeightedService("u", 1)}
	c, err := scheme.New(3, scheme.Limits{},
		[]*scheme.Team{
			scheme.NewTeam("free", []string{"free"}, ident.None[int](), 0, 0, nil),
			scheme.NewTeam("bound", []string{"bound"}, ident.None[int](), 1, 1, nil),
			scheme.NewTeam("regional", []string{"regional"}, ident.None[int](), 0, 0, []ident.Region{"far"}),
		},
		[]*scheme.Route{
			scheme.NewRoute("a", "h", "/a/", scheme.Retryable, services, time.Second, 3),
			scheme.NewRoute("o", "h", "/o/", scheme.Retryable, services[:1], time.Second, 3, scheme.WithPublicAccess(true)),
		}, []scheme.Service{scheme.NewService("s", "", 9, 0, 0), scheme.NewService("u", "", 9, 0, 0)})
	if err != nil {
		t.Fatal(err)
	}
	controller.Configure(c)
	var list []spread.Target
	for _, s := range []ident.Service{"s", "u"} {
		for i := range 4 {
			id := fmt.Sprintf("%s%d", s, i)
			list = append(list, spread.NewTarget(ident.Target(id), s, id+":1", "z", "r", 1000, false, time.Time{}))
		}
	}
	controller.Table().Update(list)
	return controller
}

func request(path, key string, timeout time.Duration) Request {
	return NewRequest("q", "h", path, key, "o", timeout)
}

// TestAdmit guards against requests that are admitted against a rule, and
// against refusals with a wrong reason.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name    string
		request Request
		reason  Reason
		team    ident.Team
	}{
		{"admitted", request("/a/1", "free", 0), "", "free"},
		{"public route", request("/o/1", "", 0), "", ""},
		{"public route with a key", request("/o/1", "free", 0), "", ""},
		{"no route", request("/b/1", "free", 0), NoRoute, ""},
		{"no key", request("/a/1", "", 0), NoKey, ""},
		{"unknown key", request("/a/1", "x", 0), UnknownKey, ""},
		{"no time left", request("/a/1", "free", time.Millisecond), OutOfTime, "free"},
		{"no target in the team's regions", request("/a/1", "regional", 0), NoTarget, "regional"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newTestController(t, 60).Admit(start, c.request)
			reason, _ := d.Refused()
			if reason != c.reason {
				t.Errorf("reason %q, want %q", reason, c.reason)
			}
			if d.State() != nil && d.State().Team() != c.team {
				t.Errorf("team %q, want %q", d.State().Team(), c.team)
			}
		})
	}
	if reason, _ := NewController("z", "r", Bounds{}).Admit(start, request("/a/1", "free", 0)).Refused(); reason != NotReady {
		t.Errorf("without a configuration: %q, want %q", reason, NotReady)
	}
}

// TestRouteWeights guards against services whose share of a route's requests
// deviates from their weight, also over short sequences.
func TestRouteWeights(t *testing.T) {
	controller := newTestController(t, 60)
	got := map[ident.Service]int{}
	const requestCount = 20
	for range requestCount {
		got[controller.Admit(start, request("/a/1", "free", 0)).State().Service()]++
	}
	if want := requestCount * 3 / 4; math.Abs(float64(got["s"]-want)) > 1 {
		t.Errorf("shares %v, want %d for s", got, want)
	}
}

// TestRetry guards against retries beyond the attempts of the route, to the
// same target, after the deadline, or beyond the retry budget.
func TestRetry(t *testing.T) {
	cases := []struct {
		name     string
		slack    float64
		delay    time.Duration
		attempts int
		reason   Reason
	}{
		{"attempts of the route", 1000, 0, 3, NoAttempts},
		{"budget", 0, 0, 1, NoBudget},
		{"time", 1000, time.Second, 1, OutOfTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			controller := newTestController(t, c.slack)
			d := controller.Admit(start, request("/a/1", "free", 0))
			state := d.State()
			tried := map[ident.Target]bool{}
			attempts := 0
			for range 10 {
				if _, refused := d.Refused(); refused {
					break
				}
				attempts++
				if tried[d.Choice().Target().ID()] {
					t.Fatalf("sent to %s twice", d.Choice().Target().ID())
				}
				tried[d.Choice().Target().ID()] = true
				d = controller.Retry(start.Add(c.delay), state)
			}
			if reason, _ := d.Refused(); reason != c.reason || attempts != c.attempts {
				t.Errorf("%d attempts, then %q; want %d, %q", attempts, reason, c.attempts, c.reason)
			}
		})
	}
}

// TestRetryUnreachable guards against failures to connect that use up an attempt
// although nothing was sent.
func TestRetryUnreachable(t *testing.T) {
	controller := newTestController(t, 0)
	d := controller.Admit(start, request("/a/1", "free", 0))
	for range 3 {
		d = controller.RetryUnreachable(start, d.State())
		if reason, refused := d.Refused(); refused {
			t.Fatalf("refused: %s", reason)
		}
	}
	if d.State().Attempts() != 1 {
		t.Errorf("%d attempts, want 1", d.State().Attempts())
	}
}

// TestTokenRequests guards against refusing a team within its rate while the
// reserve has tokens, and against asking the reserve for every request of a
// team far over its rate.
func TestTokenRequests(t *testing.T) {
	controller := newTestController(t, 60)
	controller.SetHostCount(10)
	var requested int
	var d Decision
	for i := range 50 {
		d = controller.Admit(start.Add(time.Duration(i)*time.Millisecond), request("/a/1", "bound", 0))
		if d.CanRequestToken() {
			requested++
			controller.TokenDenied(start.Add(time.Duration(i)*time.Millisecond), d.State().Team())
		}
	}
	if reason, _ := d.Refused(); reason != OverRate || requested != 1 {
		t.Fatalf("reason %q, %d token requests in 50 ms; want %q, 1", reason, requested, OverRate)
	}
	if reason, refused := controller.AdmitWithToken(start, d.State()).Refused(); refused {
		t.Errorf("a request with a token was refused: %s", reason)
	}
}

// TestColdRate guards against a configuration that has no effect because it
// changes only the tolerated rate of cold targets.
func TestColdRate(t *testing.T) {
	services := []scheme.WeightedService{scheme.NewWeightedService("s", 1)}
	controller := NewController("z", "r", NewBounds(5*time.Second, 10*time.Second, 0.2, 60, 1, 0))
	controller.Table().Update([]spread.Target{
		spread.NewTarget("s0", "s", "s0:1", "z", "r", 1000, false, start.Add(time.Hour)),
	})
	for i, rate := range []float64{10, 3, 20} {
		c, err := scheme.New(uint64(i+1), scheme.Limits{}, nil,
			[]*scheme.Route{scheme.NewRoute("a", "h", "/a/", scheme.Retryable, services, time.Second, 3)},
			[]scheme.Service{scheme.NewService("s", "", 9, time.Hour, rate)})
		if err != nil {
			t.Fatal(err)
		}
		controller.Configure(c)
		now := start.Add(time.Duration(i) * time.Minute)
		admitted := 0
		for range 100 {
			d := controller.Admit(now, request("/a/1", "", 0))
			if _, refused := d.Refused(); !refused {
				admitted++
				controller.RecordResult(now, d.Choice(), spread.Served, ident.None[spread.Load]())
			}
		}
		if admitted != int(rate) {
			t.Errorf("%d simultaneous requests sent to a cold target, want %v", admitted, rate)
		}
	}
}

// TestTokenAfterReconfiguration guards against a request that finds no service
// because its route was removed while it waited for a token.
func TestTokenAfterReconfiguration(t *testing.T) {
	controller := newTestController(t, 60)
	controller.SetHostCount(10)
	d := controller.Admit(start, request("/a/1", "bound", 0))
	for !d.CanRequestToken() {
		d = controller.Admit(start, request("/a/1", "bound", 0))
	}
	c, err := scheme.New(4, scheme.Limits{}, nil, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	controller.Configure(c)
	if reason, refused := controller.AdmitWithToken(start, d.State()).Refused(); refused {
		t.Errorf("refused: %s", reason)
	}
}
