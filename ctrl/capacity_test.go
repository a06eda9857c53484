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

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// serveCounted serves the RPC server on loopback and returns its listener, which
// counts the bytes.
func serveCounted(ctx context.Context, b *testing.B, server *rpc.Server) *tally.Listener {
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

func benchPoll(i, demands int, revision ident.Revision) PollArgs {
	m := benchMember(i)
	args := PollArgs{
		Host: m.Host(), Incarnation: m.Incarnation(), Zone: m.Zone(), Region: m.Region(), Caller: m.CallerAddress(),
		Peer: m.PeerAddress(), Revision: revision, Wait: maxPollWait,
	}
	for j := range demands {
		args.Demand = append(args.Demand, DemandRecord{
			Service: ident.Service(fmt.Sprintf("service-%d", j/4)), Class: ident.Class(fmt.Sprintf("class-%d", j%4)), Slots: 1.2345,
		})
	}
	return args
}

func encodeCommand(b *testing.B, command state.Command) []byte {
	b.Helper()
	data, err := codec.EncodeCommand(state.Stamp(command, time.Unix(1e9, 0)))
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// fixedReplyService returns the same reply to every poll.
type fixedReplyService struct{ reply PollReply }

// Poll is an RPC method.
func (s *fixedReplyService) Poll(_ *PollArgs, reply *PollReply) error {
	*reply = s.reply
	return nil
}

// Reports the bytes of a poll and of its reply on a connection of package wire,
// depending on the number of reported demands and returned changes. The first
// call also carries the gob type descriptions.
func BenchmarkPollBytes(b *testing.B) {
	for _, demands := range []int{0, 4, 16, 64} {
		for _, changes := range []int{0, 1, 10, 100} {
			b.Run(fmt.Sprintf("loads=%d/changes=%d", demands, changes), func(b *testing.B) {
				ctx := b.Context()
				reply := PollReply{Verdict: ResultServed, Revision: 1 << 20, Lease: Lease}
				for i := range changes {
					reply.Deltas = append(reply.Deltas, Delta{Revision: 1 << 20, Command: encodeCommand(b, state.NewJoin(benchMember(i)))})
				}
				server := rpc.NewServer()
				if err := server.RegisterName(followServiceName, &fixedReplyService{reply: reply}); err != nil {
					b.Fatal(err)
				}
				c := serveCounted(ctx, b, server)
				system := tasks.NewSystem(discardLogger())
				defer system.Shutdown()
				client, err := wire.StartClient(ctx, system, "bench", c.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				args := benchPoll(1, demands, 1<<20)
				call := func() {
					ctx, cancel := context.WithTimeout(ctx, time.Minute)
					defer cancel()
					var got PollReply
					if err := client.Call(ctx, followServiceName+".Poll", &args, &got); err != nil || len(got.Deltas) != changes {
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

// confirmedLog is a replicated log that always confirms the leadership.
type confirmedLog struct{ ReplicatedLog }

func (confirmedLog) Barrier(context.Context) (ident.Revision, error) { return 1, nil }

// controlBench is the part of a control host that serves polls, without the
// replicated log.
type controlBench struct {
	system    *tasks.System
	publisher *ConfigPublisher
	state     *ReplicatedState
	leader    *Leader
	service   *Service
	last      ident.Revision
}

func newControlBench(b *testing.B, members int) *controlBench {
	b.Helper()
	ctx := b.Context()
	cb := &controlBench{system: tasks.NewSystem(discardLogger())}
	b.Cleanup(cb.system.Shutdown)
	var err error
	if cb.leader, err = StartLeader(ctx, cb.system, plan.New(), clock.Wall(), discardLogger()); err != nil {
		b.Fatal(err)
	}
	if cb.publisher, err = StartConfigPublisher(ctx, cb.system, cb.leader); err != nil {
		b.Fatal(err)
	}
	cb.state = NewReplicatedState(cb.publisher)
	for i := range members {
		cb.apply(b, state.NewJoin(benchMember(i)))
	}
	cb.leader.LeadershipBegan(1)
	cb.service = &Service{ctx: ctx, log: confirmedLog{}, publisher: cb.publisher, leader: cb.leader, clock: clock.Wall()}
	return cb
}

func (cb *controlBench) apply(b *testing.B, command state.Command) {
	b.Helper()
	cb.last++
	if outcome, ok := cb.state.Apply(cb.last, encodeCommand(b, command)).(state.Outcome); !ok || outcome.Err() != nil {
		b.Fatal(outcome.Err())
	}
}

// change applies a change that affects no member.
func (cb *controlBench) change(b *testing.B) {
	b.Helper()
	cb.apply(b, state.NewMarkSuspect(ident.Fingerprint{1}, 1, time.Unix(2e9+int64(cb.last), 0)))
}

// Reports the cost of an idle poll in the leader, and the heap that such polls
// retain.
func BenchmarkPollServe(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3400} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			cb := newControlBench(b, n)
			polls := make([]PollArgs, n)
			for i := range polls {
				polls[i] = benchPoll(i, 16, cb.last)
				polls[i].Wait = 0
			}
			poll := func(i int) {
				var reply PollReply
				if err := cb.service.Poll(&polls[i%n], &reply); err != nil || reply.Verdict != ResultServed || reply.Lease != Lease {
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

// Reports the cost of recording one poll in the leader task, depending on the
// number of members and of callers that wait until a revision is in force.
func BenchmarkRenew(b *testing.B) {
	for _, waiting := range []int{0, 1, 4} {
		for _, n := range []int{100, 1000, 3400} {
			b.Run(fmt.Sprintf("waiting=%d/members=%d", waiting, n), func(b *testing.B) {
				cb := newControlBench(b, n)
				config, err := cb.publisher.Config(b.Context())
				if err != nil {
					b.Fatal(err)
				}
				l := &leader{leads: true, config: config, expiring: map[ident.Host]ident.Incarnation{}}
				l.sessions.beginLeadership(time.Unix(1e9, 0))
				polls := make([]PollArgs, n)
				for i := range polls {
					polls[i] = benchPoll(i, 16, cb.last)
					l.Handle(recordPoll{args: polls[i], arrived: time.Unix(1e9, 0)})
				}
				for range waiting {
					l.Handle(waitInForce{revision: cb.last + 1, ctx: b.Context(), reply: tasks.NewReply[RolloutProgress]()})
				}
				i := 0
				for b.Loop() {
					l.Handle(recordPoll{args: polls[i%n], arrived: time.Unix(1e9, int64(i))})
					i++
				}
			})
		}
	}
}

// Reports the time from the commit of a change until all of n followers have read
// it over loopback connections, and the CPU time of both ends per follower. A
// relay would serve its followers in the same way: 4, 27 and 33 are the numbers of
// zones in a region, of regions, and of hosts in a zone.
func BenchmarkFanOut(b *testing.B) {
	for _, n := range []int{4, 27, 33, 126, 340, 1000, 3400} {
		b.Run(fmt.Sprintf("followers=%d", n), func(b *testing.B) {
			cb, got := startFollowers(b, n)
			used := cpuTime(b)
			ops := 0
			for b.Loop() {
				cb.change(b)
				for range n {
					if r := <-got; r != cb.last {
						b.Fatalf("follower is at revision %d, want %d", r, cb.last)
					}
				}
				ops++
			}
			b.ReportMetric(float64((cpuTime(b)-used).Nanoseconds())/float64(ops*n), "cpu-ns/follower")
		})
	}
}

// Reports the time from the commit of a change until the leader knows that it is
// in force, while a caller waits as long as the control hosts allow, and the
// fraction of the changes that were in force before the wait ended.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{126, 340, 1000, 3400} {
		b.Run(fmt.Sprintf("followers=%d", n), func(b *testing.B) {
			cb, got := startFollowers(b, n)
			ops, reached := 0, 0
			for b.Loop() {
				cb.change(b)
				ctx, cancel := context.WithTimeout(b.Context(), maxProposeTimeout)
				progress, err := cb.leader.InForce(ctx, cb.last)
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

// startFollowers returns a controlBench that n members poll. The channel passes
// each revision that one of them reads.
func startFollowers(b *testing.B, n int) (*controlBench, <-chan ident.Revision) {
	b.Helper()
	cb := newControlBench(b, n)
	server := rpc.NewServer()
	if err := server.RegisterName(followServiceName, cb.service); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	c := serveCounted(ctx, b, server)
	got := make(chan ident.Revision, n)
	var ended sync.WaitGroup
	for i := range n {
		client, err := wire.StartClient(ctx, cb.system, "bench", c.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		args := benchPoll(i, 16, cb.last)
		ended.Go(func() { pollLoop(ctx, client, args, got) })
	}
	b.Cleanup(func() {
		cancel()
		ended.Wait()
	})
	return cb, got
}

// Reports the heap and stack memory of one connection of package wire after a
// poll, for both ends together.
func BenchmarkConnection(b *testing.B) {
	for _, n := range []int{34, 340, 1000} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			ctx := b.Context()
			cb := newControlBench(b, 1)
			server := rpc.NewServer()
			if err := server.RegisterName(followServiceName, cb.service); err != nil {
				b.Fatal(err)
			}
			c := serveCounted(ctx, b, server)
			perConnection := 0.0
			for b.Loop() {
				before := memoryInUse()
				var clients []*wire.Client
				for i := range n {
					client, err := wire.StartClient(ctx, cb.system, "bench", c.Addr().String())
					if err != nil {
						b.Fatal(err)
					}
					clients = append(clients, client)
					args, reply := benchPoll(i, 16, 0), PollReply{}
					callCtx, cancel := context.WithTimeout(ctx, time.Minute)
					if err := client.Call(callCtx, followServiceName+".Poll", &args, &reply); err != nil {
						b.Fatal(err)
					}
					cancel()
				}
				perConnection = (memoryInUse() - before) / float64(n)
				for _, client := range clients {
					client.Close()
				}
			}
			b.ReportMetric(perConnection, "B/connection")
		})
	}
}

// memoryInUse returns the size of the live heap and the stacks in bytes.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// pollLoop polls until ctx ends and passes on each new revision.
func pollLoop(ctx context.Context, client *wire.Client, args PollArgs, got chan<- ident.Revision) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Minute)
		var reply PollReply
		err := client.Call(callCtx, followServiceName+".Poll", &args, &reply)
		cancel()
		if err == nil && reply.Revision > args.Revision {
			args.Revision = reply.Revision
			got <- reply.Revision
		}
	}
}

// Reports the commit rate of three replicas on loopback with syncs to disk,
// depending on the number of concurrent proposals.
func BenchmarkParallelCommit(b *testing.B) {
	for _, parallel := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			benchReplicas(b, parallel, func(p *controlProcess) error {
				_, _, err := p.replica.Propose(context.Background(), make([]byte, 200))
				return err
			})
		})
	}
}

// Reports the rate of leadership confirmations by three replicas on loopback.
func BenchmarkParallelBarrier(b *testing.B) {
	for _, parallel := range []int{1, 33, 340} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			benchReplicas(b, parallel, func(p *controlProcess) error {
				_, err := p.replica.Barrier(context.Background())
				return err
			})
		})
	}
}

func benchReplicas(b *testing.B, parallel int, run func(*controlProcess) error) {
	b.Helper()
	cluster, _ := startThreeVoters(b)
	p := cluster.waitForLeader()
	if _, _, err := p.replica.Propose(context.Background(), []byte("first")); err != nil {
		b.Fatal(err)
	}
	used := cpuTime(b)
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
	b.ReportMetric(float64((cpuTime(b)-used).Nanoseconds())/float64(b.N), "cpu-ns/op")
}
