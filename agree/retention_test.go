package agree

import (
	"testing"
	"time"

	"rhubarbrack/ident"
)

// TestRetainedBytes guards against a log that keeps thousands of entries before
// each snapshot, whatever their size, until the host runs out of memory.
func TestRetainedBytes(t *testing.T) {
	const interval = 20
	cases := []struct {
		name    string
		size    int
		changes int
		// want are the least and the greatest number of entries before the last
		// snapshot.
		want [2]int
	}{
		{"small entries", 10, 1000, [2]int{90, 100}},
		{"large entries", 1000, 1000, [2]int{7, 10}},
		{"entries above the limit", 20_000, 200, [2]int{0, 0}},
	}
	for _, c := range cases {
		n := New("a", NewPersistentState(1, HardState{}, ident.None[Snapshot](), nil),
			WithRetainedEntries(100), WithRetainedBytes(10_000))
		now := time.Unix(0, 0)
		step := func(input Input) {
			effects := n.Step(now, input)
			for _, w := range effects.Writes() {
				n.Step(now, NewSynced(w.Number()))
			}
		}
		step(NewBootstrap(NewMembers(NewMember("a", "", 1, true))))
		for n.Role() != Leader {
			now = now.Add(time.Second)
			step(Tick{})
		}
		most := 0
		for i := range c.changes {
			step(NewPropose(NewProposal(Tag(i), make([]byte, c.size))))
			if i%interval == interval-1 {
				step(NewCompact(n.CommitRevision(), []byte("state")))
			}
			most = max(most, n.LogBytes())
		}
		retained := n.LogEntries()
		if retained < c.want[0] || retained > c.want[1] {
			t.Errorf("%s: %d entries before the last snapshot, want %v", c.name, retained, c.want)
		}
		if limit := 10_000 + interval*(c.size+entryOverhead); most > limit {
			t.Errorf("%s: up to %d bytes, want at most %d", c.name, most, limit)
		}
	}
}
