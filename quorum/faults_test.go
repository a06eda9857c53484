package quorum

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// modelSeeds is the number of seeds that the model runs with.
var modelSeeds = flag.Uint64("model.seeds", 150, "number of seeds of the model of the membership")

// modelFaults is the number of faults of each seed.
const modelFaults = 12

// modelStopTime is how long a machine that is told to stop waits until the leader
// has removed it.
const modelStopTime = 3 * time.Second

// at schedules what happens after a time.
func (m *model) at(after time.Duration, do func()) {
	m.later = append(m.later, event{at: m.now.Add(after), do: do})
}

// lose marks a machine as lost for a time and until it has caught up.
func (m *model) lose(h *machine, down time.Duration) {
	h.busyUntil = m.now.Add(down)
	h.lostUntil = m.now.Add(down + modelCatchUp)
}

// stop ends the process of a machine and starts it again after a time.
func (m *model) stop(h *machine, down time.Duration, isDiskLost bool) {
	m.lose(h, down)
	h.node = nil
	if isDiskLost {
		m.emptyDisk(h)
	}
	m.at(down, func() {
		m.logf("%s is back", h.name)
		m.start(h)
	})
}

// replace replaces a machine by one at another address, before the old one stops
// or after it is gone.
func (m *model) replace(h *machine, isPlanned bool) {
	if !isPlanned {
		m.lose(h, time.Second)
		h.node, h.gone = nil, true
		m.at(time.Second, func() { m.join() })
		return
	}
	next := m.join()
	h.busyUntil = m.now.Add(modelCatchUp + 2*time.Second)
	next.busyUntil = h.busyUntil
	m.at(modelCatchUp, func() {
		m.logf("%s is told to stop", h.name)
		m.leave(h, m.now.Add(modelStopTime))
	})
}

// join starts a new machine with an empty disk, which counts as lost until it has
// caught up.
func (m *model) join() *machine {
	h := m.addMachine()
	m.logf("%s starts with an empty disk", h.name)
	m.start(h)
	h.lostUntil = m.now.Add(modelCatchUp)
	return h
}

// leave asks the leader to remove a machine that is about to stop, until it has or
// will not, and then ends it for good.
func (m *model) leave(h *machine, limit time.Time) {
	leader := m.leader()
	switch {
	case leader == h:
		m.nextTag++
		m.step(h, agree.NewTransferLeadership(m.nextTag, ""))
	case leader != nil && m.reaches(h, leader):
		if !m.planner(leader).IsSpare(m.members(leader), h.name) {
			limit = m.now
		}
		leader.leavers[h.name] = m.now
	}
	if !m.leaves || !m.now.Before(limit) || h.node == nil {
		m.logf("%s is gone", h.name)
		h.node, h.gone = nil, true
		return
	}
	m.at(50*time.Millisecond, func() { m.leave(h, limit) })
}

// injectFault lets something happen to a random machine, unless more would be lost
// than is to be borne.
func (m *model) injectFault() {
	h := m.machines[m.random.IntN(len(m.machines))]
	if leader := m.leader(); leader != nil && m.random.IntN(3) == 0 {
		h = leader
	}
	if h.gone || h.node == nil || m.now.Before(h.busyUntil) || m.lost() >= m.tolerance {
		return
	}
	if m.now.Before(h.lostUntil) && m.random.IntN(2) == 0 {
		return
	}
	long := time.Duration(500+m.random.IntN(7500)) * time.Millisecond
	switch kind := m.random.IntN(6); kind {
	case 0:
		m.logf("%s is down for %v", h.name, long)
		m.stop(h, long, false)
	case 1:
		m.logf("%s restarts", h.name)
		m.stop(h, 300*time.Millisecond, false)
	case 2:
		m.logf("%s loses its disk", h.name)
		m.stop(h, 1500*time.Millisecond, true)
	case 3:
		m.logf("%s is cut off for %v", h.name, long)
		m.lose(h, long)
		h.cut = true
		m.at(long, func() { h.cut = false })
	case 4:
		m.logf("%s is replaced", h.name)
		m.replace(h, false)
	case 5:
		m.logf("%s is replaced as planned", h.name)
		m.replace(h, true)
	}
}

// runModel runs a model with faults and then without, and returns the first
// violation.
func runModel(m *model, faults int) error {
	run := func(d time.Duration) error {
		for end := m.now.Add(d); m.now.Before(end); {
			m.advance()
			if err := m.check(); err != nil {
				return err
			}
		}
		return nil
	}
	if err := run(3 * time.Second); err != nil {
		return err
	}
	for range faults {
		m.injectFault()
		if err := run(time.Duration(m.random.IntN(3000)) * time.Millisecond); err != nil {
			return err
		}
	}
	// All machines are back after 8 s, and have caught up after 4 s more.
	if err := run(15 * time.Second); err != nil {
		return err
	}
	return m.checkEnd()
}

// checkEnd returns an error unless every machine that is left is a voter, and no
// other.
func (m *model) checkEnd() error {
	leader := m.leader()
	if leader == nil {
		return fmt.Errorf("there is no leader:\n%s", strings.Join(m.trace, "\n"))
	}
	want := map[ident.Host]bool{}
	for _, h := range m.machines {
		if !h.gone {
			want[h.name] = true
		}
	}
	for _, member := range leader.node.Members().List() {
		if !want[member.Host()] || !member.IsVoter() {
			return fmt.Errorf("%s, voter %v, is a member:\n%s", member.Host(), member.IsVoter(), strings.Join(m.trace, "\n"))
		}
	}
	if n := leader.node.Members().Len(); n != len(want) {
		return fmt.Errorf("%d of %d hosts are members:\n%s", n, len(want), strings.Join(m.trace, "\n"))
	}
	return nil
}

// TestModel guards against a membership that does not survive the loss of as many
// disks as are tolerated, at any moment of replacements, losses and changes of the
// leader that the fleet must bear, and against hosts that do not become voters again.
func TestModel(t *testing.T) {
	cases := []struct {
		name                string
		machines, tolerance int
	}{
		{"five machines, two losses", 5, 2},
		{"three machines, one loss", 3, 1},
		{"more machines than one loss needs", 5, 1},
		{"an even number of machines", 4, 1},
		{"seven machines, three losses", 7, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range *modelSeeds {
				if err := runModel(newModel(seed, c.machines, c.tolerance), modelFaults); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// TestModelFindsFaults guards against a model that would not notice the faults that
// it was written for.
func TestModelFindsFaults(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(m *model)
	}{
		{"hosts that are removed never join again", func(m *model) { m.rejoins = false }},
		{"a host that is gone remains a voter for 6 s", func(m *model) { m.silence = 6 * time.Second }},
		{"a host that stops for good remains a voter", func(m *model) { m.leaves = false }},
	}
	for _, c := range cases {
		found := 0
		for seed := range *modelSeeds {
			m := newModel(seed, 5, 2)
			c.spoil(m)
			if runModel(m, modelFaults) != nil {
				found++
			}
		}
		if found == 0 {
			t.Errorf("%s: not found with %d seeds", c.name, *modelSeeds)
		}
		t.Logf("%s: found with %d of %d seeds", c.name, found, *modelSeeds)
	}
}
