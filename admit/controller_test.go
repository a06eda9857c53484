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

func newTestDesk(t *testing.T, slack float64) *Controller {
	t.Helper()
	d := NewController("z", "r", NewBounds(5*time.Second, 10*time.Second, 0.2, slack, 1.5, 5))
	parts := []scheme.WeightedService{scheme.NewWeightedService("s", 3), scheme.NewWeightedService("u", 1)}
	c, err := scheme.New(3, scheme.Limits{},
		[]*scheme.Team{
			scheme.NewTeam("free", []string{"free"}, ident.None[int](), 0, 0, nil),
			scheme.NewTeam("bound", []string{"bound"}, ident.None[int](), 1, 1, nil),
			scheme.NewTeam("home", []string{"home"}, ident.None[int](), 0, 0, []ident.Region{"far"}),
		},
		[]*scheme.Route{
			scheme.NewRoute("a", "h", "/a/", scheme.Retryable, parts, time.Second, 3),
			scheme.NewRoute("o", "h", "/o/", scheme.Retryable, parts[:1], time.Second, 3, scheme.WithPublicAccess(true)),
		}, []scheme.Service{scheme.NewService("s", "", 9, 0, 0), scheme.NewService("u", "", 9, 0, 0)})
	if err != nil {
		t.Fatal(err)
	}
	d.Configure(c)
	var list []spread.Target
	for _, s := range []ident.Service{"s", "u"} {
		for i := range 4 {
			id := fmt.Sprintf("%s%d", s, i)
			list = append(list, spread.NewTarget(ident.Target(id), s, id+":1", "z", "r", 1000, false, time.Time{}))
		}
	}
	d.Table().Update(list)
	return d
}

func ask(path, key string, patience time.Duration) Request {
	return NewRequest("q", "h", path, key, "o", patience)
}

// TestAdmit guards against requests that pass although a rule forbids them,
// and against refusals with a wrong reason.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name   string
		ask    Request
		reason Reason
		team   ident.Team
	}{
		{"served", ask("/a/1", "free", 0), "", "free"},
		{"open", ask("/o/1", "", 0), "", ""},
		{"open with a key", ask("/o/1", "free", 0), "", ""},
		{"no route", ask("/b/1", "free", 0), NoRoute, ""},
		{"no key", ask("/a/1", "", 0), NoKey, ""},
		{"unknown key", ask("/a/1", "x", 0), UnknownKey, ""},
		{"no time left", ask("/a/1", "free", time.Millisecond), OutOfTime, "free"},
		{"no target in the team's homes", ask("/a/1", "home", 0), NoTarget, "home"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDesk(t, 60).Admit(start, c.ask)
			reason, _ := d.Refused()
			if reason != c.reason {
				t.Errorf("reason %q, want %q", reason, c.reason)
			}
			if d.State() != nil && d.State().Team() != c.team {
				t.Errorf("team %q, want %q", d.State().Team(), c.team)
			}
		})
	}
	if reason, _ := NewController("z", "r", Bounds{}).Admit(start, ask("/a/1", "free", 0)).Refused(); reason != NotReady {
		t.Errorf("without a configuration: %q, want %q", reason, NotReady)
	}
}

// TestSplit guards against services that get another share of a route than
// their weight, also over short sequences.
func TestSplit(t *testing.T) {
	d := newTestDesk(t, 60)
	got := map[ident.Service]int{}
	const requests = 20
	for range requests {
		got[d.Admit(start, ask("/a/1", "free", 0)).State().Service()]++
	}
	if want := requests * 3 / 4; math.Abs(float64(got["s"]-want)) > 1 {
		t.Errorf("shares %v, want %d for s", got, want)
	}
}

