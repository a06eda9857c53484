package mesh

import (
	"time"

	"rhubarbrack/spread"
)

// handoverCases are those of hosts that send their requests through others.
var handoverCases = []limitCase{
	{name: "a part of the hosts is cut off", hosts: 8, targets: 2, demand: 60, phases: []limitPhase{
		{"first", limits(10)}, {"cut off", cutOff(4)}, {"lowered", limits(4)}, {"raised", limits(12)},
		{"path back", cutOff(0)}, {"cut off again", cutOff(4)}, {"withdrawn", withdraw(20*time.Second, 60)}, {"again", limits(4)},
	}},
	{name: "one host has a path", hosts: 8, targets: 2, demand: 60, phases: []limitPhase{
		{"cut off", cutOff(7)}, {"first", limits(10)}, {"lowered", limits(4)}, {"path back", cutOff(0)},
	}},
	{name: "only hosts without a path have callers", hosts: 6, targets: 1, demand: 100, phases: []limitPhase{
		{"cut off", func(f *limitFleet) { f.cutOff(2); f.callers = 2 }}, {"first", limits(10)}, {"raised", limits(20)}, {"lowered", limits(5)},
	}},
	{name: "several targets, some hosts cut off", hosts: 8, targets: 6, demand: 200, phases: []limitPhase{
		{"cut off", cutOff(3)}, {"first", limits(3, 9.5, 20)}, {"exchanged", limits(20, 3, 9.5)}, {"lowered", limits(2)},
	}},
	{name: "two peers in turn", hosts: 3, targets: 2, demand: 80, phases: []limitPhase{
		{"first", func(f *limitFleet) { f.callers = 1; limits(10)(f) }},
		{"in turn", takeTurns(300 * time.Millisecond)},
		{"in longer turns", takeTurns(time.Second)},
		{"in turns of the window", takeTurns(4 * time.Second)},
	}},
	{name: "peers restart", hosts: 4, targets: 2, demand: 80, phases: []limitPhase{
		{"first", func(f *limitFleet) { f.cutOff(1); f.callers = 1; limits(10)(f) }},
		{"one after the other", func(f *limitFleet) {
			for i := range 12 {
				f.restart(f.hosts[1+i%3])
				f.run(700*time.Millisecond, 80)
			}
		}},
		{"together", func(f *limitFleet) {
			for _, h := range f.hosts[1:] {
				f.restart(h)
			}
		}},
	}},
	{name: "peers hear late", hosts: 6, targets: 2, demand: 80, phases: []limitPhase{
		{"cut off", cutOff(2)},
		{"first", func(f *limitFleet) {
			for _, h := range f.hosts[2:4] {
				h.until = f.clock.Now().Add(60 * time.Second)
			}
			limits(10)(f)
		}},
		{"lowered", limits(4)}, {"raised", limits(12)},
	}},
	{name: "leaders are replaced", hosts: 71, targets: 3, demand: 150, phases: []limitPhase{
		{"first", limits(2.5, 9.5)}, {"cut off", cutOff(35)},
		{"one leader after the other", func(f *limitFleet) {
			for range 6 {
				f.replaceLeader()
				f.run(5*time.Second, 150)
			}
		}},
	}},
	{name: "hosts that are cut off hear late", hosts: 6, targets: 2, demand: 80, phases: []limitPhase{
		{"cut off", func(f *limitFleet) {
			f.cutOff(3)
			for _, h := range f.hosts[:3] {
				h.until = f.clock.Now().Add(60 * time.Second)
			}
		}},
		{"first", limits(10)}, {"lowered", limits(4)}, {"path back", cutOff(0)},
	}},
}

// cutOff returns a phase in which the given number of hosts has no path to the
// targets.
func cutOff(hosts int) func(f *limitFleet) { return func(f *limitFleet) { f.cutOff(hosts) } }

// withdraw returns a phase in which all targets withdraw their limits for a time.
func withdraw(d time.Duration, demand float64) func(f *limitFleet) {
	return func(f *limitFleet) {
		for i := range f.targets {
			f.setLimit(i, spread.RateLimit{})
		}
		f.run(d, demand)
	}
}

// takeTurns returns a phase in which the first host has no path to the targets,
// and the second and the third have one in turns of the given length.
func takeTurns(length time.Duration) func(f *limitFleet) {
	return func(f *limitFleet) {
		for i := range 12 {
			f.hosts[0].isCutOff, f.hosts[1].isCutOff, f.hosts[2].isCutOff = true, i%2 == 0, i%2 == 1
			f.run(length, 80)
		}
	}
}
