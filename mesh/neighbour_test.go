package mesh

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"slices"
	"strconv"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// serveNeighbour serves a control client's calls for other entry hosts at an
// address of the loopback interface and a port.
func serveNeighbour(ctx context.Context, t *testing.T, c *ControlClient, ip string, port int) net.Listener {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	server := rpc.NewServer()
	if err := c.Register(ctx, server); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		t.Fatal(err)
	}
	served := wire.Serve(ctx, l, server)
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return l
}

// TestStateOfNeighbour guards against entry hosts that lose the control hosts and
// go on sending to the targets of a zone that was evacuated, and to cold ones
// after its return, although other entry hosts know of it.
func TestStateOfNeighbour(t *testing.T) {
	// Both hosts know the same control hosts; only one of them still reaches
	// them.
	manual := clock.NewManual(time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC))
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	system := tasks.NewSystem(log)
	t.Cleanup(system.Shutdown)
	t.Cleanup(cancel)
	newClient := func(l Listener, host, address string, port int, control *peer) *ControlClient {
		task := &controlClientTask{
			ctx: ctx, system: system, clock: manual, log: log, listener: l, peers: map[string]*peer{"c": control}, peerPort: port,
			meter: noMeter{}, inbound: noInbound{}, linkDelay: noLinkDelay{},
			heartbeat: HeartbeatRecord{Host: host, Address: address}, fetcher: spawn(t, receiver(func(any) {})),
		}
		task.self = spawn(t, task)
		return &ControlClient{ref: task.self}
	}
	// Nobody listens at the address of the control host.
	control, err := wire.StartClient(ctx, system, "control", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	reached, lost := &peer{client: control}, &peer{client: control}
	near := newTestListener()
	connected := newClient(near, "near", "127.0.0.1:1", 0, reached)
	port := serveNeighbour(ctx, t, connected, "127.0.0.1", 0).Addr().(*net.TCPAddr).Port
	far := newTestListener()
	cut := newClient(far, "far", "127.0.0.2:1", port, lost)

	reply := HeartbeatReplyRecord{HasState: true, Revision: 1, Hosts: 2, ReadyTag: 7, ReadyHosts: []ReadyHostRecord{
		{Address: "127.0.0.1:1"}, {Address: "127.0.0.2:1"},
	}}
	connected.ref.Tell(heartbeatDone{peer: reached, sent: manual.Now(), record: reply})
	cut.ref.Tell(heartbeatDone{peer: lost, sent: manual.Now(), record: reply})
	<-near.hosts
	<-far.hosts
	manual.Advance(2 * hostTimeout)
	reply.Revision, reply.Zones = 2, []string{"z"}
	connected.ref.Tell(heartbeatDone{peer: reached, sent: manual.Now(), record: reply})
	if got := <-near.zones; !slices.Equal(got, []ident.Zone{"z"}) {
		t.Fatalf("evacuated zones of the host in contact: %v", got)
	}
	cut.ref.Tell(sendHeartbeats{})
	if got := <-far.zones; !slices.Equal(got, []ident.Zone{"z"}) {
		t.Errorf("evacuated zones of the host out of contact: %v", got)
	}
}

// TestNeighboursOutOfContact guards against hosts that are all out of contact and
// take old state from each other for new.
func TestNeighboursOutOfContact(t *testing.T) {
	manual := clock.NewManual(time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC))
	task := &controlClientTask{clock: manual, peers: map[string]*peer{"c": {lastHeard: manual.Now()}}}
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {hostTimeout, false}} {
		manual.Advance(c.after)
		if got := task.neighbourState(manual.Now()).InContact; got != c.want {
			t.Errorf("in contact after %v: %v, want %v", c.after, got, c.want)
		}
	}
}

// TestNeighbourList guards against a list of a neighbour in which cold times have
// not passed.
func TestNeighbourList(t *testing.T) {
	manual := clock.NewManual(time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC))
	read := manual.Now()
	task := &controlClientTask{
		clock: manual, log: slog.New(slog.DiscardHandler), listTag: 3, coldAsOf: read, listReadAt: read.Add(time.Second),
		list: []ListedTarget{NewListedTarget("i", "s", "h:1", "z", 4, false, 3*time.Second)},
	}
	manual.Advance(1500 * time.Millisecond)
	if got := task.neighbourTargets(manual.Now(), 3); got.HasList {
		t.Error("a list that the neighbour has was sent again")
	}
	record, err := task.neighbourTargets(manual.Now(), 1).unpack()
	if err != nil || len(record.Targets) != 1 {
		t.Fatalf("%+v, %v", record, err)
	}
	if record.Age != 500*time.Millisecond || record.Targets[0].Cold != 2*time.Second {
		t.Errorf("read %v ago with a cold time of %v, want 500ms and 2s", record.Age, record.Targets[0].Cold)
	}
}
