package scheme

import (
	"errors"
	"testing"
	"time"

	"rhubarbrack/ident"
)

func testRoute(change func(*Route)) *Route {
	r := NewRoute("r", "a.example", "/x/", Retryable, []WeightedService{NewWeightedService("s", 1)}, time.Second, 2)
	if change != nil {
		change(r)
	}
	return r
}

var testServices = []Service{NewService("s", "/health", 10, time.Second, 5)}

// TestInvalid guards against accepting a configuration that is inconsistent.
func TestInvalid(t *testing.T) {
	cases := []struct {
		name   string
		teams  []*Team
		routes []*Route
	}{
		{"unknown service", nil, []*Route{testRoute(func(r *Route) { r.services = []WeightedService{NewWeightedService("t", 1)} })}},
		{"no service", nil, []*Route{testRoute(func(r *Route) { r.services = nil })}},
		{"all weights zero", nil, []*Route{testRoute(func(r *Route) { r.services = []WeightedService{NewWeightedService("s", 0)} })}},
		{"negative weight", nil, []*Route{testRoute(func(r *Route) { r.services = []WeightedService{NewWeightedService("s", -1)} })}},
		{"no timeout", nil, []*Route{testRoute(func(r *Route) { r.timeout = 0 })}},
		{"no attempts", nil, []*Route{testRoute(func(r *Route) { r.attempts = 0 })}},
		{"no host", nil, []*Route{testRoute(func(r *Route) { r.host = "" })}},
		{"unknown kind", nil, []*Route{testRoute(func(r *Route) { r.kind = 0 })}},
		{"prefix without a slash", nil, []*Route{testRoute(func(r *Route) { r.prefix = "/x" })}},
		{"latency objective a minute over the timeout", nil, []*Route{testRoute(func(r *Route) { r.latencyObjective = r.timeout + time.Minute })}},
		{"two routes with the same host and prefix", nil, []*Route{testRoute(nil), testRoute(nil)}},
		{"shared key", []*Team{
			NewTeam("a", []string{"k"}, ident.None[int](), 0, 0, nil),
			NewTeam("b", []string{"k"}, ident.None[int](), 0, 0, nil),
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := New(1, Limits{}, c.teams, c.routes, testServices); !errors.Is(err, ErrInvalid) {
				t.Errorf("got %v, want an invalid configuration", err)
			}
		})
	}
}

// TestMatch guards against matching a request to a route other than the one
// with the longest matching prefix.
func TestMatch(t *testing.T) {
	long := testRoute(func(r *Route) { r.name, r.prefix = "long", "/x/y/" })
	c, err := New(1, Limits{}, nil, []*Route{testRoute(nil), long}, testServices)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "r"},
		{"A.Example:80", "/x/y/1", "long"},
		{"a.example", "/x/y", "r"},
		{"a.example", "/x", ""},
		{"b.example", "/x/1", ""},
	}
	for _, k := range cases {
		r, ok := c.Match(k.host, k.path)
		if ok != (k.want != "") || ok && r.Name() != k.want {
			t.Errorf("%s%s: got %v, want %q", k.host, k.path, r, k.want)
		}
	}
}

// TestDesiredState guards against an outdated command that replaces a newer
// configuration, and against duplicate commands that change the state.
func TestDesiredState(t *testing.T) {
	state, changed := DesiredState{}.Put(7, []byte("seven"))
	if !changed || state.Version() != 7 {
		t.Fatalf("first configuration not applied: %v", state)
	}
	cases := []struct {
		name    string
		version uint64
		want    string
	}{
		{"older", 6, "seven"},
		{"same version, other content", 7, "seven"},
		{"newer", 8, "new"},
	}
	for _, c := range cases {
		if got, _ := state.Put(c.version, []byte("new")); string(got.Source()) != c.want {
			t.Errorf("%s: %s in force, want %s", c.name, got.Source(), c.want)
		}
	}
	state, _ = state.Evacuate("z", true, 1)
	if repeated, changed := state.Evacuate("z", true, 1); changed || len(repeated.Evacuated()) != 1 {
		t.Errorf("repeated evacuation: %v, changed %v", repeated.Evacuated(), changed)
	}
	if ended, changed := state.Evacuate("z", false, 1); !changed || len(ended.Evacuated()) != 0 {
		t.Errorf("ended evacuation: %v, changed %v", ended.Evacuated(), changed)
	}
}
