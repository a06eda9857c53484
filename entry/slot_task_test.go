package entry

import (
	"context"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"net/rpc"
	"runtime"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/steer"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// loseReports loses all later reports of holders.
func (f *fleet) loseReports() {
	f.net.mutex.Lock()
	defer f.net.mutex.Unlock()
	f.net.faults = firstCalls(loseCall, slotOpenMethod, 1<<30)
}

// Guards against grants by a process that is not the owner, to holders that
// are not in the view, and without complete reports.
func TestOwnerRefusesCalls(t *testing.T) {
	acquire := func(s *slotServer, h SlotHolder) string {
		var reply SlotAcquireReply
		args := &SlotAcquireArgs{
			Region: string(testRegion), Holder: h, Number: 1, Service: "s", QueueBound: 1, Remaining: 48 * time.Hour, Weight: 1,
		}
		if err := s.Acquire(args, &reply); err != nil {
			return err.Error()
		}
		return reply.Status
	}
	report := func(s *slotServer, epoch uint64) string {
		var reply SlotReply
		h := SlotHolder{Host: "h1", Incarnation: 1}
		if err := s.Open(&SlotOpenArgs{Region: string(testRegion), Epoch: epoch, Holder: h, Sequence: 1 << 40}, &reply); err != nil {
			return err.Error()
		}
		return reply.Status
	}
	member := SlotHolder{Host: "h1", Incarnation: 1}
	cases := []struct {
		name string
		call func(f *fleet) string
		want string
	}{
		{name: "a member calls the owner", call: func(f *fleet) string { return acquire(f.net.servers["h0"], member) }, want: statusGranted},
		{name: "another host is called", call: func(f *fleet) string { return acquire(f.net.servers["h1"], member) }, want: statusNotOwner},
		{name: "an unknown host calls", call: func(f *fleet) string {
			return acquire(f.net.servers["h0"], SlotHolder{Host: "h9", Incarnation: 1})
		}, want: statusNotOwner},
		{name: "an earlier process calls", call: func(f *fleet) string {
			return acquire(f.net.servers["h0"], SlotHolder{Host: "h1"})
		}, want: statusNotOwner},
		{name: "the lease is not fresh", call: func(f *fleet) string {
			f.clock.Advance(f.lease)
			return acquire(f.net.servers["h0"], member)
		}, want: statusNotOwner},
		{name: "the lease ends while the request waits", call: func(f *fleet) string {
			if _, err := f.clients[0].Acquire(f.ctx, f.slotRequest(time.Hour)); err != nil {
				return err.Error()
			}
			done := make(chan string, 1)
			go func() { done <- acquire(f.net.servers["h0"], member) }()
			for f.status().Waiting() == 0 {
				runtime.Gosched()
			}
			f.clock.Advance(f.lease)
			f.setTargets(2)
			if s := f.status(); s.Waiting() != 1 || s.InFlight() != 1 {
				return "granted without a lease"
			}
			f.assign(1)
			return <-done
		}, want: statusNotOwner},
		{name: "a report for this epoch", call: func(f *fleet) string { return report(f.net.servers["h0"], 1) }, want: statusDone},
		{name: "a report for another epoch", call: func(f *fleet) string { return report(f.net.servers["h0"], 2) }, want: statusNotOwner},
		{name: "a host that gave the role up has not reported to the new owner", call: func(f *fleet) string {
			f.loseReports()
			f.epoch++ // the role was vacant in between
			f.assign(1)
			report(f.net.servers["h1"], 3)
			if f.status().Epoch() == 3 && !f.status().IsOpen() {
				return "closed"
			}
			return "open"
		}, want: "closed"},
		{name: "a silent owner has lost the role", call: func(f *fleet) string {
			f.loseReports()
			f.assign(1)
			report(f.net.servers["h1"], 2)
			if f.status().Epoch() == 2 && f.status().IsOpen() {
				return "open"
			}
			return "closed"
		}, want: "open"},
		{name: "the new owner itself has not reported after a silent one", call: func(f *fleet) string {
			f.loseReports()
			f.assign(1)
			if f.status().Epoch() == 2 && !f.status().IsOpen() {
				return "closed"
			}
			return "open"
		}, want: "closed"},
		{name: "a host stays cut off from a new owner", call: func(f *fleet) string {
			f.owners[1].SetServices(testRegion, []steer.Service{steer.NewService("s", 0, 0, steer.WithTimeout(time.Second))})
			f.loseReports()
			f.epoch++
			f.assign(1)
			f.advanceUntil("the owner opens without the report", func() bool { return f.status().Epoch() == 3 && f.status().IsOpen() })
			return "open"
		}, want: "open"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 2, firstCalls(deliver, "", 0))
			f.setTargets(1)
			f.assign(0)
			f.advanceUntil("the owner is open", func() bool { return f.status().IsOpen() })
			if got := tc.call(f); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a slot that stays in use when the reply with the grant is
// lost, the caller cancels and the withdrawal is lost as well.
func TestAbandonedGrantIsFreed(t *testing.T) {
	f := newFleet(t, 1, func(_ *rand.Rand, m string) fault {
		switch m {
		case slotAcquireMethod:
			return loseReply
		case slotReleaseMethod:
			return loseCall
		}
		return deliver
	})
	f.setTargets(1)
	f.assign(0)
	f.advanceUntil("the owner is open", func() bool { return f.status().IsOpen() })
	ctx, cancel := context.WithCancel(f.ctx)
	done := f.acquire(ctx, 0, f.slotRequest(time.Hour))
	f.advanceUntil("the slot is granted", func() bool { return f.status().InFlight() == 1 })
	cancel()
	if err := <-done; err == nil {
		t.Fatal("Acquire succeeded although every reply is lost")
	}
	f.advanceUntil("the slot is free", f.idle)
}

// Guards against a refusal, and against a grant on a leaving target, when only
// the reply to a request was lost before the target started to leave.
func TestLostReplyOfLeavingTarget(t *testing.T) {
	f := newFleet(t, 1, firstCalls(loseReply, slotAcquireMethod, 1))
	f.setTargets(1)
	f.assign(0)
	f.advanceUntil("the owner is open", func() bool { return f.status().IsOpen() })
	done := make(chan SlotGrant, 1)
	go func() {
		g, err := f.clients[0].Acquire(f.ctx, f.slotRequest(time.Hour))
		if err != nil {
			t.Errorf("Acquire: %v", err)
		}
		done <- g
	}()
	for f.status().InFlight() == 0 {
		runtime.Gosched()
	}
	f.owners[0].SetTargets(testRegion, []steer.Target{
		steer.NewTarget("t0", "s", "", "z", 1, steer.StateLeaving), steer.NewTarget("t1", "s", "", "z", 1, steer.StateLive),
	})
	var g SlotGrant
	f.advanceUntil("the request is decided", func() bool {
		select {
		case g = <-done:
			return true
		default:
			return f.status().Epoch() == 0
		}
	})
	if g.Target() != "t1" {
		t.Errorf("granted %q, want t1", g.Target())
	}
	f.clients[0].Release(g, steer.NewResult(steer.OutcomeOK, time.Millisecond))
	f.advanceUntil("all slots are free", f.idle)
}

// discardTask is a task that discards its messages.
type discardTask struct{}

func (discardTask) Handle(any) {}

// newIsolatedClient returns a client task that receives messages only from the
// test.
func newIsolatedClient(t *testing.T, faults func(*rand.Rand, string) fault) *slotClientTask {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(func() { cancel(); system.Shutdown() })
	ref, err := tasks.Spawn(ctx, system, "discard", discardTask{})
	if err != nil {
		t.Fatal(err)
	}
	c := newSlotClientTask(ctx, &faultyNetwork{faults: faults}, newSlotOptions([]SlotOption{WithSlotClock(clock.NewManual(time.Unix(0, 0)))}))
	c.Handle(slotSelf{ref: ref})
	return c
}

// Guards against the use of a grant that is missing in the report to a later
// owner: both owners could grant the same slot.
func TestClientUsesGrantsOfCurrentEpoch(t *testing.T) {
	assigned := func(e ident.Epoch) MembersChanged {
		roles := map[Role]Assignment{SlotRole(testRegion): NewAssignment("h0", 1, e)}
		return NewMembersChanged(NewMembers("h0", 1, 1, time.Unix(1<<40, 0), nil, roles))
	}
	grant := func(e uint64) slotAcquireDone {
		return slotAcquireDone{number: 1, attempt: 1, reply: SlotAcquireReply{Status: statusGranted, Epoch: e, Target: "t0"}}
	}
	cases := []struct {
		name     string
		messages []any
		open     int
	}{
		{name: "current epoch", messages: []any{assigned(1), grant(1)}, open: 1},
		{name: "epoch that the client does not know yet", messages: []any{assigned(1), grant(2)}, open: 1},
		{name: "epoch before the reported one", messages: []any{assigned(1), assigned(2), grant(1)}, open: 0},
		{name: "granted before the next owner came", messages: []any{assigned(1), grant(1), assigned(2)}, open: 1},
		{name: "granted twice", messages: []any{assigned(1), grant(1), grant(1)}, open: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newIsolatedClient(t, func(*rand.Rand, string) fault { return loseCall })
			class := steer.NewClass("reads", false, 1, 0)
			a := NewSlotRequest(testRegion, steer.NewSlotRequest(steer.SlotRequestID{}, "s", "team", class, time.Unix(60, 0)))
			c.Handle(slotAcquireBegin{request: a, handle: new(slotRequestHandle), reply: tasks.NewReply[slotResult]()})
			for _, m := range tc.messages {
				c.Handle(m)
			}
			if got := c.usage().Open(); got != tc.open {
				t.Errorf("%d grants in use, want %d", got, tc.open)
			}
			c.callsInFlight.Wait()
		})
	}
}

// Guards against an owner that waits forever for the report of a host that has
// rejoined under a new incarnation.
func TestClientReportsAfterRejoin(t *testing.T) {
	reports := 0
	c := newIsolatedClient(t, func(_ *rand.Rand, m string) fault {
		if m == slotOpenMethod {
			reports++
		}
		return loseCall
	})
	roles := map[Role]Assignment{SlotRole(testRegion): NewAssignment("h0", 1, 1)}
	for _, i := range []ident.Incarnation{1, 1, 2, 2} {
		c.Handle(NewMembersChanged(NewMembers("h1", i, 1, time.Unix(1<<40, 0), nil, roles)))
		c.Handle(slotReportDone{region: testRegion, epoch: 1, status: statusDone})
	}
	c.callsInFlight.Wait()
	if reports != 2 {
		t.Errorf("%d reports by two incarnations, want 2", reports)
	}
}

// Guards against records that are not encoded correctly, with one request over
// real connections between two hosts.
func TestSlotsOverTheWire(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	owner, err := StartSlotOwner(ctx, system, server, &markRecorder{})
	if err != nil {
		t.Fatal(err)
	}
	served := wire.Serve(ctx, listener, server)
	peers, err := StartPeers(ctx, system)
	if err != nil {
		t.Fatal(err)
	}
	client, err := StartSlotClient(ctx, system, peers)
	if err != nil {
		t.Fatal(err)
	}
	now := clock.Wall().Now()
	roles := map[Role]Assignment{SlotRole(testRegion): NewAssignment("h0", 1, 1)}
	m := NewMembers("h0", 1, 1, now.Add(time.Hour), []Member{NewMember("h0", 1, testRegion, listener.Addr().String())}, roles)
	owner.SetTargets(testRegion, []steer.Target{
		steer.NewTarget("t0", "s", "10.0.0.1:80", "z0", 1, steer.StateLive),
		steer.NewTarget("t1", "s", "10.0.0.2:80", "z1", 1, steer.StateLive),
	})
	owner.Update(m)
	peers.Update(m)
	client.Update(m)
	request := steer.NewSlotRequest(steer.SlotRequestID{}, "s", "team", steer.NewClass("alerts", true, 1, time.Minute), now.Add(time.Minute),
		steer.WithAvoid("t0"), steer.WithZone("z0"), steer.WithWeight(3), steer.WithFingerprint(ident.Fingerprint{7}))
	g, err := client.Acquire(ctx, NewSlotRequest(testRegion, request))
	if err != nil || g.Target() != "t1" || g.Address() != "10.0.0.2:80" {
		t.Errorf("Acquire = %v, %v; want t1 at 10.0.0.2:80", g, err)
	}
	if err := client.ReleaseAndWait(ctx, g, steer.NewResult(steer.OutcomeOK, time.Millisecond)); err != nil {
		t.Error(err)
	}
	if s, err := owner.Status(ctx, testRegion); err != nil || s.InFlight() != 0 {
		t.Errorf("Status = %v, %v; want no slot in use", s, err)
	}
	cancel()
	<-client.Done()
	<-owner.Done()
	<-peers.Done()
	<-served
	system.Shutdown()
}
