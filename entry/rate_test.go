package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/limit"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const rateTestTeam = ident.Team("lucerne")

// rateHost is an entry host with the rate tasks and peer RPC on loopback.
type rateHost struct {
	name   ident.Host
	system *tasks.System
	peers  *Peers
	owners *RateOwners
	holder *RateHolder
	listen net.Listener
	stop   context.CancelFunc
	served <-chan struct{}
}

func startRateHost(t testing.TB, name ident.Host, list []RateOption) *rateHost {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	list = append(list, WithRateLogger(log))
	ctx, cancel := context.WithCancel(context.Background())
	h := &rateHost{name: name, system: tasks.NewSystem(log), stop: cancel}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	h.peers, err = StartPeers(ctx, h.system)
	must(err)
	h.owners, err = StartRateOwners(ctx, h.system, h.peers, list...)
	must(err)
	h.holder, err = StartRateHolder(ctx, h.system, h.peers, name, 1, list...)
	must(err)
	h.listen, err = net.Listen("tcp", "127.0.0.1:0")
	must(err)
	server := rpc.NewServer()
	must(RegisterRates(server, h.owners, h.holder))
	h.served = wire.Serve(ctx, h.listen, server)
	return h
}

func (h *rateHost) close() {
	h.stop()
	<-h.holder.Done()
	<-h.owners.Done()
	<-h.peers.Done()
	<-h.served
	h.system.Shutdown()
}

type rateFleet struct {
	hosts []*rateHost
	limit limit.Limit
}

func startRateFleet(t testing.TB, rate, burst float64, list ...RateOption) *rateFleet {
	t.Helper()
	l, err := limit.New(rate, burst)
	if err != nil {
		t.Fatal(err)
	}
	f := &rateFleet{limit: l}
	for _, n := range []ident.Host{"a", "b", "c"} {
		f.hosts = append(f.hosts, startRateHost(t, n, list))
	}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			h.close()
		}
	})
	return f
}

// setView distributes a view with the given owner of the only shard to all
// hosts.
func (f *rateFleet) setView(owner int, e ident.Epoch, lease time.Duration) {
	var members []Member
	for _, h := range f.hosts {
		members = append(members, NewMember(h.name, 1, "ch", h.listen.Addr().String()))
	}
	roles := map[Role]Assignment{RateRole(0): NewAssignment(f.hosts[owner].name, 1, e)}
	limits := NewRateLimits(1, map[ident.Team]limit.Limit{rateTestTeam: f.limit})
	for _, h := range f.hosts {
		m := NewMembers(h.name, 1, ident.Revision(e), time.Now().Add(lease), members, roles)
		h.peers.Update(m)
		h.owners.SetLimits(limits)
		h.holder.SetLimits(limits)
		h.owners.Update(m)
		h.holder.Update(m)
	}
}

// takeCounts counts the results of concurrent calls of Take.
type takeCounts struct {
	mutex    sync.Mutex
	admitted int
	refused  map[limit.Reason]int
	failed   error
}

// takeMany makes n concurrent calls of Take on each host.
func (f *rateFleet) takeMany(n int) *takeCounts {
	c := &takeCounts{refused: map[limit.Reason]int{}}
	var open sync.WaitGroup
	for _, h := range f.hosts {
		for range n {
			open.Go(func() {
				ok, _, reason, err := h.holder.Take(context.Background(), rateTestTeam)
				c.mutex.Lock()
				defer c.mutex.Unlock()
				switch {
				case err != nil:
					c.failed = err
				case ok:
					c.admitted++
				default:
					c.refused[reason]++
				}
			})
		}
	}
	open.Wait()
	return c
}

// Guards against refusals within the burst, and against more admissions than
// burst + rate x duration while the owner changes.
func TestRateTasks(t *testing.T) {
	cases := []struct {
		name        string
		rate, burst float64
		perHost     int
		owners      []int
		options     []RateOption
		allAdmitted bool
	}{
		{name: "within the burst", rate: 1000, burst: 90, perHost: 30, owners: []int{0}, allAdmitted: true},
		{name: "within the burst, owner replaced", rate: 1000, burst: 90, perHost: 30, owners: []int{0, 1, 2}, allAdmitted: true},
		{name: "far above the rate", rate: 10, burst: 20, perHost: 300, owners: []int{0, 1}, options: []RateOption{WithRateMaxWait(time.Second)}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := startRateFleet(t, tc.rate, tc.burst, tc.options...)
			start := time.Now()
			total := 0
			for i, o := range tc.owners {
				f.setView(o, ident.Epoch(i+1), time.Hour)
				c := f.takeMany(tc.perHost)
				if c.failed != nil {
					t.Fatal(c.failed)
				}
				if all := tc.perHost * len(f.hosts); tc.allAdmitted && c.admitted != all {
					t.Errorf("owner %d: %d of %d admitted, refused %v", o, c.admitted, all, c.refused)
				}
				if !tc.allAdmitted && c.refused[limit.ReasonRate] == 0 {
					t.Errorf("owner %d: refused %v, want refusals for %s", o, c.refused, limit.ReasonRate)
				}
				total += c.admitted
			}
			bound := tc.burst + tc.rate*time.Since(start).Seconds()
			if total == 0 || float64(total) > bound {
				t.Errorf("%d requests admitted, want 1 to %.1f", total, bound)
			}
		})
	}
}

