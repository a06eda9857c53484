package prof

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

// Guards against documents with values out of bounds, which would shift too
// much load, admit too many requests or match none. The error must name the
// field.
func TestValidation(t *testing.T) {
	fleet := func(options ...FleetOption) func() error {
		return func() error {
			_, err := NewFleet(append([]FleetOption{WithRegion("gulf", "gulf-a"), WithRegion("bay", "bay-a")}, options...)...)
			return err
		}
	}
	profile := func(options ...ProfileOption) func() error {
		return func() error {
			_, err := NewProfile("p", append([]ProfileOption{WithRegions("gulf"), WithClass(NewClass("a"))}, options...)...)
			return err
		}
	}
	service := func(options ...ServiceOption) func() error {
		return func() error {
			_, err := NewService("s", "p", append([]ServiceOption{WithHosts("s.test"), WithRoute(NewRoute("/", []string{"GET"}))}, options...)...)
			return err
		}
	}
	route := func(prefix string, methods ...string) ServiceOption { return WithRoute(NewRoute(prefix, methods)) }
	team := func(rate float64, burst int64) func() error {
		return func() error { _, err := NewTeam("t", rate, burst); return err }
	}
	cases := []struct {
		name  string
		build func() error
		field string
		value string
	}{
		{"empty fleet", func() error { _, err := NewFleet(); return err }, "regions", ""},
		{"region twice", fleet(WithRegion("gulf", "x")), "regions[2].name", "gulf"},
		{"region name", fleet(WithRegion("Gulf", "x")), "regions[2].name", "Gulf"},
		{"region without zones", fleet(WithRegion("coast")), "regions[2].zones", ""},
		{"zone twice", fleet(WithRegion("coast", "coast-a", "gulf-a")), "regions[2].zones[1]", "gulf-a"},
		{"link from nowhere", fleet(WithLink("mars", "gulf", 1, 1)), "links[0].from", "mars"},
		{"link to itself", fleet(WithLink("gulf", "gulf", 1, 1)), "links[0].to", "gulf"},
		{"link twice", fleet(WithLink("gulf", "bay", 1, 1), WithLink("bay", "gulf", 1, 1)), "links[1].to", "gulf"},
		{"link without capacity", fleet(WithLink("gulf", "bay", 1, 0)), "links[0].backward-bytes-per-second", "0"},
		{"block with host bits", fleet(WithBlock("10.0.0.1/8", "gulf-a")), "client-blocks[0].block", "10.0.0.1/8"},
		{"block twice", fleet(WithBlock("10.0.0.0/8", "gulf-a"), WithBlock("10.0.0.0/8", "bay-a")), "client-blocks[1].block", "10.0.0.0/8"},
		{"block in no zone", fleet(WithBlock("10.0.0.0/8", "mars-a")), "client-blocks[0].zone", "mars-a"},
		{"shift above 1", profile(WithShift(1.01, time.Minute)), "shift.cap", "1.01"},
		{"shift that is no number", profile(WithShift(math.NaN(), time.Minute)), "shift.cap", "NaN"},
		{"shift without a window", profile(WithShift(0.1, 0)), "shift.window", "0s"},
		{"negative headroom", profile(WithHeadroom(-0.1)), "headroom", "-0.1"},
		{"retry budget above 1", profile(WithRetryBudget(2)), "retry-budget", "2"},
		{"allowed region twice", profile(WithRegions("gulf")), "regions[1]", "gulf"},
		{"class twice", profile(WithClass(NewClass("a"))), "classes[1].name", "a"},
		{"two urgent classes", profile(WithClass(NewClass("b", ClassUrgent(true))), WithClass(NewClass("c", ClassUrgent(true)))), "classes[2].urgent", "true"},
		{"negative queue", profile(WithClass(NewClass("b", ClassQueueLength(-1)))), "classes[1].queue-length", "-1"},
		{"long wait", profile(WithClass(NewClass("b", ClassMaxWait(time.Hour)))), "classes[1].longest-wait", "1h0m0s"},
		{"weight 0", profile(WithTeamPolicy(NewTeamPolicy("t", 0, "a"))), "teams[0].weight", "0"},
		{"class of a team", profile(WithTeamPolicy(NewTeamPolicy("t", 1, "z"))), "teams[0].class", "z"},
		{"team twice", profile(WithTeamPolicy(NewTeamPolicy("t", 1, "a")), WithTeamPolicy(NewTeamPolicy("t", 1, "a"))), "teams[1].team", "t"},
		{"no rate", team(0, 1), "rate", "0"},
		{"rate without end", team(math.Inf(1), 1), "rate", "+Inf"},
		{"no burst", team(1, 0), "burst", "0"},
		{"host with a port", service(WithHosts("s.test:80")), "hosts[1]", "s.test:80"},
		{"host in capitals", service(WithHosts("S.test")), "hosts[1]", "S.test"},
		{"host with a dot at its end", service(WithHosts("s.test.")), "hosts[1]", "s.test."},
		{"host twice", service(WithHosts("s.test")), "hosts[1]", "s.test"},
		{"prefix with dots", service(route("/a/../b", "GET")), "routes[1].prefix", "/a/../b"},
		{"prefix without a slash", service(route("a", "GET")), "routes[1].prefix", "a"},
		{"method", service(route("/a", "get")), "routes[1].methods[0]", "get"},
		{"no method", service(route("/a")), "routes[1].methods", ""},
		{"route twice", service(route("/", "POST", "GET")), "routes[1].methods[1]", "GET"},
		{"no timeout", service(WithTimeout(0)), "request-timeout", "0s"},
		{"negative body", service(WithMaxBodyBytes(-1)), "largest-body", "-1"},
		{"long ramp", service(WithSlowStart(2 * time.Hour)), "cold-ramp", "2h0m0s"},
	}
	for _, c := range cases {
		err := c.build()
		var all *ValidationError
		var e *FieldError
		if !errors.As(err, &all) || !errors.As(err, &e) {
			t.Errorf("%s: got error %v, want a ValidationError", c.name, err)
			continue
		}
		if e.Field() != c.field || e.Value() != c.value || e.Allowed() == "" || len(all.Fields()) != 1 {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
}

// Guards against an unreadable error message for a document with thousands of
// invalid fields.
func TestManyInvalidFields(t *testing.T) {
	var options []FleetOption
	for range 1000 {
		options = append(options, WithBlock("x", "y"))
	}
	_, err := NewFleet(options...)
	var e *ValidationError
	if !errors.As(err, &e) || len(e.Fields()) != maxReportedFields || !strings.Contains(err.Error(), "client-blocks[0]") {
		t.Errorf("got %v", err)
	}
}
