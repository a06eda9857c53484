package agree

import (
	"flag"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/ident"
)

var (
	schedules  = flag.Int("schedules", 1500, "random schedules per property")
	seedOffset = flag.Int64("seed-shift", 0, "added to the seed of each property")
	shrinks    = flag.Int("shrinks", 0, "attempts to shorten a failing schedule")
)

// maxAddedHosts bounds the hosts that may join besides the initial ones.
const maxAddedHosts = 4

// action is an encoded event of a schedule. The lowest byte selects the kind,
// the next byte a host, and the remaining bits a parameter. Any number is a valid
// action, so that gopter can shrink a failing schedule.
type action uint32

func (a action) host(sim *simulation) *simHost {
	return sim.hosts[sim.order[int(a>>8&0xff)%len(sim.order)]]
}
func (a action) amount(below int) int {
	return int(a>>16) % below
}

// perform carries out one action. The weights map its kind to a function. A
// kind beyond the sum of the weights does nothing.
func (sim *simulation) perform(a action, weights []weightedAction) {
	kind := int(a & 0xff)
	for _, entry := range weights {
		if kind < entry.weight {
			entry.act(sim, a)
			return
		}
		kind -= entry.weight
	}
}

// weightedAction assigns an action as many of the 256 kinds as its weight.
type weightedAction struct {
	weight int
	act    func(*simulation, action)
}

var normalActions = []weightedAction{
	{60, func(sim *simulation, a action) { sim.advance(time.Duration(a.amount(25)) * time.Millisecond) }},
	{80, func(sim *simulation, a action) {
		for n := a.amount(8) + 1; n > 0 && len(sim.messages) > 0; n-- {
			sim.deliver(0)
		}
	}},
	{35, func(sim *simulation, a action) { sim.sync(a.host(sim), 1+a.amount(4)) }},
	{13, func(sim *simulation, a action) { sim.beginWrite(a.host(sim)) }},
	{4, func(sim *simulation, a action) { sim.beginRead(a.host(sim)) }},
	{5, func(sim *simulation, _ action) { withLeader(sim, sim.beginWrite) }},
	{5, func(sim *simulation, _ action) { withLeader(sim, sim.beginRead) }},
	{3, func(sim *simulation, a action) { compactHost(sim, a.host(sim)) }},
	{2, func(sim *simulation, a action) {
		withLeader(sim, func(h *simHost) { sim.step(h, NewTransferLeadership(0, a.host(sim).name)) })
	}},
}

var networkFaults = []weightedAction{
	{12, func(sim *simulation, a action) {
		if len(sim.messages) > 0 {
			sim.deliver(a.amount(len(sim.messages)))
		}
	}},
	{6, func(sim *simulation, a action) {
		if len(sim.messages) > 0 {
			sim.messages = append(sim.messages, sim.messages[a.amount(len(sim.messages))])
		}
	}},
	{6, func(sim *simulation, a action) {
		if len(sim.messages) > 0 {
			i := a.amount(len(sim.messages))
			sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
		}
	}},
	{2, func(sim *simulation, a action) {
		sim.cutLinks[[2]ident.Host{a.host(sim).name, sim.order[a.amount(len(sim.order))]}] = true
	}},
	{2, isolate},
	{3, func(sim *simulation, _ action) { clear(sim.cutLinks) }},
	{2, func(sim *simulation, a action) { a.host(sim).clockDivisor = 1 + a.amount(8) }},
	{1, isolateSlowLeader},
}

var crashFaults = []weightedAction{
	{3, func(sim *simulation, a action) { sim.crash(a.host(sim), a.amount(4)) }},
	{6, func(sim *simulation, a action) {
		if h := a.host(sim); h.node == nil {
			sim.start(h)
		}
	}},
}

var membershipActions = []weightedAction{
	{3, addMember},
	{4, func(sim *simulation, a action) { proposeMemberChange(sim, ChangePromote, a.host(sim)) }},
	{2, func(sim *simulation, a action) { proposeMemberChange(sim, ChangeRemove, a.host(sim)) }},
}

var diskFaults = []weightedAction{
	{1, func(sim *simulation, a action) { sim.loseDisk(a.host(sim)) }},
	{1, replaceMember},
}

func withLeader(sim *simulation, do func(*simHost)) {
	if h := sim.leader(); h != nil {
		do(h)
	}
}

func compactHost(sim *simulation, h *simHost) {
	sim.step(h, NewCompact(h.state.revision, []byte(h.state.value)))
}

func isolate(sim *simulation, a action) {
	for _, other := range sim.order {
		if h := a.host(sim); other != h.name {
			sim.cutLinks[[2]ident.Host{h.name, other}], sim.cutLinks[[2]ident.Host{other, h.name}] = true, true
		}
	}
}

