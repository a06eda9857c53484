package mesh

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"rhubarbrack/board"
	"rhubarbrack/ident"
)

const (
	// orderedZone is the zone of the orders in tests.
	orderedZone = ident.Zone("zone-1")
	// shortWait is how long the callers of orders that get no answer wait.
	shortWait = 300 * time.Millisecond
)

// order sends an order to a host until it is acknowledged.
func (cluster *controlCluster) order(h *controlHost, begin bool) {
	cluster.t.Helper()
	cluster.waitUntil("acknowledgement of an order", func() bool {
		return h.control.Evacuate(cluster.ctx, orderedZone, begin) == nil
	})
}

// checkEvacuated checks whether the zone is evacuated.
func (cluster *controlCluster) checkEvacuated(h *controlHost, want bool) {
	cluster.t.Helper()
	state, err := h.control.Read(cluster.ctx)
	if err != nil {
		cluster.t.Fatal(err)
	}
	if got := slices.Contains(state.Evacuated(), orderedZone); got != want {
		cluster.t.Errorf("zone is evacuated: %v, want %v", got, want)
	}
}

// startLeaderAndFollower starts three hosts and returns the leader and another one.
func (cluster *controlCluster) startLeaderAndFollower() (leader, follower *controlHost) {
	names := []string{"a", "b", "c"}
	for _, name := range names {
		cluster.start(name, names, names)
	}
	cluster.waitForVoters(names...)
	return cluster.leaderAndFollower()
}

// leaderAndFollower returns the leader and another host.
func (cluster *controlCluster) leaderAndFollower() (leader, follower *controlHost) {
	cluster.waitUntil("a leader", func() bool {
		leader, _ = cluster.leader()
		return leader != nil
	})
	for _, h := range cluster.hosts {
		if h != leader {
			return leader, h
		}
	}
	return nil, nil
}

// holdBack sends an order to the follower and holds back the call by which it
// passes it on to the leader, until the caller leaves. The leader has acknowledged
// the contrary order before. It returns false if the order was not passed on,
// because the leader has changed.
func (cluster *controlCluster) holdBack(leader, follower *controlHost, begin bool) bool {
	cluster.t.Helper()
	cluster.order(leader, !begin)
	leader.proxy.hold(1)
	ctx, cancel := context.WithCancel(cluster.ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- follower.control.Evacuate(ctx, orderedZone, begin) }()
	select {
	case <-leader.proxy.held:
	case err := <-ended:
		cluster.t.Logf("the order ended before it was passed on: %v", err)
		leader.proxy.hold(0)
		return false
	}
	cancel()
	if err := <-ended; !errors.Is(err, ErrOutcomeUnknown) {
		cluster.t.Fatalf("an order whose copy was held back ended with %v", err)
	}
	return true
}

// TestLateCopyOfOrder guards against an evacuation that is undone, or begun again,
// by a copy of an earlier order that reaches the leader after a newer one was
// acknowledged.
func TestLateCopyOfOrder(t *testing.T) {
	cases := []struct {
		name string
		// late is the order of which a copy is late.
		late bool
		// resend sends the late order again until it is acknowledged, before the
		// newer one.
		resend bool
	}{
		{name: "end, acknowledged by another host", late: false, resend: true},
		{name: "begin, acknowledged by another host", late: true, resend: true},
		{name: "end, never acknowledged", late: false},
		{name: "begin, never acknowledged", late: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newControlCluster(t, "a", "b", "c")
			cluster.heldMethod = methodSubmit
			leader, follower := cluster.startLeaderAndFollower()
			for !cluster.holdBack(leader, follower, c.late) {
				// The leader has changed.
				leader, follower = cluster.leaderAndFollower()
			}
			if c.resend {
				cluster.order(leader, c.late)
			}
			cluster.order(leader, !c.late)
			close(leader.proxy.release)
			<-leader.proxy.answered
			leader.proxy.answered <- struct{}{}
			cluster.checkEvacuated(leader, !c.late)
			cluster.checkEvacuated(follower, !c.late)
		})
	}
}

// TestRepeatedOrderOfHost guards against an evacuation that is undone by the first
// copy of an order of which the same host has sent a second one.
func TestRepeatedOrderOfHost(t *testing.T) {
	cluster := newControlCluster(t, "a", "b", "c")
	cluster.heldMethod = methodSubmit
	leader, follower := cluster.startLeaderAndFollower()
	cluster.order(leader, true)
	leader.proxy.hold(1)
	cluster.order(follower, false)
	<-leader.proxy.held
	cluster.order(follower, true)
	close(leader.proxy.release)
	<-leader.proxy.answered
	leader.proxy.answered <- struct{}{}
	cluster.checkEvacuated(leader, true)
}

