package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net/rpc"
	"runtime"
	"sync"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/steer"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const slotTestSeed = 20262

// fault is what the test network does to a call.
type fault int

const (
	deliver fault = iota
	loseCall
	loseReply
	duplicateCall
	delayCall
)

// faultyNetwork calls the owners of other hosts directly and injects faults
// into the calls.
type faultyNetwork struct {
	mutex   sync.Mutex
	random  *rand.Rand
	servers map[ident.Host]*slotServer
	faults  func(r *rand.Rand, method string) fault
	late    sync.WaitGroup
}

var _ SlotPeers = (*faultyNetwork)(nil)

// Call implements SlotPeers.
func (n *faultyNetwork) Call(ctx context.Context, h ident.Host, method string, args, reply any) error {
	n.mutex.Lock()
	server, f := n.servers[h], n.faults(n.random, method)
	n.mutex.Unlock()
	switch f {
	case loseCall:
		return wire.ErrResponseLost
	case loseReply:
		n.late.Go(func() { _ = server.invoke(args, replyFor(args)) })
		return wire.ErrResponseLost
	case duplicateCall:
		n.late.Go(func() { _ = server.invoke(args, replyFor(args)) })
	case delayCall:
		n.late.Go(func() {
			for range 2 {
				_ = server.Open(&SlotOpenArgs{}, &SlotReply{})
			}
			_ = server.invoke(args, replyFor(args))
		})
		return wire.ErrResponseLost
	case deliver:
	}
	done := make(chan error, 1)
	response := replyFor(args)
	n.late.Go(func() { done <- server.invoke(args, response) })
	select {
	case err := <-done:
		copyReply(reply, response)
		return err
	case <-ctx.Done():
		return wire.ErrResponseLost
	}
}

func (s *slotServer) invoke(args, reply any) error {
	switch a := args.(type) {
	case *SlotAcquireArgs:
		return s.Acquire(a, reply.(*SlotAcquireReply))
	case *SlotReleaseArgs:
		return s.Release(a, reply.(*SlotReply))
	case *SlotOpenArgs:
		return s.Open(a, reply.(*SlotReply))
	}
	return errors.New("unknown method")
}

func replyFor(args any) any {
	if _, ok := args.(*SlotAcquireArgs); ok {
		return &SlotAcquireReply{}
	}
	return &SlotReply{}
}

func copyReply(to, from any) {
	switch r := to.(type) {
	case *SlotAcquireReply:
		*r = *from.(*SlotAcquireReply)
	case *SlotReply:
		*r = *from.(*SlotReply)
	}
}

// markRecorder records replicated marks. The first calls fail, as many as
// failures states.
type markRecorder struct {
	mutex    sync.Mutex
	failures int
	marks    []guard.Mark
}

var _ MarkReplicator = (*markRecorder)(nil)

// ReplicateMarks implements MarkReplicator.
func (m *markRecorder) ReplicateMarks(_ context.Context, marks []guard.Mark) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.failures > 0 {
		m.failures--
		return errors.New("no majority")
	}
	m.marks = append(m.marks, marks...)
	return nil
}

// fleet is a set of entry hosts in one process.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	clock    *clock.Manual
	net      *faultyNetwork
	recorder *markRecorder
	owners   []*SlotOwner
	clients  []*SlotClient
	epoch    ident.Epoch
	owner    int
	lease    time.Duration
}

const testRegion ident.Region = "r1"

func newFleet(t *testing.T, hosts int, faults func(*rand.Rand, string) fault) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		t: t, ctx: ctx, clock: clock.NewManual(time.Unix(1000, 0)), recorder: &markRecorder{}, lease: 24 * time.Hour,
		net: &faultyNetwork{random: rand.New(rand.NewSource(slotTestSeed)), servers: map[ident.Host]*slotServer{}, faults: faults},
	}
	system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i := range hosts {
		o, err := StartSlotOwner(ctx, system, rpc.NewServer(), f.recorder, WithSlotClock(f.clock))
		if err != nil {
			t.Fatal(err)
		}
		f.net.servers[hostName(i)] = &slotServer{ctx: ctx, owner: o.ref}
		c, err := StartSlotClient(ctx, system, f.net, WithSlotClock(f.clock))
		if err != nil {
			t.Fatal(err)
		}
		f.owners, f.clients = append(f.owners, o), append(f.clients, c)
	}
	t.Cleanup(func() {
		cancel()
		for i := range f.owners {
			<-f.owners[i].Done()
			<-f.clients[i].Done()
		}
		f.net.late.Wait()
		system.Shutdown()
	})
	return f
}