// TestAgain guards against a request that is sent to more targets than its
// route allows, to the same one twice, after its time, or beyond the budget.
func TestAgain(t *testing.T) {
	cases := []struct {
		name   string
		slack  float64
		later  time.Duration
		sends  int
		reason Reason
	}{
		{"attempts of the route", 1000, 0, 3, NoAttempts},
		{"budget", 0, 0, 1, NoBudget},
		{"time", 1000, time.Second, 1, OutOfTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			desk := newTestDesk(t, c.slack)
			d := desk.Admit(start, ask("/a/1", "free", 0))
			ticket := d.State()
			tried := map[ident.Target]bool{}
			sends := 0
			for range 10 {
				if _, refused := d.Refused(); refused {
					break
				}
				sends++
				if tried[d.Choice().Target().ID()] {
					t.Fatalf("sent to %s twice", d.Choice().Target().ID())
				}
				tried[d.Choice().Target().ID()] = true
				d = desk.Retry(start.Add(c.later), ticket)
			}
			if reason, _ := d.Refused(); reason != c.reason || sends != c.sends {
				t.Errorf("%d sends, then %q; want %d, %q", sends, reason, c.sends, c.reason)
			}
		})
	}
}

// TestUnsent guards against targets that could not be reached and cost an
// attempt, although they got nothing.
func TestUnsent(t *testing.T) {
	desk := newTestDesk(t, 0)
	d := desk.Admit(start, ask("/a/1", "free", 0))
	for range 3 {
		d = desk.RetryUnreached(start, d.State())
		if reason, refused := d.Refused(); refused {
			t.Fatalf("refused: %s", reason)
		}
	}
	if d.State().Attempts() != 1 {
		t.Errorf("%d sends, want 1", d.State().Attempts())
	}
}

// TestBorrow guards against a team within its rate that is refused while the
// lender has tokens, and against a host that asks for each of the requests of
// a team far over its rate.
func TestBorrow(t *testing.T) {
	desk := newTestDesk(t, 60)
	desk.SetHostCount(10)
	var asked int
	var d Decision
	for i := range 50 {
		d = desk.Admit(start.Add(time.Duration(i)*time.Millisecond), ask("/a/1", "bound", 0))
		if d.CanRequestToken() {
			asked++
			desk.TokenDenied(start.Add(time.Duration(i)*time.Millisecond), d.State().Team())
		}
	}
	if reason, _ := d.Refused(); reason != OverRate || asked != 1 {
		t.Fatalf("reason %q, asked %d times in 50 ms; want %q, once", reason, asked, OverRate)
	}
	if reason, refused := desk.AdmitWithToken(start, d.State()).Refused(); refused {
		t.Errorf("a paid request was refused: %s", reason)
	}
}

// TestColdRate guards against a configuration that changes only the rate which
// cold targets tolerate, and does not take effect.
func TestColdRate(t *testing.T) {
	part := []scheme.WeightedService{scheme.NewWeightedService("s", 1)}
	desk := NewController("z", "r", NewBounds(5*time.Second, 10*time.Second, 0.2, 60, 1, 0))
	desk.Table().Update([]spread.Target{
		spread.NewTarget("s0", "s", "s0:1", "z", "r", 1000, false, start.Add(time.Hour)),
	})
	for i, rate := range []float64{10, 3, 20} {
		c, err := scheme.New(uint64(i+1), scheme.Limits{}, nil,
			[]*scheme.Route{scheme.NewRoute("a", "h", "/a/", scheme.Retryable, part, time.Second, 3)},
			[]scheme.Service{scheme.NewService("s", "", 9, time.Hour, rate)})
		if err != nil {
			t.Fatal(err)
		}
		desk.Configure(c)
		now := start.Add(time.Duration(i) * time.Minute)
		sent := 0
		for range 100 {
			d := desk.Admit(now, ask("/a/1", "", 0))
			if _, refused := d.Refused(); !refused {
				sent++
				desk.RecordResult(now, d.Choice(), spread.Served, ident.None[spread.Load]())
			}
		}
		if sent != int(rate) {
			t.Errorf("%d requests sent to a cold target in one moment, want %v", sent, rate)
		}
	}
}

// TestPaidAfterChange guards against a request whose route is removed while it
// waits for a token, and then finds no service.
func TestPaidAfterChange(t *testing.T) {
	desk := newTestDesk(t, 60)
	desk.SetHostCount(10)
	d := desk.Admit(start, ask("/a/1", "bound", 0))
	for !d.CanRequestToken() {
		d = desk.Admit(start, ask("/a/1", "bound", 0))
	}
	c, err := scheme.New(4, scheme.Limits{}, nil, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	desk.Configure(c)
	if reason, refused := desk.AdmitWithToken(start, d.State()).Refused(); refused {
		t.Errorf("refused: %s", reason)
	}
}
