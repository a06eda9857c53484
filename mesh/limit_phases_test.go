package mesh

import (
	"testing"
	"time"

	"rhubarbrack/spread"
)

// limitPhase changes limits or disturbs hosts.
type limitPhase struct {
	name string
	do   func(f *limitFleet)
}

// limitCase is a series of phases with a demand in requests per second.
type limitCase struct {
	name           string
	hosts, targets int
	demand         float64
	phases         []limitPhase
}

// limits returns a phase's change to the limits of all targets.
func limits(rates ...float64) func(f *limitFleet) {
	return func(f *limitFleet) {
		for i := range f.targets {
			f.setLimit(i, spread.NewRateLimit(rates[i%len(rates)]))
		}
	}
}

// TestLimitOfFleet guards against targets that get more requests than 1.5 times
// the limit that they state, summed over all hosts, in each phase of a series of
// changes of the limits and disturbances of the hosts.
func TestLimitOfFleet(t *testing.T) {
	cases := []limitCase{
		{name: "lowered and raised", hosts: 8, targets: 1, demand: 60, phases: []limitPhase{
			{"first", limits(20)}, {"lowered", limits(4)}, {"raised", limits(12)}, {"lowered to nothing", limits(0)},
		}},
		{name: "withdrawn and stated again", hosts: 8, targets: 1, demand: 60, phases: []limitPhase{
			{"first", limits(8)},
			{"withdrawn", func(f *limitFleet) { f.setLimit(0, spread.RateLimit{}); f.run(20*time.Second, 60) }},
			{"again", limits(8)},
		}},
		{name: "several targets", hosts: 8, targets: 6, demand: 200, phases: []limitPhase{
			{"first", limits(3, 9.5, 20)}, {"exchanged", limits(20, 3, 9.5)},
		}},
		{name: "hosts restart", hosts: 10, targets: 2, demand: 100, phases: []limitPhase{
			{"first", limits(10)},
			{"one after the other", func(f *limitFleet) {
				for _, h := range f.hosts {
					f.restart(h)
					f.run(500*time.Millisecond, 100)
				}
				f.setLimit(0, f.targets[0].limit)
				f.setLimit(1, f.targets[1].limit)
			}},
		}},
		{name: "hosts hear late", hosts: 10, targets: 2, demand: 100, phases: []limitPhase{
			{"first", limits(10)},
			{"half of them cut off from the leader", func(f *limitFleet) {
				for _, h := range f.hosts[:5] {
					h.until = f.clock.Now().Add(30 * time.Second)
				}
			}},
			{"lowered meanwhile", limits(4)},
		}},
		{name: "many hosts", hosts: 71, targets: 3, demand: 150, phases: []limitPhase{{"first", limits(2.5, 9.5)}}},
	}
	for _, c := range append(cases, handoverCases...) {
		t.Run(c.name, c.check)
	}
}

// TestLimitAfterLittleDemand guards against targets that get a request of each host
// at once when demand rises, since each host has saved up one.
func TestLimitAfterLittleDemand(t *testing.T) {
	cases := []limitCase{
		{name: "many hosts after little demand", hosts: 71, targets: 2, demand: 200, phases: []limitPhase{
			{"first", limits(2.5, 9.5)},
			{"no demand", func(f *limitFleet) { f.run(2*time.Minute, 0) }},
			{"little demand", func(f *limitFleet) { f.run(2*time.Minute, 1) }},
			{"cut off", func(f *limitFleet) { f.run(time.Minute, 1); f.cutOff(35) }},
		}},
		{name: "hosts after little demand", hosts: 20, targets: 2, demand: 100, phases: []limitPhase{
			{"first", limits(1, 4)},
			{"no demand", func(f *limitFleet) { f.run(2*time.Minute, 0) }},
			{"little demand", func(f *limitFleet) { f.run(2*time.Minute, 0.3) }},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, c.check)
	}
}

// check runs the phases and compares what the targets get with their limits.
func (c limitCase) check(t *testing.T) {
	f := newLimitFleet(1, c.hosts, c.targets)
	f.run(2*time.Second, c.demand)
	for _, p := range c.phases {
		p.do(f)
		f.run(limitBindsAfter+20*time.Second, c.demand)
		for _, target := range f.targets {
			if _, isLimited := target.limit.Rate(); !isLimited {
				continue
			}
			if got, allowed := target.inSpan(); got > allowed {
				t.Errorf("%s: %s got %d requests in %v, at most %d are allowed", p.name, target.id, got, limitSpan, allowed)
			}
		}
	}
}
