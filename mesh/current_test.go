package mesh

import (
	"slices"
	"testing"

	"rhubarbrack/ctrl"
)

// put sends a configuration to a host until it is acknowledged.
func (cluster *controlCluster) put(h *controlHost, version uint64, source string) {
	cluster.t.Helper()
	cluster.waitUntil("acknowledgement of a configuration", func() bool {
		return h.control.Put(cluster.ctx, version, []byte(source)) == nil
	})
}

// greet sends the heartbeat of an entry host to a host and returns the reply.
func (cluster *controlCluster) greet(h *controlHost, ready bool) HeartbeatReplyRecord {
	cluster.t.Helper()
	var reply HeartbeatReplyRecord
	record := testHeartbeat("entry", ready)
	if err := (&service{control: h.control, ctx: cluster.ctx}).Greet(&record, &reply); err != nil {
		cluster.t.Fatal(err)
	}
	return reply
}

// TestStateWithoutLeader guards against entry hosts that start with nothing and
// become ready with an older configuration, or without an evacuation that was
// acknowledged: a control host that knows no leader has the state of its snapshot
// after a restart, or the one that it had when it was cut off.
func TestStateWithoutLeader(t *testing.T) {
	cases := []struct {
		name      string
		restarted bool
	}{
		{name: "after a restart", restarted: true},
		{name: "without contact"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			names := []string{"a", "b", "c"}
			cluster := newControlCluster(t, names...)
			cluster.replicaOptions = []ctrl.ReplicaOption{ctrl.WithSnapshotThresholds(1, 1<<20)}
			for _, name := range names {
				cluster.start(name, names, names)
			}
			cluster.waitForVoters(names...)
			a, b := cluster.hosts["a"], cluster.hosts["b"]
			cluster.put(b, 1, "first")
			cluster.waitForSnapshot(a, 1)
			if c.restarted {
				cluster.stop(a)
				cluster.put(b, 2, "second")
				cluster.order(b, true)
			}
			cluster.stop(b)
			cluster.stop(cluster.hosts["c"])
			if c.restarted {
				a = cluster.start("a", names, names)
			}
			cluster.checkListHidden(a)
			if !c.restarted {
				return
			}
			cluster.start("b", names, names)
			cluster.checkListWithState(a)
		})
	}
}

// waitForSnapshot waits until a host has a snapshot that includes a version.
func (cluster *controlCluster) waitForSnapshot(h *controlHost, version uint64) {
	cluster.t.Helper()
	cluster.waitUntil("a snapshot", func() bool {
		state, err := h.control.DesiredState(cluster.ctx)
		if err != nil || state.Version() != version {
			return false
		}
		status, err := h.replica.Status(cluster.ctx)
		return err == nil && status.SnapshotRevision() == status.AppliedRevision()
	})
}

// checkListHidden checks that a host that has lost contact gives the list of
// targets to entry hosts that serve, and to no others.
func (cluster *controlCluster) checkListHidden(h *controlHost) {
	cluster.t.Helper()
	h.control.ref.Tell(listRead{targets: []ListedTarget{NewListedTarget("t", "s", "t:1", "z", 1, false, 0)}})
	cluster.waitUntil("loss of the leader", func() bool {
		status, err := h.replica.Status(cluster.ctx)
		return err == nil && status.Leader() == ""
	})
	if reply := cluster.greet(h, false); reply.HasList {
		cluster.t.Errorf("a host that starts gets a list beside configuration %d, which may be outdated", reply.Version)
	}
	if reply := cluster.greet(h, true); !reply.HasList {
		cluster.t.Error("a host that serves gets no list")
	}
}

// checkListWithState checks that a host gives the list of targets only with the
// newest state.
func (cluster *controlCluster) checkListWithState(h *controlHost) {
	cluster.t.Helper()
	var reply HeartbeatReplyRecord
	cluster.waitUntil("a list of targets", func() bool {
		reply = cluster.greet(h, false)
		return reply.HasList
	})
	if reply.Version != 2 || !slices.Contains(zonesOf(reply.Zones), orderedZone) {
		cluster.t.Errorf("list beside configuration %d and evacuated zones %v", reply.Version, reply.Zones)
	}
}
