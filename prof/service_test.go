package prof

import (
	"testing"

	"rhubarbrack/ident"
)

func sampleService(t *testing.T) *Service {
	t.Helper()
	s, err := NewService("bells", "signals", WithHosts("bells.test"),
		WithRoute(NewRoute("/", []string{"GET"}, RouteOpen(true), RouteClass("root"))),
		WithRoute(NewRoute("/bells", []string{"GET"}, RouteIdempotent(true), RouteClass("read"))),
		WithRoute(NewRoute("/bells", []string{"POST"}, RouteClass("ring"))),
		WithRoute(NewRoute("/bells/7/log/", []string{"GET"}, RouteClass("log"))))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a path that matches another route than the one it reaches at
// the target, which would bypass the key.
func TestMatch(t *testing.T) {
	s := sampleService(t)
	cases := []struct {
		method, path string
		want         Match
		class        ident.Class
	}{
		{"GET", "/", Matched, "root"},
		{"GET", "/index", Matched, "root"},
		{"GET", "/bells", Matched, "read"},
		{"POST", "/bells", Matched, "ring"},
		{"GET", "/bells/", Matched, "read"},
		{"GET", "/bells/7", Matched, "read"},
		{"GET", "/bells/7/log", Matched, "read"},
		{"GET", "/bells/7/log/1", Matched, "log"},
		{"POST", "/bells/7/log/1", NoMethod, ""},
		{"GET", "/bellsets", Matched, "root"},
		{"DELETE", "/bells", NoMethod, ""},
		{"POST", "/", NoMethod, ""},
		{"GET", "", NoRoute, ""},
		{"GET", "bells", NoRoute, ""},
		{"GET", "/index/../bells", NoRoute, ""},
		{"GET", "/./bells", NoRoute, ""},
		{"GET", "//bells", NoRoute, ""},
		{"GET", "/index//bells", NoRoute, ""},
		{"GET", "/index\\..\\bells", NoRoute, ""},
		{"GET", "/index\x00", NoRoute, ""},
		{"GET", "/bells/..", NoRoute, ""},
		{"GET", "/bells/...", Matched, "read"},
	}
	for _, c := range cases {
		route, match := s.Match(c.method, c.path)
		if match != c.want || route.Class() != c.class {
			t.Errorf("%s %q: got %v, class %q, want %v, class %q", c.method, c.path, match, route.Class(), c.want, c.class)
		}
	}
}

// Guards against wrong ranks or classes of requests, which determine the
// requests that are shed first.
func TestClasses(t *testing.T) {
	p, err := NewProfile("p", WithRegions("gulf"), WithClass(NewClass("read")), WithClass(NewClass("alert", ClassUrgent(true))),
		WithClass(NewClass("bulk")), WithTeamPolicy(NewTeamPolicy("charts", 0.5, "bulk")))
	if err != nil {
		t.Fatal(err)
	}
	ranks := []struct {
		class ident.Class
		rank  int
		known bool
	}{
		{"alert", 0, true}, {"read", 1, true}, {"bulk", 2, true}, {"none", 0, false},
	}
	for _, c := range ranks {
		if rank, known := p.Rank(c.class); rank != c.rank || known != c.known {
			t.Errorf("rank of %s: got %d, %v, want %d, %v", c.class, rank, known, c.rank, c.known)
		}
	}
	urgentFirst, err := NewProfile("p", WithRegions("gulf"), WithClass(NewClass("alert", ClassUrgent(true))), WithClass(NewClass("read")))
	if err != nil {
		t.Fatal(err)
	}
	if got := urgentFirst.TeamPolicy("pilots").Class(); got != "read" {
		t.Errorf("unlisted team: got class %q, want the first that is not urgent", got)
	}
	classes := []struct {
		name  string
		route ident.Class
		team  ident.Team
		want  ident.Class
	}{
		{"route decides", "alert", "charts", "alert"},
		{"team decides", "", "charts", "bulk"},
		{"unlisted team", "", "pilots", "read"},
		{"no key", "", "", "read"},
	}
	for _, c := range classes {
		if got := p.ClassFor(NewRoute("/", nil, RouteClass(c.route)), c.team); got.Name() != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got.Name(), c.want)
		}
	}
}
