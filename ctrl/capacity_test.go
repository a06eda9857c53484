package ctrl

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/plan"
	"rhubarbrack/state"
	"rhubarbrack/tally"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// processorTime returns what the process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// listen serves the RPC server on loopback and returns its counter.
func listen(ctx context.Context, b *testing.B, server *rpc.Server) *tally.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c := tally.New(listener)
	ctx, cancel := context.WithCancel(ctx)
	served := wire.Serve(ctx, c, server)
	b.Cleanup(func() {
		cancel()
		<-served
	})
	return c
}

func benchMember(i int) state.Member {
	return state.NewMember(ident.Host(fmt.Sprintf("edge-%04d", i)), 1, ident.Zone(fmt.Sprintf("zone-%03d", i%103)),
		ident.Region(fmt.Sprintf("region-%02d", i%103%27)), fmt.Sprintf("10.%d.%d.1:443", i>>8, i&255),
		fmt.Sprintf("10.%d.%d.1:7000", i>>8, i&255))
}

func benchPoll(i, loads int, revision ident.Revision) PollArgs {
	m := benchMember(i)
	args := PollArgs{
		Host: m.Host(), Incarnation: m.Incarnation(), Zone: m.Zone(), Region: m.Region(), Caller: m.CallerAddress(),
		Peer: m.PeerAddress(), Revision: revision, Wait: maxPollWait,
	}
	for j := range loads {
		args.Demand = append(args.Demand, LoadRecord{
			Service: ident.Service(fmt.Sprintf("service-%d", j/4)), Class: ident.Class(fmt.Sprintf("class-%d", j%4)), Slots: 1.2345,
		})
	}
	return args
}

func encoded(b *testing.B, command state.Command) []byte {
	b.Helper()
	data, err := codec.EncodeCommand(state.Stamp(command, time.Unix(1e9, 0)))
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// canned answers every poll with the same reply.
type canned struct{ reply PollReply }

// Poll is an RPC method.
func (c *canned) Poll(_ *PollArgs, reply *PollReply) error {
	*reply = c.reply
	return nil
}

// Reports the bytes of a poll and of its answer on a connection of package
// wire, by the loads that it reports and the changes that it returns. The
// first call also carries the descriptions of the types.
func BenchmarkPollBytes(b *testing.B) {
	for _, loads := range []int{0, 4, 16, 64} {
		for _, changes := range []int{0, 1, 10, 100} {
			b.Run(fmt.Sprintf("loads=%d/changes=%d", loads, changes), func(b *testing.B) {
				ctx := b.Context()
				reply := PollReply{Verdict: ResultServed, Revision: 1 << 20, Lease: Lease}
				for i := range changes {
					reply.Deltas = append(reply.Deltas, Delta{Revision: 1 << 20, Command: encoded(b, state.NewJoin(benchMember(i)))})
				}
				server := rpc.NewServer()
				if err := server.RegisterName(pollService, &canned{reply: reply}); err != nil {
					b.Fatal(err)
				}
				c := listen(ctx, b, server)
				system := tasks.NewSystem(quiet())
				defer system.Shutdown()
				client, err := wire.StartClient(ctx, system, "bench", c.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				args := benchPoll(1, loads, 1<<20)
				call := func() {
					ctx, cancel := context.WithTimeout(ctx, time.Minute)
					defer cancel()
					var got PollReply
					if err := client.Call(ctx, pollService+".Poll", &args, &got); err != nil || len(got.Deltas) != changes {
						b.Fatal(len(got.Deltas), err)
					}
				}
				call()
				in, out, calls := c.BytesReceived(), c.BytesSent(), 0
				for b.Loop() {
					call()
					calls++
				}
				b.ReportMetric(float64(in+out), "first-bytes")
				b.ReportMetric(float64(c.BytesReceived()-in)/float64(calls), "poll-bytes")
				b.ReportMetric(float64(c.BytesSent()-out)/float64(calls), "answer-bytes")
			})
		}
	}
}

// immediate is a log whose leadership is always confirmed.
type immediate struct{ ReplicatedLog }

func (immediate) Barrier(context.Context) (ident.Revision, error) { return 1, nil }

// hall is the control side of polls without the replicated log.
type hall struct {
	system  *tasks.System
	feed    *ConfigPublisher
	engine  *ReplicatedState
	leader  *Leader
	service *Service
	last    ident.Revision
}

func newHall(b *testing.B, members int) *hall {
	b.Helper()
	ctx := b.Context()
	h := &hall{system: tasks.NewSystem(quiet())}
	b.Cleanup(h.system.Shutdown)
	var err error
	if h.leader, err = StartLeader(ctx, h.system, plan.New(), clock.Wall(), quiet()); err != nil {
		b.Fatal(err)
	}
	if h.feed, err = StartConfigPublisher(ctx, h.system, h.leader); err != nil {
		b.Fatal(err)
	}
	h.engine = NewReplicatedState(h.feed)
	for i := range members {
		h.apply(b, state.NewJoin(benchMember(i)))
	}
	h.leader.LeadershipBegan(1)
	h.service = &Service{ctx: ctx, log: immediate{}, feed: h.feed, leader: h.leader, clock: clock.Wall()}
	return h
}

func (h *hall) apply(b *testing.B, command state.Command) {
	b.Helper()
	h.last++
	if outcome, ok := h.engine.Apply(h.last, encoded(b, command)).(state.Outcome); !ok || outcome.Err() != nil {
		b.Fatal(outcome.Err())
	}
}

// change commits a change that concerns no member.
func (h *hall) change(b *testing.B) {
	b.Helper()
	h.apply(b, state.NewMarkSuspect(ident.Fingerprint{1}, 1, time.Unix(2e9+int64(h.last), 0)))
}

// Reports the cost of an idle poll inside the leader, and the heap that polls
// without a change leave behind.
func BenchmarkPollServe(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3400} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			h := newHall(b, n)
			polls := make([]PollArgs, n)
			for i := range polls {
				polls[i] = benchPoll(i, 16, h.last)
				polls[i].Wait = 0
			}
			poll := func(i int) {
				var reply PollReply
				if err := h.service.Poll(&polls[i%n], &reply); err != nil || reply.Verdict != ResultServed || reply.Lease != Lease {
					b.Fatal(reply, err)
				}
			}
			for i := range n {
				poll(i)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&before)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				poll(i)
				i++
			}
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(i), "kept-B/poll")
		})
	}
}

