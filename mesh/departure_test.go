package mesh

import (
	"slices"
	"testing"

	"rhubarbrack/ident"
)

// isMember reports whether the leader has a host as a member.
func (cluster *controlCluster) isMember(host ident.Host) bool {
	cluster.t.Helper()
	var members []ident.Host
	cluster.waitUntil("a leader", func() bool {
		h, s := cluster.leader()
		members = nil
		for _, m := range s.Members() {
			members = append(members, m.Member().Host())
		}
		return h != nil
	})
	return slices.Contains(members, host)
}

// leaveCase is a host that leaves a cluster of five.
type leaveCase struct {
	name string
	// hasSuccessor is set if another host has joined before the stop.
	hasSuccessor bool
	// isLeader is set if the host that leaves is the leader.
	isLeader   bool
	wantMember bool
}

// leave lets a host leave a new cluster, and reports whether it is a member
// afterwards and whether no other term has begun.
func (c leaveCase) leave(t *testing.T) (isMember, sameTerm bool) {
	t.Helper()
	five := []string{"a", "b", "c", "d", "e"}
	cluster := newControlCluster(t, append(slices.Clone(five), "f")...)
	for _, name := range five {
		cluster.start(name, five, five)
	}
	cluster.waitForVoters(five...)
	cluster.lead(map[bool]string{true: "e", false: "a"}[c.isLeader])
	if c.hasSuccessor {
		cluster.start("f", five, nil)
		cluster.waitForVoters("a", "b", "c", "d", "e", "f")
	}
	h := cluster.hosts["e"]
	_, before := cluster.leader()
	h.control.Leave(cluster.ctx)
	isMember = cluster.isMember(h.name)
	_, after := cluster.leader()
	return isMember, after.Term() == before.Term()
}

// maxLeaderChanges is the number of times that a case starts over because the
// leader has changed, as it does on a busy machine.
const maxLeaderChanges = 5

// TestLeave guards against a host that stops for good and remains a voter, so that
// the loss of two disks leaves no majority, and against one that is removed although
// the log needs it. A leader that has lost its leadership may be removed, so such a
// case starts over.
func TestLeave(t *testing.T) {
	cases := []leaveCase{
		{name: "successor has joined", hasSuccessor: true},
		{name: "no successor", wantMember: true},
		{name: "leader", hasSuccessor: true, isLeader: true, wantMember: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got, sameTerm := c.leave(t)
			for n := 0; c.isLeader && !sameTerm && n < maxLeaderChanges; n++ {
				t.Log("the leader has changed, the case starts over")
				got, sameTerm = c.leave(t)
			}
			if got != c.wantMember {
				t.Errorf("the host is a member after it has left: %v, want %v", got, c.wantMember)
			}
		})
	}
}
