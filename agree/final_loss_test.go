package agree

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/ident"
)

// toleratedLosses is the number of disks that five voters must be able to lose.
const toleratedLosses = 2

// finalLoss ends all processes at once and replaces the disks of some voters. Of
// the unsynced writes of the others, a random number survives.
func (sim *simulation) finalLoss(random *rand.Rand, voters []ident.Host) {
	for _, host := range sim.order {
		sim.crash(sim.hosts[host], random.IntN(3))
	}
	sim.messages = nil
	for _, i := range random.Perm(len(voters))[:toleratedLosses] {
		sim.loseDisk(sim.hosts[voters[i]])
	}
}

// replaceLostDisk lets a voter lose its disk, removes it and makes a new host a
// voter, as the leader does. Writes go on meanwhile. It returns the voters, and
// false if there was no leader for it.
func (sim *simulation) replaceLostDisk(random *rand.Rand) ([]ident.Host, bool) {
	sim.endFaults()
	sim.runWithoutFaults(60)
	leader := sim.leader()
	if leader == nil {
		return nil, false
	}
	lost := sim.hosts[sim.order[random.IntN(len(sim.order))]]
	if lost == leader {
		return nil, false
	}
	sim.loseDisk(lost)
	successor := sim.addHost(ident.Host(rune('a' + len(sim.order))))
	sim.start(successor)
	change := func(kind ChangeKind, h *simHost) {
		proposeMemberChange(sim, kind, h)
		withLeader(sim, sim.beginWrite)
		sim.runWithoutFaults(4 + random.IntN(3))
	}
	change(ChangeRemove, lost)
	change(ChangeAdd, successor)
	change(ChangePromote, successor)
	if sim.leader() == nil || !sim.leader().node.members().IsVoter(successor.name) {
		return nil, false
	}
	var voters []ident.Host
	for _, m := range sim.leader().node.members().list {
		voters = append(voters, m.host)
	}
	return voters, true
}

// TestFinalLoss guards against acknowledged entries that are lost, and a cluster
// that does not recover, when all hosts lose power at any moment and two of five
// voters lose their disks with it.
func TestFinalLoss(t *testing.T) {
	cases := []struct {
		name     string
		seed     int64
		replaced bool
	}{
		{name: "initial voters", seed: 21},
		{name: "a voter has been replaced", seed: 22, replaced: true},
	}
	weights := append(append(append([]weightedAction{}, networkFaults...), crashFaults...), normalActions...)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			parameters := gopter.DefaultTestParametersWithSeed(tc.seed + *seedOffset)
			parameters.MinSuccessfulTests = *schedules
			parameters.MinSize, parameters.MaxSize = 50, 300
			parameters.MaxShrinkCount = *shrinks
			properties := gopter.NewProperties(parameters)
			properties.Property("final loss", prop.ForAll(func(actions []uint32, seed uint64) string {
				return runFinalLoss(actions, seed, tc.replaced, weights)
			}, gen.SliceOf(gen.UInt32()), gen.UInt64()))
			t.Logf("seed %d, %d schedules", parameters.Seed(), *schedules)
			properties.TestingRun(t)
		})
	}
}

// runFinalLoss returns a description of the first violation, or "".
func runFinalLoss(actions []uint32, seed uint64, replaced bool, weights []weightedAction) string {
	sim, random := newSimulation(2*toleratedLosses+1), rand.New(rand.NewPCG(seed, 0))
	sim.runWithoutFaults(30)
	for _, a := range actions {
		sim.perform(action(a), weights)
	}
	voters := append([]ident.Host(nil), sim.order...)
	if replaced {
		list, ok := sim.replaceLostDisk(random)
		if !ok {
			return sim.failure
		}
		voters = list
		for range random.IntN(40) {
			sim.perform(action(random.Uint32()), normalActions)
		}
	}
	sim.finalLoss(random, voters)
	sim.endFaults()
	sim.checkRecovered()
	sim.checkLogs()
	sim.checkHistory()
	return sim.failure
}
