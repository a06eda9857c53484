package plan

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/state"
)

var benchStart = time.Unix(1e9, 0)

// benchConfig returns a configuration with 27 regions, four services, all
// roles assigned and n members.
func benchConfig(b *testing.B, n int) *state.Config {
	b.Helper()
	m := state.NewMachine()
	apply := func(c state.Command) {
		if err := m.Apply(m.Revision()+1, state.Stamp(c, benchStart)).Err(); err != nil {
			b.Fatal(err)
		}
	}
	put := func(text string) {
		d, err := codec.DecodeDocument([]byte(text))
		if err != nil {
			b.Fatal(err)
		}
		apply(state.NewPutDocument(ident.RequestID(d.Name()+string(d.Kind())), 0, d, text))
	}
	var fleet, names strings.Builder
	for i := range 27 {
		fmt.Fprintf(&fleet, "  - name: region-%02d\n    zones: [zone-%02d]\n", i, i)
		fmt.Fprintf(&names, "region-%02d, ", i)
	}
	put("kind: fleet\nname: fleet\nregions:\n" + fleet.String())
	put("kind: profile\nname: p\nshift:\n  cap: 0.2\n  window: 1m\nregions: [" + names.String() +
		"]\nheadroom: 0.25\nretry-budget: 0.1\nclasses:\n  - name: a\n    queue-length: 10\n    longest-wait: 1s\n")
	for i := range 4 {
		put(fmt.Sprintf("kind: service\nname: s%d\nprofile: p\nhosts: [s%d.test]\nroutes:\n  - prefix: /\n    methods: [GET]\n    open: true\n", i, i))
	}
	for i := range n {
		apply(state.NewJoin(state.NewMember(ident.Host(fmt.Sprintf("edge-%04d", i)), 1, ident.Zone(fmt.Sprintf("zone-%02d", i%27)),
			ident.Region(fmt.Sprintf("region-%02d", i%27)), "10.0.0.1:1", "10.0.0.1:2")))
	}
	for _, c := range New().Plan(benchStart, benchInput(m.Config())) {
		apply(c.Command())
	}
	return m.Config()
}

// benchInput returns an input with 630 sites of 100 slots for each service, and
// one load per member and service.
func benchInput(config *state.Config) Input {
	var targets []Target
	var demand []Demand
	for i := range 630 {
		for j := range 4 {
			targets = append(targets, NewTarget(ident.Target(fmt.Sprintf("t%d-%d", i, j)), ident.Service(fmt.Sprintf("s%d", j)),
				ident.Zone(fmt.Sprintf("zone-%02d", i%27)), ident.Region(fmt.Sprintf("region-%02d", i%27)), 100, true))
		}
	}
	for _, m := range config.Members() {
		for j := range 4 {
			demand = append(demand, NewDemand(ident.Service(fmt.Sprintf("s%d", j)), m.Region(), "a", 1))
		}
	}
	return NewInput(config, config.Revision(), WithTargets(targets), WithDemand(demand))
}

// Measures the cost of one plan by the number of members, with 27 regions, 630
// sites, four services and nothing to change. The leader plans every 200 ms.
func BenchmarkPlanner(b *testing.B) {
	for _, n := range []int{100, 1000, 3400} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			config := benchConfig(b, n)
			input, p := benchInput(config), New()
			changes := 0
			b.ReportAllocs()
			for b.Loop() {
				changes = len(p.Plan(benchStart.Add(time.Hour), input))
			}
			b.ReportMetric(float64(changes), "changes")
		})
	}
}
