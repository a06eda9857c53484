package ctrl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// journal is a machine that keeps every change. Its result is the number of
// changes so far.
type journal struct {
	mutex   sync.Mutex
	grown   *sync.Cond
	changes []string
}

func newJournal() *journal {
	j := &journal{}
	j.grown = sync.NewCond(&j.mutex)
	return j
}

func (j *journal) Apply(_ ident.Revision, data []byte) any {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.changes = append(j.changes, string(data))
	j.grown.Broadcast()
	return len(j.changes)
}

func (j *journal) Snapshot() func() ([]byte, error) {
	text := strings.Join(j.changes, "\n")
	return func() ([]byte, error) { return []byte(text), nil }
}

func (j *journal) Restore(_ ident.Revision, data []byte) error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.changes = strings.Split(string(data), "\n")
	j.grown.Broadcast()
	return nil
}

// wait returns the changes once there are n of them.
func (j *journal) wait(n int) []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for len(j.changes) < n {
		j.grown.Wait()
	}
	return slices.Clone(j.changes)
}

// terms passes the leaderships of a replica to a test.
type terms struct {
	host  ident.Host
	began chan<- ident.Host
	ended chan<- ident.Host
}

func (s terms) LeadershipBegan(agree.Term) { s.began <- s.host }
func (s terms) LeadershipEnded(agree.Term) { s.ended <- s.host }

// process is a replica with its listener, as a control host runs it.
type process struct {
	replica *Replica
	machine *journal
	stop    func()
}

// lab runs the control hosts of one test on loopback.
type lab struct {
	t         testing.TB
	system    *tasks.System
	addresses map[ident.Host]string
	folders   map[ident.Host]string
	running   map[ident.Host]*process
	began     chan ident.Host
	ended     chan ident.Host
	delay     time.Duration
	cuts      map[ident.Host]*atomic.Bool
}

func newLab(t testing.TB) *lab {
	l := &lab{
		t: t, system: tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil))),
		addresses: map[ident.Host]string{}, folders: map[ident.Host]string{}, running: map[ident.Host]*process{},
		began: make(chan ident.Host, 1024), ended: make(chan ident.Host, 1024),
		cuts: map[ident.Host]*atomic.Bool{},
	}
	t.Cleanup(func() {
		for _, p := range l.running {
			p.stop()
		}
		l.system.Shutdown()
	})
	return l
}

// place gives a host an address and a data directory.
func (l *lab) place(hosts ...ident.Host) []Peer {
	l.t.Helper()
	var peers []Peer
	for _, h := range hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			l.t.Fatal(err)
		}
		l.addresses[h], l.folders[h] = listener.Addr().String(), l.t.TempDir()
		_ = listener.Close()
		peers = append(peers, NewPeer(h, l.addresses[h]))
	}
	return peers
}

func (l *lab) start(h ident.Host, list ...ReplicaOption) *process {
	l.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", l.addresses[h])
	if err != nil {
		l.t.Fatal(err)
	}
	server := rpc.NewServer()
	p := &process{machine: newJournal()}
	list = append([]ReplicaOption{
		WithLeadershipObserver(terms{host: h, began: l.began, ended: l.ended}), WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))),
	}, list...)
	p.replica, err = StartReplica(ctx, l.system, server, h, l.folders[h], p.machine, list...)
	if err != nil {
		l.t.Fatal(err)
	}
	served := wire.Serve(ctx, delayed{Listener: listener, delay: l.delay, cut: l.cuts[h]}, server)
	p.stop = func() {
		cancel()
		<-p.replica.Done()
		<-served
		delete(l.running, h)
	}
	l.running[h] = p
	return p
}

// leader waits for the next host that begins to lead.
func (l *lab) leader() *process {
	for {
		if p := l.running[<-l.began]; p != nil {
			return p
		}
	}
}

// commit proposes n changes and fails the test if one is refused.
func (l *lab) commit(p *process, prefix string, n int) {
	l.t.Helper()
	for i := range n {
		if _, _, err := p.replica.Propose(context.Background(), fmt.Appendf(nil, "%s%d", prefix, i)); err != nil {
			l.t.Fatalf("Propose %s%d: %v", prefix, i, err)
		}
	}
}

// Guards against a single voter that does not lead at once, or that loses
// what it acknowledged when its process ends.
func TestSingleVoter(t *testing.T) {
	cases := []struct {
		name    string
		options []ReplicaOption
	}{
		{name: "log"},
		{name: "snapshots", options: []ReplicaOption{WithSnapshotThresholds(3, 1<<20), WithNodeOptions(agree.WithRetainedEntries(2))}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx := context.Background()
			l := newLab(t)
			options := append(tc.options, WithInitialPeers(l.place("a")...))
			for run := range 3 {
				p := l.start("a", options...)
				<-l.began
				for i := range 5 {
					_, value, err := p.replica.Propose(ctx, fmt.Appendf(nil, "%d-%d", run, i))
					if want := run*5 + i + 1; err != nil || value != want {
						t.Fatalf("Propose = %v, %v; want %d", value, err, want)
					}
				}
				p.stop()
				if err := p.replica.Err(); err != nil {
					t.Fatalf("Err = %v after a planned stop", err)
				}
			}
		})
	}
}

