package agree

import "testing"

// TestIsCurrent guards against nodes that take their state for complete although
// acknowledged commands may be missing from it.
func TestIsCurrent(t *testing.T) {
	cases := []struct {
		name string
		run  func(d *nodeDriver)
		want bool
	}{
		{name: "after a restart, without a leader", run: func(*nodeDriver) {}},
		{name: "a leader whose commit revision is outdated", run: func(d *nodeDriver) {
			d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 3).WithPosition(2, 2)))
		}},
		{name: "an entry of the leader's term is committed", want: true, run: followLeader},
		{name: "the leader has reported a later commit", run: func(d *nodeDriver) {
			followLeader(d)
			d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 3).WithPosition(3, 3).WithProgress(4, 0, 0)))
		}},
		{name: "the leader is silent", run: func(d *nodeDriver) {
			followLeader(d)
			d.clock = d.clock.Add(defaultElectionTimeout)
			d.stepWith(NewSynced(0))
		}},
		{name: "a new leader before its first commit", run: func(d *nodeDriver) { d.winElection() }},
		{name: "a new leader after its first commit", want: true, run: func(d *nodeDriver) {
			d.winElection()
			d.confirmLog(3)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newNodeDriver(t, noOpEntries(1, 2)...)
			c.run(d)
			if got := d.IsCurrent(); got != c.want {
				t.Errorf("current = %v, want %v; term %d, commit %d", got, c.want, d.term, d.commit)
			}
		})
	}
}

// followLeader lets the node receive and commit the first entry of a leader.
func followLeader(d *nodeDriver) {
	entry := NewEntry(3, 3, EntryNoOp, nil)
	d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 3).WithPosition(2, 2).WithEntries([]Entry{entry})))
	d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 3).WithPosition(3, 3).WithProgress(3, 0, 0)))
}