// Guards against requests that are refused because their owner has crashed.
func TestRateOwnerDies(t *testing.T) {
	f := startRateFleet(t, 1000, 100)
	f.setView(0, 1, time.Hour)
	if c := f.takeMany(5); c.admitted != 15 {
		t.Fatalf("%d of 15 admitted, refused %v, error %v", c.admitted, c.refused, c.failed)
	}
	f.hosts[0].close()
	f.hosts = f.hosts[1:]
	waiting := make(chan *takeCounts)
	go func() { waiting <- f.takeMany(40) }()
	f.setView(0, 2, time.Hour)
	if c := <-waiting; c.admitted != 80 {
		t.Errorf("%d of 80 admitted, refused %v, error %v", c.admitted, c.refused, c.failed)
	}
}

// Guards against requests that hang or are admitted when a host cannot know
// the limit.
func TestRateHolderWithoutOwner(t *testing.T) {
	cases := []struct {
		name       string
		options    []RateOption
		view       func(f *rateFleet)
		team       ident.Team
		wantReason limit.Reason
		wantErr    error
	}{
		{name: "no view", view: func(*rateFleet) {}, team: rateTestTeam, wantReason: limit.ReasonStale},
		{name: "lease ended", view: func(f *rateFleet) { f.setView(0, 1, -time.Second) }, team: rateTestTeam, wantReason: limit.ReasonStale},
		{name: "unknown team", view: func(f *rateFleet) { f.setView(0, 1, time.Hour) }, team: "texas", wantReason: limit.ReasonUnknownTeam},
		{name: "queue full", options: []RateOption{WithRateMaxQueue(0)}, view: func(f *rateFleet) { f.setView(0, 1, time.Hour) },
			team: rateTestTeam, wantReason: limit.ReasonQueueFull},
		{name: "owner dead, maximum wait over", options: []RateOption{WithRateMaxWait(50 * time.Millisecond)}, view: func(f *rateFleet) {
			f.hosts[0].close()
			f.setView(0, 1, time.Hour)
			f.hosts = f.hosts[1:]
		}, team: rateTestTeam, wantReason: limit.ReasonNoOwner},
		{name: "owner dead, caller gives up", view: func(f *rateFleet) {
			f.hosts[0].close()
			f.setView(0, 1, time.Hour)
			f.hosts = f.hosts[1:]
		}, team: rateTestTeam, wantErr: context.DeadlineExceeded},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := startRateFleet(t, 10, 10, tc.options...)
			tc.view(f)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			if tc.wantErr == nil {
				ctx, cancel = context.WithCancel(context.Background())
			}
			defer cancel()
			ok, _, reason, err := f.hosts[1].holder.Take(ctx, tc.team)
			if ok || reason != tc.wantReason || !errors.Is(err, tc.wantErr) {
				t.Errorf("Take = %v, %q, %v; want %q, %v", ok, reason, err, tc.wantReason, tc.wantErr)
			}
		})
	}
}

// Guards against tokens that are lost in a planned stop.
func TestRateRelease(t *testing.T) {
	f := startRateFleet(t, 1000, 60)
	f.setView(0, 1, time.Hour)
	if c := f.takeMany(10); c.admitted != 30 {
		t.Fatalf("%d of 30 admitted, refused %v", c.admitted, c.refused)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, h := range f.hosts {
		if err := h.holder.Release(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, reason, err := f.hosts[1].holder.Take(ctx, rateTestTeam); err != nil || reason != limit.ReasonStopping {
		t.Errorf("Take after Release: reason %q, error %v", reason, err)
	}
	_, unspent, owned, err := f.hosts[0].owners.Level(ctx, rateTestTeam)
	if err != nil || !owned || unspent != 0 {
		t.Errorf("Level: owned %v, %d unspent tokens after all were returned, error %v", owned, unspent, err)
	}
}

// Reports the cost of Take on a host with tokens. Requests without tokens fail
// the benchmark.
func BenchmarkRateTake(b *testing.B) {
	f := startRateFleet(b, 1e9, 1e9)
	f.setView(0, 1, time.Hour)
	ctx := context.Background()
	for range 10000 {
		if ok, _, reason, err := f.hosts[1].holder.Take(ctx, rateTestTeam); err != nil || !ok && reason == "" {
			b.Fatal(reason, err)
		}
	}
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if ok, _, reason, err := f.hosts[1].holder.Take(ctx, rateTestTeam); err != nil || !ok {
				b.Error(reason, err)
				return
			}
		}
	})
}

// Reports the cost of a grant over loopback.
func BenchmarkRateGrant(b *testing.B) {
	f := startRateFleet(b, 1e9, 1e9)
	f.setView(0, 1, time.Hour)
	if c := f.takeMany(1); c.admitted != len(f.hosts) {
		b.Fatal(c.refused, c.failed)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	args := RateGrantArgs{Host: "x", Incarnation: 1, Epoch: 1, Burst: 1e9, Need: 1}
	for b.Loop() {
		args.Sequence++
		args.Holding = RateHolding{Team: string(rateTestTeam), Spent: int64(args.Sequence) - 1, Open: args.Sequence}
		var reply RateGrantReply
		if err := f.hosts[1].peers.Call(ctx, "a", methodGrant, &args, &reply); err != nil || reply.Tokens != 1 {
			b.Fatal(reply, err)
		}
	}
}