// isolateSlowLeader cuts off the leader and slows its clock, so that it still
// considers itself the leader after another one has committed a write. It then
// reads from the old leader.
func isolateSlowLeader(sim *simulation, a action) {
	old := sim.leader()
	if old == nil {
		return
	}
	old.clockDivisor = 50
	for _, other := range sim.order {
		sim.cutLinks[[2]ident.Host{old.name, other}], sim.cutLinks[[2]ident.Host{other, old.name}] = true, true
	}
	sim.runWithoutFaults(30 + a.amount(20))
	withLeader(sim, sim.beginWrite)
	sim.runWithoutFaults(3)
	sim.beginRead(old)
}

func proposeMemberChange(sim *simulation, kind ChangeKind, h *simHost) {
	withLeader(sim, func(leader *simHost) {
		sim.step(leader, NewChangeMember(0, kind, NewMember(h.name, "", h.disk.id, false)))
	})
}

// addMember adds a host as a learner. Unless maxAddedHosts is reached, it is a
// new host with an empty disk.
func addMember(sim *simulation, a action) {
	h := a.host(sim)
	if sim.leader() != nil && len(sim.order) < sim.initial.Len()+maxAddedHosts {
		h = sim.addHost(ident.Host(rune('a' + len(sim.order))))
		sim.start(h)
	}
	proposeMemberChange(sim, ChangeAdd, h)
}

// replaceMember lets a host lose its disk, replaces it with a new host, and
// crashes up to two hosts right after.
func replaceMember(sim *simulation, a action) {
	leader, lost := sim.leader(), a.host(sim)
	if leader == nil || leader == lost || len(sim.order) >= sim.initial.Len()+maxAddedHosts {
		return
	}
	sim.loseDisk(lost)
	h := sim.addHost(ident.Host(rune('a' + len(sim.order))))
	sim.start(h)
	for _, kind := range []ChangeKind{ChangeAdd, ChangePromote} {
		proposeMemberChange(sim, kind, h)
		sim.runWithoutFaults(3)
	}
	proposeMemberChange(sim, ChangeRemove, lost)
	sim.runWithoutFaults(a.amount(3))
	sim.crash(a.host(sim), 0)
	sim.crash(sim.hosts[sim.order[a.amount(len(sim.order))]], 0)
}

// Guards against two leaders in a term, diverging logs, loss of acknowledged
// entries, changes of committed entries, stale reads, and a cluster that elects
// no leader after the faults have ended.
func TestSchedules(t *testing.T) {
	cases := []struct {
		name   string
		seed   int64
		voters int
		faults [][]weightedAction
	}{
		{name: "network", seed: 1, voters: 3, faults: [][]weightedAction{networkFaults}},
		{name: "crashes", seed: 2, voters: 3, faults: [][]weightedAction{networkFaults, crashFaults}},
		{name: "five voters", seed: 3, voters: 5, faults: [][]weightedAction{networkFaults, crashFaults}},
		{name: "membership", seed: 4, voters: 3, faults: [][]weightedAction{networkFaults, crashFaults, membershipActions}},
		{name: "single voter grows", seed: 5, voters: 1, faults: [][]weightedAction{crashFaults, membershipActions}},
		{name: "disk loss", seed: 6, voters: 3, faults: [][]weightedAction{networkFaults, crashFaults, membershipActions, diskFaults}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var weights []weightedAction
			for _, list := range tc.faults {
				weights = append(weights, list...)
			}
			weights = append(weights, normalActions...)
			parameters := gopter.DefaultTestParametersWithSeed(tc.seed + *seedOffset)
			parameters.MinSuccessfulTests = *schedules
			parameters.MinSize, parameters.MaxSize = 300, 600
			parameters.MaxShrinkCount = *shrinks
			properties := gopter.NewProperties(parameters)
			properties.Property("schedule", prop.ForAll(func(actions []uint32) string {
				return runSchedule(tc.voters, actions, weights)
			}, gen.SliceOf(gen.UInt32())))
			t.Logf("seed %d, %d schedules", parameters.Seed(), *schedules)
			properties.TestingRun(t)
		})
	}
}

// runSchedule returns a description of the first violation, or "".
func runSchedule(voters int, actions []uint32, weights []weightedAction) string {
	sim := newSimulation(voters)
	sim.runWithoutFaults(30)
	for i, a := range actions {
		sim.perform(action(a), weights)
		if i%50 == 0 {
			sim.checkLogs()
		}
		if sim.failure != "" {
			return sim.failure
		}
	}
	sim.checkRecovery()
	return sim.failure
}
