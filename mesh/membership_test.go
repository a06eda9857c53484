package mesh

import (
	"testing"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// TestRemovedMemberJoinsAgain guards against a host that is removed while it is
// down and never takes part again, because its own copy of the log still has it
// as a voter.
func TestRemovedMemberJoinsAgain(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	cases := []struct {
		name string
		// change changes the cluster while host d is down.
		change func(cluster *controlCluster)
		// seeds are those of host d after its return.
		seeds  []string
		voters []string
	}{
		{"same leader", func(*controlCluster) {}, seeds, []string{"a", "b", "c", "d"}},
		{"a leader that it does not know", func(cluster *controlCluster) {
			cluster.start("e", seeds, nil)
			cluster.waitForVoters("a", "b", "c", "e")
			cluster.lead("e")
		}, seeds, []string{"a", "b", "c", "d", "e"}},
		{"all members replaced, new seeds", func(cluster *controlCluster) {
			for _, name := range []string{"e", "f", "g"} {
				cluster.start(name, seeds, nil)
			}
			cluster.waitForVoters("a", "b", "c", "e", "f", "g")
			cluster.lead("e")
			for _, name := range seeds {
				cluster.stop(cluster.hosts[name])
				cluster.remove(name)
			}
		}, []string{"e", "f", "g"}, []string{"d", "e", "f", "g"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newControlCluster(t, "a", "b", "c", "d", "e", "f", "g")
			for _, name := range seeds {
				cluster.start(name, seeds, seeds)
			}
			d := cluster.start("d", seeds, nil)
			cluster.waitForVoters("a", "b", "c", "d")
			cluster.waitForExpiredRequests()
			cluster.stop(d)
			cluster.remove("d")
			c.change(cluster)
			cluster.start("d", c.seeds, nil)
			cluster.waitForVoters(c.voters...)
		})
	}
}

// TestLateJoinRequest guards against a voter that is removed because of a join
// request that an earlier host at its address has sent, before it lost its disk
// again. A change of the leader appends an entry as well, so the test then starts
// over.
func TestLateJoinRequest(t *testing.T) {
	for range maxLeaderChanges {
		before, after, sameTerm := revisionsAroundLateJoin(t)
		if !sameTerm {
			t.Log("the leader has changed, the test starts over")
			continue
		}
		if after != before {
			t.Errorf("the membership changed: the log ends at revision %d, before at %d", after, before)
		}
		return
	}
	t.Error("the leader has changed each time")
}

// revisionsAroundLateJoin returns the last revision of a new cluster before and
// after a late join request, and whether no other term has begun.
func revisionsAroundLateJoin(t *testing.T) (before, after ident.Revision, sameTerm bool) {
	t.Helper()
	cluster := newControlCluster(t, "a", "b", "c")
	leader, follower := cluster.startLeaderAndFollower()
	cluster.waitForExpiredRequests()
	status := func() (agree.Term, ident.Revision) {
		s, err := leader.replica.Status(cluster.ctx)
		if err != nil {
			t.Fatal(err)
		}
		return s.Term(), s.LastRevision()
	}
	termBefore, before := status()
	_, err := tasks.Ask(cluster.ctx, leader.control.ref, func(r tasks.Reply[[]string]) any {
		return requestJoin{record: JoinRecord{Host: "earlier-host", Address: follower.address}, reply: r}
	})
	if err != nil {
		t.Fatal(err)
	}
	// The leader checks the membership several times before the request expires.
	cluster.waitForExpiredRequests()
	termAfter, after := status()
	return before, after, termAfter == termBefore
}