// Reports the cost of recording one poll in the leader task, by the members
// and by the callers that wait until a revision is in force.
func BenchmarkRenew(b *testing.B) {
	for _, waiting := range []int{0, 1, 4} {
		for _, n := range []int{100, 1000, 3400} {
			b.Run(fmt.Sprintf("waiting=%d/members=%d", waiting, n), func(b *testing.B) {
				h := newHall(b, n)
				config, err := h.feed.Config(b.Context())
				if err != nil {
					b.Fatal(err)
				}
				l := &leader{leads: true, config: config, expiring: map[ident.Host]ident.Incarnation{}}
				l.sessions.begin(time.Unix(1e9, 0))
				polls := make([]PollArgs, n)
				for i := range polls {
					polls[i] = benchPoll(i, 16, h.last)
					l.Handle(renewal{args: polls[i], arrived: time.Unix(1e9, 0)})
				}
				for range waiting {
					l.Handle(awaitForce{revision: h.last + 1, ctx: b.Context(), reply: tasks.NewReply[RolloutProgress]()})
				}
				i := 0
				for b.Loop() {
					l.Handle(renewal{args: polls[i%n], arrived: time.Unix(1e9, int64(i))})
					i++
				}
			})
		}
	}
}

// Reports how long one change takes from its commit until all of n followers
// have read it over loopback connections, and the processor time of both ends
// for each follower. A relay would serve its followers in the same way: 4, 27
// and 33 are the zones of a region, the regions, and the hosts of a zone.
func BenchmarkFanOut(b *testing.B) {
	for _, n := range []int{4, 27, 33, 126, 340, 1000, 3400} {
		b.Run(fmt.Sprintf("followers=%d", n), func(b *testing.B) {
			h, got := startFollowers(b, n)
			used := processorTime(b)
			ops := 0
			for b.Loop() {
				h.change(b)
				for range n {
					if r := <-got; r != h.last {
						b.Fatalf("follower is at revision %d, want %d", r, h.last)
					}
				}
				ops++
			}
			b.ReportMetric(float64((processorTime(b)-used).Nanoseconds())/float64(ops*n), "cpu-ns/follower")
		})
	}
}

