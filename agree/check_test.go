package agree

import (
	"fmt"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"

	"rhubarbrack/ident"
)

// notAcknowledged is the return time of an operation without a response.
const notAcknowledged = math.MaxInt64

// committedEntry is an entry that some node applied, with the resulting value of
// the register.
type committedEntry struct {
	entry Entry
	value string
}

// invariantChecker checks the invariants of Raft across all nodes and keeps the
// first violation.
type invariantChecker struct {
	leaders   map[Term]ident.Host
	committed []committedEntry
	failure   string
}

func newInvariantChecker() invariantChecker { return invariantChecker{leaders: map[Term]ident.Host{}} }

func (c *invariantChecker) failf(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
	}
}

func sameEntry(a, b Entry) bool {
	return a.revision == b.revision && a.term == b.term && a.kind == b.kind && string(a.data) == string(b.data) &&
		slices.Equal(a.members.list, b.members.list)
}

// checkCommitted compares an applied entry with the one that other nodes, or the
// same node before a crash, applied at the same revision.
func (c *invariantChecker) checkCommitted(host ident.Host, e Entry, value string) {
	if int(e.revision) == len(c.committed)+1 {
		c.committed = append(c.committed, committedEntry{entry: e, value: value})
	}
	if int(e.revision) > len(c.committed) || !sameEntry(c.committed[e.revision-1].entry, e) {
		c.failf("%s applied a different entry at revision %d", host, e.revision)
	}
}

func (c *invariantChecker) checkInstall(host ident.Host, s Snapshot) {
	if int(s.revision) > len(c.committed) {
		c.failf("%s installed snapshot %d, but only %d is committed", host, s.revision, len(c.committed))
		return
	}
	if last := c.committed[s.revision-1]; last.entry.term != s.term || last.value != string(s.data) {
		c.failf("%s installed a wrong snapshot %d", host, s.revision)
	}
}

// checkLeader checks that a term has one leader and that the log of the leader
// holds every committed entry.
func (c *invariantChecker) checkLeader(n *Node) {
	if other, ok := c.leaders[n.term]; ok && other != n.host {
		c.failf("%s and %s lead in term %d", other, n.host, n.term)
	}
	c.leaders[n.term] = n.host
	for _, e := range c.committed {
		if e.entry.revision < n.log.base {
			continue
		}
		if term, ok := n.log.term(e.entry.revision); !ok || term != e.entry.term {
			c.failf("leader %s of term %d lacks committed entry %d", n.host, n.term, e.entry.revision)
			return
		}
	}
}

// checkLogs checks the log matching property: two logs that have the same term
// at a revision are equal up to it.
func (sim *simulation) checkLogs() {
	for i, first := range sim.order {
		for _, second := range sim.order[i+1:] {
			a, b := sim.hosts[first].node, sim.hosts[second].node
			if a == nil || b == nil {
				continue
			}
			matching := false
			for r := min(a.log.last(), b.log.last()); r > max(a.log.base, b.log.base); r-- {
				x, y := a.log.entries[r-a.log.base-1], b.log.entries[r-b.log.base-1]
				matching = matching || x.term == y.term
				if matching && !sameEntry(x, y) {
					sim.failf("the logs of %s and %s differ at revision %d", first, second, r)
				}
			}
		}
	}
}

// registerInput is an operation on the register. The sequence number of a write
// is its position among the committed writes, which must take effect in the
// order of the log.
type registerInput struct {
	write    bool
	value    string
	sequence int
}

var registerModel = porcupine.Model{
	Init: func() any { return registerInput{} },
	Step: func(state, input, output any) (bool, any) {
		last, in := state.(registerInput), input.(registerInput)
		if in.write {
			return in.sequence == last.sequence+1, in
		}
		return output == last.value, last
	},
}

// checkHistory checks that writes and reads are linearizable. It leaves out
// writes that were not committed and reads without a response.
func (sim *simulation) checkHistory() {
	var history []porcupine.Operation
	for _, op := range sim.history {
		if op.Return != notAcknowledged {
			history = append(history, op)
		}
	}
	sim.checkReads(history)
	if sim.failure == "" && !porcupine.CheckOperations(registerModel, history) {
		sim.failf("the history of the register is not linearizable")
	}
}

// checkReads detects stale reads and operations that take effect in the wrong
// order. As the order of the writes is known, a history without these is
// linearizable. This check takes quadratic time, whereas the general one may
// take exponential time to reject a history.
func (sim *simulation) checkReads(history []porcupine.Operation) {
	sequenceOf := func(op porcupine.Operation) int {
		if in := op.Input.(registerInput); in.write {
			return in.sequence
		}
		if op.Output == "" {
			return 0
		}
		return sim.history[sim.writeOps[op.Output.(string)]].Input.(registerInput).sequence
	}
	for _, first := range history {
		for _, second := range history {
			if first.Return < second.Call && sequenceOf(first) > sequenceOf(second) {
				sim.failf("%+v ends before %+v begins, which does not observe it", first, second)
			}
		}
	}
}

// canRecover reports whether some node knows a membership, and each known
// membership has a majority of voters that still have their disks.
func (sim *simulation) canRecover() bool {
	known := false
	for _, host := range sim.order {
		members := sim.hosts[host].node.members()
		known = known || members.Len() > 0
		if members.Len() > 0 && !members.hasMajority(func(voter ident.Host) bool {
			m, _ := members.Find(voter)
			h := sim.hosts[voter]
			return h != nil && h.disk.id == m.diskID
		}) {
			return false
		}
	}
	return known
}

// checkRecovery ends the faults and checks that the cluster commits and reads
// again and that no acknowledged entry was lost.
func (sim *simulation) checkRecovery() {
	sim.endFaults()
	if sim.canRecover() {
		sim.checkRecovered()
	}
	sim.checkLogs()
	sim.checkHistory()
}

// checkRecovered checks that the cluster elects a leader, commits, reads and
// converges.
func (sim *simulation) checkRecovered() {
	sim.runWithoutFaults(150)
	h := sim.leader()
	if h == nil {
		sim.failf("no leader after the faults ended")
		return
	}
	sim.beginWrite(h)
	sim.beginRead(h)
	sim.runWithoutFaults(20)
	if op := sim.history[len(sim.history)-1]; op.Return == notAcknowledged {
		sim.failf("the leader confirms no read after the faults ended")
	}
	sim.checkConverged(h)
}

func (sim *simulation) checkConverged(leader *simHost) {
	if int(leader.node.commit) != len(sim.committed) || leader.node.commit != leader.node.log.last() {
		sim.failf("leader %s committed %d of %d entries", leader.name, leader.node.commit, len(sim.committed))
	}
	for _, m := range leader.node.members().list {
		h := sim.hosts[m.host]
		if h.disk.id == m.diskID && h.state != leader.state {
			sim.failf("%s has applied revision %d, leader %s %d", h.name, h.state.revision, leader.name, leader.state.revision)
		}
	}
}
