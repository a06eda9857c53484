package quorum

import (
	"testing"
	"time"

	"rhubarbrack/ident"
)

// voters returns voters a, b, c... whose names are those of their addresses, each
// with its silence.
func voters(silences ...time.Duration) []Member {
	var list []Member
	for i, s := range silences {
		name := string(rune('a' + i))
		list = append(list, NewMember(ident.Host(name), name+":1", true, s))
	}
	return list
}

// TestNext guards against a voter that remains although it is gone, against one
// that is removed although its disk may be needed, and against hosts that never
// become voters.
func TestNext(t *testing.T) {
	const gone = 2 * voterSilence
	five, six := voters(0, 0, 0, 0, 0), voters(0, 0, 0, 0, 0, 0)
	learner := append(voters(0, 0, 0, 0), NewMember("e", "e:1", false, 0))
	cases := []struct {
		name    string
		options []Option
		members []Member
		joiners []Joiner
		leavers []ident.Host
		want    Change
	}{
		{name: "nothing to do", members: five},
		{name: "one of five silent", members: voters(0, 0, 0, 0, gone)},
		{name: "one of six silent", members: voters(0, 0, 0, 0, gone, 0), want: Change{kind: Remove, host: "e", address: "e:1", reason: Silent}},
		{name: "two of six silent", members: voters(0, 0, 0, 2*gone, gone, 0), want: Change{kind: Remove, host: "e", address: "e:1", reason: Silent}},
		{name: "two of five silent", members: voters(0, 0, 0, gone, gone)},
		{name: "the shortest silence first", members: voters(0, 0, 0, 0, 0, gone, 2*gone), want: Change{kind: Remove, host: "f", address: "f:1", reason: Silent}},
		{name: "one of four silent, one loss to tolerate", options: []Option{WithTolerance(1)}, members: voters(0, 0, 0, gone),
			want: Change{kind: Remove, host: "d", address: "d:1", reason: Silent}},
		{name: "one of three silent, one loss to tolerate", options: []Option{WithTolerance(1)}, members: voters(0, 0, gone)},
		{name: "one of six silent, three losses to tolerate", options: []Option{WithTolerance(3)}, members: voters(0, 0, 0, 0, 0, gone)},
		{name: "one of two silent, no loss to tolerate", options: []Option{WithTolerance(0)}, members: voters(0, gone),
			want: Change{kind: Remove, host: "b", address: "b:1", reason: Silent}},
		{name: "one of two leaves, no loss to tolerate", options: []Option{WithTolerance(0)}, members: voters(0, 0), leavers: []ident.Host{"b"},
			want: Change{kind: Remove, host: "b", address: "b:1", reason: Leaves}},
		{name: "negative tolerance is ignored", options: []Option{WithTolerance(-1)}, members: voters(0, 0, gone)},
		{name: "a learner counts for no majority", members: append(voters(0, 0, 0, 0, gone), NewMember("f", "f:1", false, 0))},
		{name: "a learner that was silent for long", members: append(voters(0, 0, 0, 0, 0), NewMember("f", "f:1", false, learnerSilence)),
			want: Change{kind: Remove, host: "f", address: "f:1", reason: Silent}},
		{name: "another host joins", members: five, joiners: []Joiner{NewJoiner("f", "f:1")}, want: Change{kind: Add, host: "f", address: "f:1", reason: Joins}},
		{name: "a learner becomes a voter", members: learner, joiners: []Joiner{NewJoiner("e", "e:1")}, want: Change{kind: Add, host: "e", address: "e:1", reason: Joins}},
		{name: "a voter that knows no leader", members: five, joiners: []Joiner{NewJoiner("e", "e:1")}},
		{name: "the disk of a voter is lost", members: five, joiners: []Joiner{NewJoiner("e2", "e:1")}, want: Change{kind: Remove, host: "e", address: "e:1", reason: DiskLost}},
		{name: "one of six leaves", members: six, leavers: []ident.Host{"f"}, want: Change{kind: Remove, host: "f", address: "f:1", reason: Leaves}},
		{name: "one of five leaves", members: five, leavers: []ident.Host{"e"}},
		{name: "one of six leaves while another is silent", members: voters(0, 0, 0, 0, 0, gone), leavers: []ident.Host{"e"},
			want: Change{kind: Remove, host: "f", address: "f:1", reason: Silent}},
		{name: "the leader itself", members: six, leavers: []ident.Host{"a"}},
		{name: "a host that is about to stop asks to join", members: five, joiners: []Joiner{NewJoiner("f", "f:1")}, leavers: []ident.Host{"f"}},
	}
	for _, c := range cases {
		got, ok := NewPlanner("a", c.options...).Next(c.members, c.joiners, c.leavers)
		if got != c.want || ok != (c.want != Change{}) {
			t.Errorf("%s: %+v, %v, want %+v", c.name, got, ok, c.want)
		}
	}
}