// TestOrderAfterCallerLeft guards against an order that takes effect although its
// caller had left before the host took it up.
func TestOrderAfterCallerLeft(t *testing.T) {
	cluster := newControlCluster(t, "a", "b", "c")
	leader, follower := cluster.startLeaderAndFollower()
	cluster.order(leader, true)
	left, leave := context.WithCancel(cluster.ctx)
	leave()
	for _, h := range []*controlHost{leader, follower} {
		if h.control.Evacuate(left, orderedZone, false) == nil {
			t.Error("an order of a caller that has left was acknowledged")
		}
	}
	// What the leader had been asked for before is committed before this.
	if err := leader.control.Put(cluster.ctx, 1, []byte("one")); err != nil {
		t.Fatal(err)
	}
	cluster.checkEvacuated(leader, true)
}

// TestOrderWithoutLeader guards against an order whose outcome is called unknown
// although it was never submitted.
func TestOrderWithoutLeader(t *testing.T) {
	cases := []struct {
		name  string
		order func(ctx context.Context, h *controlHost) error
	}{
		{"configuration", func(ctx context.Context, h *controlHost) error { return h.control.Put(ctx, 1, []byte("one")) }},
		{"evacuation", func(ctx context.Context, h *controlHost) error { return h.control.Evacuate(ctx, orderedZone, true) }},
	}
	cluster := newControlCluster(t, "a", "b", "c")
	_, follower := cluster.startLeaderAndFollower()
	for _, h := range cluster.hosts {
		if h != follower {
			cluster.stop(h)
		}
	}
	cluster.waitUntil("a follower without a leader", func() bool {
		status, err := follower.replica.Status(cluster.ctx)
		return err == nil && status.Leader() == ""
	})
	for _, c := range cases {
		ctx, cancel := context.WithTimeout(cluster.ctx, shortWait)
		if err := c.order(ctx, follower); !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("%s: the order ended with %v", c.name, err)
		}
		cancel()
	}
}

// The records of releases without conditional orders.
type (
	EarlierSubmitRecord      struct{ Order []byte }
	EarlierSubmitReplyRecord struct{ Revision uint64 }
)

// earlierOrderLeader is a leader of a release without conditional orders.
type earlierOrderLeader struct{ received chan []byte }

// Submit receives a command.
func (l earlierOrderLeader) Submit(args *EarlierSubmitRecord, reply *EarlierSubmitReplyRecord) error {
	l.received <- args.Order
	reply.Revision = 1
	return nil
}

// TestOrderToEarlierLeader guards against orders that a leader of an earlier
// release does not understand.
func TestOrderToEarlierLeader(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	leader := earlierOrderLeader{received: make(chan []byte, 1)}
	client := startLeaderStandIn(ctx, t, leader)
	command, err := board.EncodeEvacuate(orderedZone, true, board.NewOrigin("order", "host", time.Unix(1, 0)))
	if err != nil {
		t.Fatal(err)
	}
	if err := submitTo(ctx, client, command, ident.Some(ident.Revision(7))); err != nil {
		t.Fatal(err)
	}
	if got := <-leader.received; !bytes.Equal(got, command) {
		t.Errorf("the leader received %q", got)
	}
}

// TestOrderOfEarlierHost guards against orders of hosts of earlier releases that
// are refused, since they are not conditional.
func TestOrderOfEarlierHost(t *testing.T) {
	cluster := newControlCluster(t, "a", "b", "c")
	leader, follower := cluster.startLeaderAndFollower()
	client := follower.control.client(cluster.ctx, leader.address)
	for _, begin := range []bool{true, false, true} {
		command, err := board.EncodeEvacuate(orderedZone, begin, board.Origin{})
		if err != nil {
			t.Fatal(err)
		}
		var reply EarlierSubmitReplyRecord
		call, cancel := context.WithTimeout(cluster.ctx, testTimeout)
		err = client.Call(call, methodSubmit, &EarlierSubmitRecord{Order: command}, &reply)
		cancel()
		if err != nil || reply.Revision == 0 {
			t.Fatalf("revision %d, %v", reply.Revision, err)
		}
		cluster.checkEvacuated(follower, begin)
	}
}