func hostName(i int) ident.Host { return ident.Host(fmt.Sprintf("h%d", i)) }

// assign makes a host the owner under a new epoch and distributes the new view
// to all hosts.
func (f *fleet) assign(owner int) {
	f.epoch++
	f.owner = owner
	var members []Member
	for i := range f.owners {
		members = append(members, NewMember(hostName(i), 1, testRegion, ""))
	}
	roles := map[Role]Assignment{SlotRole(testRegion): NewAssignment(hostName(owner), 1, f.epoch)}
	for i := range f.owners {
		m := NewMembers(hostName(i), 1, ident.Revision(f.epoch), f.clock.Now().Add(f.lease), members, roles)
		f.owners[i].Update(m)
		f.clients[i].Update(m)
	}
}

// setTargets sets targets with the given numbers of slots at all owners.
func (f *fleet) setTargets(slots ...int) {
	var list []steer.Target
	for i, n := range slots {
		list = append(list, steer.NewTarget(ident.Target(fmt.Sprintf("t%d", i)), "s", "", "z", n, steer.StateLive))
	}
	for _, o := range f.owners {
		o.SetTargets(testRegion, list)
	}
}

// slotRequest returns a slot request with a deadline after the given time.
func (f *fleet) slotRequest(within time.Duration) SlotRequest {
	class := steer.NewClass("reads", false, 1000, 0)
	return NewSlotRequest(testRegion, steer.NewSlotRequest(steer.SlotRequestID{}, "s", "team", class, f.clock.Now().Add(within),
		steer.WithFingerprint(ident.Fingerprint{1})))
}

// advanceUntil advances the clock in small steps until the condition holds.
// After each step it waits until the owner and the clients have handled their
// messages, so that the clock does not run ahead of the tasks on a busy
// machine.
func (f *fleet) advanceUntil(what string, condition func() bool) {
	f.t.Helper()
	for range 200_000 {
		if condition() {
			return
		}
		f.clock.Advance(5 * time.Millisecond)
		runtime.Gosched()
		f.status()
		for _, c := range f.clients {
			if _, err := c.Usage(f.ctx); err != nil {
				f.t.Fatal(err)
			}
		}
	}
	f.t.Fatalf("never: %s", what)
}

func (f *fleet) status() SlotStatus {
	s, err := f.owners[f.owner].Status(f.ctx, testRegion)
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

// idle reports whether neither the owner nor any client has a slot in use.
func (f *fleet) idle() bool {
	s := f.status()
	for _, c := range f.clients {
		if u, err := c.Usage(f.ctx); err != nil || u.Open()+u.Waiting() > 0 {
			return false
		}
	}
	return s.Epoch() == f.epoch && s.IsOpen() && s.InFlight() == 0 && s.Waiting() == 0
}

// acquire runs Acquire in a goroutine.
func (f *fleet) acquire(ctx context.Context, client int, a SlotRequest) <-chan error {
	done := make(chan error, 1)
	go func() {
		g, err := f.clients[client].Acquire(ctx, a)
		if err == nil {
			f.clients[client].Release(g, steer.NewResult(steer.OutcomeOK, time.Millisecond))
		}
		done <- err
	}()
	return done
}

// received returns a function that reports whether done has delivered an
// error, and stores it in err.
func received(done <-chan error, err *error) func() bool {
	return func() bool {
		select {
		case *err = <-done:
			return true
		default:
			return false
		}
	}
}

// firstCalls returns a fault source that applies a fault to the first n calls
// of a method.
func firstCalls(kind fault, method string, n int) func(*rand.Rand, string) fault {
	return func(_ *rand.Rand, m string) fault {
		if m == method && n > 0 {
			n--
			return kind
		}
		return deliver
	}
}
