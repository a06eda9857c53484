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
	schedules = flag.Int("schedules", 1500, "random schedules per property")
	seedShift = flag.Int64("seed-shift", 0, "added to the seed of each property")
	shrinks   = flag.Int("shrinks", 0, "attempts to shorten a failing schedule")
)

// spare is how many hosts may join besides the first three.
const spare = 4

// action is one encoded event of a schedule: the kind in the low byte, a
// host in the next, an amount in the rest. Any number is a valid action, so
// that gopter can shrink a failing schedule.
type action uint32

func (a action) host(w *world) *box { return w.boxes[w.order[int(a>>8&0xff)%len(w.order)]] }
func (a action) amount(below int) int {
	return int(a>>16) % below
}

// play carries out one action. Kinds below faults disturb nothing.
func (w *world) play(a action, weights []weight) {
	kind := int(a & 0xff)
	for _, entry := range weights {
		if kind < entry.share {
			entry.act(w, a)
			return
		}
		kind -= entry.share
	}
}

// weight gives an action a share of the 256 kinds.
type weight struct {
	share int
	act   func(*world, action)
}

var ordinary = []weight{
	{60, func(w *world, a action) { w.advance(time.Duration(a.amount(25)) * time.Millisecond) }},
	{80, func(w *world, a action) {
		for n := a.amount(8) + 1; n > 0 && len(w.queue) > 0; n-- {
			w.deliver(0)
		}
	}},
	{35, func(w *world, a action) { w.sync(a.host(w), 1+a.amount(4)) }},
	{13, func(w *world, a action) { w.beginWrite(a.host(w)) }},
	{4, func(w *world, a action) { w.beginRead(a.host(w)) }},
	{5, func(w *world, _ action) { withLeader(w, w.beginWrite) }},
	{5, func(w *world, _ action) { withLeader(w, w.beginRead) }},
	{3, func(w *world, a action) { compactBox(w, a.host(w)) }},
	{2, func(w *world, a action) {
		withLeader(w, func(b *box) { w.step(b, NewTransferLeadership(0, a.host(w).host)) })
	}},
}

var network = []weight{
	{12, func(w *world, a action) {
		if len(w.queue) > 0 {
			w.deliver(a.amount(len(w.queue)))
		}
	}},
	{6, func(w *world, a action) {
		if len(w.queue) > 0 {
			w.queue = append(w.queue, w.queue[a.amount(len(w.queue))])
		}
	}},
	{6, func(w *world, a action) {
		if len(w.queue) > 0 {
			i := a.amount(len(w.queue))
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
		}
	}},
	{2, func(w *world, a action) {
		w.cuts[[2]ident.Host{a.host(w).host, w.order[a.amount(len(w.order))]}] = true
	}},
	{2, isolate},
	{3, func(w *world, _ action) { clear(w.cuts) }},
	{2, func(w *world, a action) { a.host(w).slow = 1 + a.amount(8) }},
	{1, staleLeader},
}

var crashes = []weight{
	{3, func(w *world, a action) { w.crash(a.host(w), a.amount(4)) }},
	{6, func(w *world, a action) {
		if b := a.host(w); b.node == nil {
			w.start(b)
		}
	}},
}

var memberFaults = []weight{
	{3, addMember},
	{4, func(w *world, a action) { change(w, ChangePromote, a.host(w)) }},
	{2, func(w *world, a action) { change(w, ChangeRemove, a.host(w)) }},
}

var diskLoss = []weight{
	{1, func(w *world, a action) { w.loseDisk(a.host(w)) }},
	{1, replaceMember},
}

func withLeader(w *world, do func(*box)) {
	if b := w.leader(); b != nil {
		do(b)
	}
}

func compactBox(w *world, b *box) {
	w.step(b, NewCompact(b.state.revision, []byte(b.state.value)))
}

func isolate(w *world, a action) {
	for _, other := range w.order {
		if b := a.host(w); other != b.host {
			w.cuts[[2]ident.Host{b.host, other}], w.cuts[[2]ident.Host{other, b.host}] = true, true
		}
	}
}

// staleLeader cuts off a leader whose clock runs slow, so that it still takes
// itself for the leader when another one has committed a write.
func staleLeader(w *world, a action) {
	old := w.leader()
	if old == nil {
		return
	}
	old.slow = 50
	for _, other := range w.order {
		w.cuts[[2]ident.Host{old.host, other}], w.cuts[[2]ident.Host{other, old.host}] = true, true
	}
	w.calm(30 + a.amount(20))
	withLeader(w, w.beginWrite)
	w.calm(3)
	w.beginRead(old)
}

func change(w *world, kind ChangeKind, b *box) {
	withLeader(w, func(leader *box) {
		w.step(leader, NewChangeMember(0, kind, NewMember(b.host, "", b.platter.disk, false)))
	})
}

// addMember adds a host with an empty disk, under a new name while there are
// spare ones.
func addMember(w *world, a action) {
	b := a.host(w)
	if w.leader() != nil && len(w.order) < w.initial.Len()+spare {
		b = w.addBox(ident.Host(rune('a' + len(w.order))))
		w.start(b)
	}
	change(w, ChangeAdd, b)
}

// replaceMember lets a host lose its disk, replaces it by a new one, and
// crashes another host right after.
func replaceMember(w *world, a action) {
	leader, lost := w.leader(), a.host(w)
	if leader == nil || leader == lost || len(w.order) >= w.initial.Len()+spare {
		return
	}
	w.loseDisk(lost)
	b := w.addBox(ident.Host(rune('a' + len(w.order))))
	w.start(b)
	for _, kind := range []ChangeKind{ChangeAdd, ChangePromote} {
		change(w, kind, b)
		w.calm(3)
	}
	change(w, ChangeRemove, lost)
	w.calm(a.amount(3))
	w.crash(a.host(w), 0)
	w.crash(w.boxes[w.order[a.amount(len(w.order))]], 0)
}

// Guards against two leaders in a term, logs that diverge, acknowledged
// entries that are lost, committed entries that change, stale reads, and a
// cluster that stays without a leader after the faults have ended.
func TestSchedules(t *testing.T) {
	cases := []struct {
		name   string
		seed   int64
		voters int
		faults [][]weight
	}{
		{name: "network", seed: 1, voters: 3, faults: [][]weight{network}},
		{name: "crashes", seed: 2, voters: 3, faults: [][]weight{network, crashes}},
		{name: "five voters", seed: 3, voters: 5, faults: [][]weight{network, crashes}},
		{name: "membership", seed: 4, voters: 3, faults: [][]weight{network, crashes, memberFaults}},
		{name: "single voter grows", seed: 5, voters: 1, faults: [][]weight{crashes, memberFaults}},
		{name: "disk loss", seed: 6, voters: 3, faults: [][]weight{network, crashes, memberFaults, diskLoss}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var weights []weight
			for _, list := range tc.faults {
				weights = append(weights, list...)
			}
			weights = append(weights, ordinary...)
			parameters := gopter.DefaultTestParametersWithSeed(tc.seed + *seedShift)
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

// runSchedule returns what went wrong, or "".
func runSchedule(voters int, actions []uint32, weights []weight) string {
	w := newWorld(voters)
	w.calm(30)
	for i, a := range actions {
		w.play(action(a), weights)
		if i%50 == 0 {
			w.checkLogs()
		}
		if w.failure != "" {
			return w.failure
		}
	}
	w.finish()
	return w.failure
}