// Guards against a request to a replica that waits for its cluster and never
// answers.
func TestNotLeader(t *testing.T) {
	l := newLab(t)
	l.place("a")
	p := l.start("a")
	var refused *NotLeaderError
	if _, _, err := p.replica.Propose(context.Background(), nil); !errors.As(err, &refused) || refused.Leader() != "" {
		t.Errorf("Propose error = %v, want an unknown leader", err)
	}
	if _, err := p.replica.Barrier(context.Background()); !errors.Is(err, ErrNotLeader) {
		t.Errorf("Barrier error = %v, want ErrNotLeader", err)
	}
}

// trio starts three hosts that form a cluster.
func trio(t testing.TB, list ...ReplicaOption) (*lab, []ReplicaOption) {
	return newLab(t).trio(list...)
}

func (l *lab) trio(list ...ReplicaOption) (*lab, []ReplicaOption) {
	options := append(list, WithInitialPeers(l.place("a", "b", "c")...))
	for _, h := range []ident.Host{"a", "b", "c"} {
		l.start(h, options...)
	}
	return l, options
}

// Guards against a cluster that loses changes or cannot go on when its hosts
// fail, return, or are replaced.
func TestThreeVoters(t *testing.T) {
	compact := []ReplicaOption{WithSnapshotThresholds(10, 1<<20), WithChunkBytes(7), WithNodeOptions(agree.WithRetainedEntries(4))}
	cases := []struct {
		name    string
		options []ReplicaOption
		act     func(l *lab, leader *process, options []ReplicaOption) *process
	}{
		{name: "nothing happens", act: func(_ *lab, p *process, _ []ReplicaOption) *process { return p }},
		{name: "leader dies and returns", act: restartLeader},
		{name: "leader returns far behind", options: compact, act: restartLeader},
		{name: "transfer", act: func(l *lab, p *process, _ []ReplicaOption) *process {
			if err := p.replica.TransferLeadership(context.Background(), ""); err != nil {
				l.t.Fatal(err)
			}
			return l.leader()
		}},
		{name: "member replaced", act: replaceFollower},
		{name: "member replaced by snapshot", options: compact, act: replaceFollower},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, options := trio(t, tc.options...)
			p := l.leader()
			l.commit(p, "first", 25)
			p = tc.act(l, p, options)
			l.commit(p, "last", 25)
			want := p.machine.wait(50)
			for h, other := range l.running {
				if got := other.machine.wait(len(want)); !slices.Equal(got, want) {
					t.Errorf("host %s has %q, want %q", h, got, want)
				}
			}
		})
	}
}

func restartLeader(l *lab, p *process, options []ReplicaOption) *process {
	host := p.replica.Host()
	p.stop()
	next := l.leader()
	l.commit(next, "between", 25)
	l.start(host, options...)
	return next
}

// replaceFollower replaces a host that lost its disk, and stops another host
// right after.
func replaceFollower(l *lab, p *process, options []ReplicaOption) *process {
	var others []ident.Host
	for h := range l.running {
		if h != p.replica.Host() {
			others = append(others, h)
		}
	}
	ctx := context.Background()
	l.running[others[0]].stop()
	l.place("d")
	l.start("d", options[:len(options)-1]...)
	if err := p.replica.AddMember(ctx, "d", l.addresses["d"]); err != nil {
		l.t.Fatal(err)
	}
	if err := p.replica.RemoveMember(ctx, others[0]); err != nil {
		l.t.Fatal(err)
	}
	l.running[others[1]].stop()
	return p
}

// Guards against a status that hides who leads or which member lags.
func TestStatus(t *testing.T) {
	l, _ := trio(t)
	leader := l.leader()
	l.commit(leader, "x", 5)
	for host, p := range l.running {
		p.machine.wait(5)
		s, err := p.replica.Status(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		name := leader.replica.Host()
		if s.Leader() != name || s.LeaderAddress() != l.addresses[name] || s.CommitRevision() != s.AppliedRevision() || s.LastRevision() != 6 {
			t.Errorf("status of %s = %+v, want leader %s and revision 6", host, s, name)
		}
		for _, m := range s.Members() {
			if p == leader && (m.LastContact().IsZero() || m.Match() < 1 || !m.Member().IsVoter()) {
				t.Errorf("leader %s knows nothing of %s: %+v", host, m.Member().Host(), m)
			}
		}
		if p == leader {
			continue
		}
		var refused *NotLeaderError
		if _, _, err := p.replica.Propose(context.Background(), nil); !errors.As(err, &refused) ||
			refused.Leader() != name || refused.Address() != l.addresses[name] {
			t.Errorf("Propose to %s error = %v, want the leader %s", host, err, name)
		}
	}
}