// Reports how long one change takes from its commit until the leader knows
// that it is in force, while a caller waits for that as long as the control
// hosts allow, and the part of the changes that were known in time.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{126, 340, 1000, 3400} {
		b.Run(fmt.Sprintf("followers=%d", n), func(b *testing.B) {
			h, got := startFollowers(b, n)
			ops, reached := 0, 0
			for b.Loop() {
				h.change(b)
				ctx, cancel := context.WithTimeout(b.Context(), maxProposeTimeout)
				progress, err := h.leader.InForce(ctx, h.last)
				cancel()
				if err != nil {
					b.Fatal(err)
				}
				ops++
				if progress.Reached() {
					reached++
				}
				for range n {
					<-got
				}
			}
			b.ReportMetric(float64(reached)/float64(ops), "reached")
		})
	}
}

// startFollowers returns a hall whose n members poll it. The channel passes
// each revision that one of them reads.
func startFollowers(b *testing.B, n int) (*hall, <-chan ident.Revision) {
	b.Helper()
	h := newHall(b, n)
	server := rpc.NewServer()
	if err := server.RegisterName(pollService, h.service); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	c := listen(ctx, b, server)
	got := make(chan ident.Revision, n)
	var ended sync.WaitGroup
	for i := range n {
		client, err := wire.StartClient(ctx, h.system, "bench", c.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		args := benchPoll(i, 16, h.last)
		ended.Go(func() { followBench(ctx, client, args, got) })
	}
	b.Cleanup(func() {
		cancel()
		ended.Wait()
	})
	return h, got
}

// Reports the heap and the stacks that one connection of package wire takes
// after a poll, both ends together.
func BenchmarkConnection(b *testing.B) {
	for _, n := range []int{34, 340, 1000} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			ctx := b.Context()
			h := newHall(b, 1)
			server := rpc.NewServer()
			if err := server.RegisterName(pollService, h.service); err != nil {
				b.Fatal(err)
			}
			c := listen(ctx, b, server)
			taken := 0.0
			for b.Loop() {
				before := memory()
				var clients []*wire.Client
				for i := range n {
					client, err := wire.StartClient(ctx, h.system, "bench", c.Addr().String())
					if err != nil {
						b.Fatal(err)
					}
					clients = append(clients, client)
					args, reply := benchPoll(i, 16, 0), PollReply{}
					call, cancel := context.WithTimeout(ctx, time.Minute)
					if err := client.Call(call, pollService+".Poll", &args, &reply); err != nil {
						b.Fatal(err)
					}
					cancel()
				}
				taken = (memory() - before) / float64(n)
				for _, client := range clients {
					client.Close()
				}
			}
			b.ReportMetric(taken, "B/connection")
		})
	}
}

// memory returns the live heap and the stacks in bytes.
func memory() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// followBench polls until ctx ends and reports each new revision.
func followBench(ctx context.Context, client *wire.Client, args PollArgs, got chan<- ident.Revision) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, time.Minute)
		var reply PollReply
		err := client.Call(call, pollService+".Poll", &args, &reply)
		cancel()
		if err == nil && reply.Revision > args.Revision {
			args.Revision = reply.Revision
			got <- reply.Revision
		}
	}
}

// Reports the commits of three replicas on loopback whose disks sync, by the
// proposals that are under way at a time.
func BenchmarkParallelCommit(b *testing.B) {
	for _, parallel := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			benchReplicas(b, parallel, func(p *process) error {
				_, _, err := p.replica.Propose(context.Background(), make([]byte, 200))
				return err
			})
		})
	}
}

// Reports the confirmations of leadership by three replicas on loopback.
func BenchmarkParallelBarrier(b *testing.B) {
	for _, parallel := range []int{1, 33, 340} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			benchReplicas(b, parallel, func(p *process) error {
				_, err := p.replica.Barrier(context.Background())
				return err
			})
		})
	}
}

func benchReplicas(b *testing.B, parallel int, run func(*process) error) {
	b.Helper()
	l, _ := trio(b)
	p := l.leader()
	if _, _, err := p.replica.Propose(context.Background(), []byte("first")); err != nil {
		b.Fatal(err)
	}
	used := processorTime(b)
	b.ResetTimer()
	var group sync.WaitGroup
	var next atomic.Int64
	for range parallel {
		group.Go(func() {
			for next.Add(1) <= int64(b.N) {
				if err := run(p); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "ops/s")
	b.ReportMetric(float64((processorTime(b)-used).Nanoseconds())/float64(b.N), "cpu-ns/op")
}
