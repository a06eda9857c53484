package agree

import (
	"fmt"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"

	"rhubarbrack/ident"
)

// never is the return time of an operation that was not acknowledged.
const never = math.MaxInt64

// committedEntry is an entry that some node applied, with the value of the
// register after it.
type committedEntry struct {
	entry Entry
	value string
}

// checks records what must stay true across all nodes.
type checks struct {
	leaders   map[Term]ident.Host
	committed []committedEntry
	failure   string
}

func newChecks() checks { return checks{leaders: map[Term]ident.Host{}} }

func (c *checks) failf(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
	}
}

func sameEntry(a, b Entry) bool {
	return a.revision == b.revision && a.term == b.term && a.kind == b.kind && string(a.data) == string(b.data) &&
		slices.Equal(a.members.list, b.members.list)
}

// checkCommitted compares an applied entry with what other nodes, or the
// same one before a crash, applied at the revision.
func (c *checks) checkCommitted(host ident.Host, e Entry, value string) {
	if int(e.revision) == len(c.committed)+1 {
		c.committed = append(c.committed, committedEntry{entry: e, value: value})
	}
	if int(e.revision) > len(c.committed) || !sameEntry(c.committed[e.revision-1].entry, e) {
		c.failf("%s applied another entry at %d", host, e.revision)
	}
}

func (c *checks) checkInstall(host ident.Host, s Snapshot) {
	if int(s.revision) > len(c.committed) {
		c.failf("%s installed snapshot %d, but only %d is committed", host, s.revision, len(c.committed))
		return
	}
	if at := c.committed[s.revision-1]; at.entry.term != s.term || at.value != string(s.data) {
		c.failf("%s installed a wrong snapshot %d", host, s.revision)
	}
}

// checkLeader proves that a term has one leader and that its log holds every
// committed entry.
func (c *checks) checkLeader(n *Node) {
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

// checkLogs proves log matching: where two logs agree on a term, they agree
// on everything before.
func (w *world) checkLogs() {
	for i, first := range w.order {
		for _, second := range w.order[i+1:] {
			a, b := w.boxes[first].node, w.boxes[second].node
			if a == nil || b == nil {
				continue
			}
			matching := false
			for r := min(a.log.last(), b.log.last()); r > max(a.log.base, b.log.base); r-- {
				x, y := a.log.entries[r-a.log.base-1], b.log.entries[r-b.log.base-1]
				matching = matching || x.term == y.term
				if matching && !sameEntry(x, y) {
					w.failf("the logs of %s and %s differ at %d", first, second, r)
				}
			}
		}
	}
}

// registerInput is an operation on the register. The order counts the
// committed writes: they must take effect in the order of the log.
type registerInput struct {
	write bool
	value string
	order int
}

var registerModel = porcupine.Model{
	Init: func() any { return registerInput{} },
	Step: func(state, input, output any) (bool, any) {
		last, in := state.(registerInput), input.(registerInput)
		if in.write {
			return in.order == last.order+1, in
		}
		return output == last.value, last
	},
}

// checkHistory proves that writes and reads are linearizable. Writes that
// were not committed and reads without an answer must have had no effect.
func (w *world) checkHistory() {
	var history []porcupine.Operation
	for _, op := range w.history {
		if op.Return != never {
			history = append(history, op)
		}
	}
	w.checkReads(history)
	if w.failure == "" && !porcupine.CheckOperations(registerModel, history) {
		w.failf("the history of the register is not linearizable")
	}
}

// checkReads finds a stale read and two reads or writes in the wrong order. As
// the order of the writes is given, a history without these is linearizable.
// The check takes quadratic time, whereas the general one may take exponential
// time to prove that a history is wrong.
func (w *world) checkReads(history []porcupine.Operation) {
	orderOf := func(op porcupine.Operation) int {
		if in := op.Input.(registerInput); in.write {
			return in.order
		}
		if op.Output == "" {
			return 0
		}
		return w.history[w.writes[op.Output.(string)]].Input.(registerInput).order
	}
	for _, first := range history {
		for _, second := range history {
			if first.Return < second.Call && orderOf(first) > orderOf(second) {
				w.failf("%+v ends before %+v begins, which does not see it", first, second)
			}
		}
	}
}

// canRecover reports whether there is a membership, and every node's
// membership has a majority of voters with their disks.
func (w *world) canRecover() bool {
	known := false
	for _, host := range w.order {
		members := w.boxes[host].node.members()
		known = known || members.Len() > 0
		if members.Len() > 0 && !members.hasMajority(func(h ident.Host) bool {
			m, _ := members.Find(h)
			b := w.boxes[h]
			return b != nil && b.platter.disk == m.disk
		}) {
			return false
		}
	}
	return known
}

// finish ends the faults and proves that the cluster goes on and that no
// acknowledged entry was lost.
func (w *world) finish() {
	w.heal()
	if w.canRecover() {
		w.calm(150)
		b := w.leader()
		if b == nil {
			w.failf("no leader after the faults ended")
			return
		}
		w.beginWrite(b)
		w.beginRead(b)
		w.calm(20)
		if op := w.history[len(w.history)-1]; op.Return == never {
			w.failf("the leader answers no read after the faults ended")
		}
		w.checkConverged(b)
	}
	w.checkLogs()
	w.checkHistory()
}

func (w *world) checkConverged(leader *box) {
	if int(leader.node.commit) != len(w.committed) || leader.node.commit != leader.node.log.last() {
		w.failf("leader %s committed %d of %d", leader.host, leader.node.commit, len(w.committed))
	}
	for _, m := range leader.node.members().list {
		b := w.boxes[m.host]
		if b.platter.disk == m.disk && b.state != leader.state {
			w.failf("%s has applied %d, leader %s %d", b.host, b.state.revision, leader.host, leader.state.revision)
		}
	}
}
