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

	"rhubarbrack/addrs"
	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// recordingMachine is a state machine that records every command. Its result is
// the number of commands so far.
type recordingMachine struct {
	mutex    sync.Mutex
	appended *sync.Cond
	commands []string
}

func newRecordingMachine() *recordingMachine {
	m := &recordingMachine{}
	m.appended = sync.NewCond(&m.mutex)
	return m
}

func (m *recordingMachine) Apply(_ ident.Revision, data []byte) any {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.commands = append(m.commands, string(data))
	m.appended.Broadcast()
	return len(m.commands)
}

func (m *recordingMachine) Snapshot() func() ([]byte, error) {
	text := strings.Join(m.commands, "\n")
	return func() ([]byte, error) { return []byte(text), nil }
}

func (m *recordingMachine) Restore(_ ident.Revision, data []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.commands = strings.Split(string(data), "\n")
	m.appended.Broadcast()
	return nil
}

// waitFor waits for n commands and returns all.
func (m *recordingMachine) waitFor(n int) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for len(m.commands) < n {
		m.appended.Wait()
	}
	return slices.Clone(m.commands)
}

// leadershipRecorder passes the begin and end of a replica's leaderships to a
// test.
type leadershipRecorder struct {
	host  ident.Host
	began chan<- ident.Host
	ended chan<- ident.Host
}

func (r leadershipRecorder) LeadershipBegan(agree.Term) { r.began <- r.host }
func (r leadershipRecorder) LeadershipEnded(agree.Term) { r.ended <- r.host }

// controlProcess is a running control host: a replica with its listener.
type controlProcess struct {
	replica *Replica
	machine *recordingMachine
	stop    func()
}

// testCluster runs the control hosts of a test on loopback.
type testCluster struct {
	t           testing.TB
	system      *tasks.System
	addresses   map[ident.Host]string
	directories map[ident.Host]string
	running     map[ident.Host]*controlProcess
	began       chan ident.Host
	ended       chan ident.Host
	delay       time.Duration
	cuts        map[ident.Host]*atomic.Bool
}

func newTestCluster(t testing.TB) *testCluster {
	cluster := &testCluster{
		t: t, system: tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil))),
		addresses: map[ident.Host]string{}, directories: map[ident.Host]string{}, running: map[ident.Host]*controlProcess{},
		began: make(chan ident.Host, 1024), ended: make(chan ident.Host, 1024),
		cuts: map[ident.Host]*atomic.Bool{},
	}
	t.Cleanup(func() {
		for _, p := range cluster.running {
			p.stop()
		}
		cluster.system.Shutdown()
	})
	return cluster
}

// reserveAddresses reserves addresses until the end of the test.
func reserveAddresses(t testing.TB) *addrs.Block {
	t.Helper()
	block, err := addrs.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = block.Release() })
	return block
}

// allocate assigns an address and a data directory to each host.
func (cluster *testCluster) allocate(hosts ...ident.Host) []Peer {
	cluster.t.Helper()
	var peers []Peer
	block := reserveAddresses(cluster.t)
	for _, h := range hosts {
		address, err := block.Next()
		if err != nil {
			cluster.t.Fatal(err)
		}
		cluster.addresses[h], cluster.directories[h] = address, cluster.t.TempDir()
		peers = append(peers, NewPeer(h, cluster.addresses[h]))
	}
	return peers
}

func (cluster *testCluster) start(h ident.Host, list ...ReplicaOption) *controlProcess {
	cluster.t.Helper()
	machine := newRecordingMachine()
	p := cluster.startWith(h, machine, list...)
	p.machine = machine
	return p
}

// startWith starts a host with a state machine.
func (cluster *testCluster) startWith(h ident.Host, machine StateMachine, list ...ReplicaOption) *controlProcess {
	cluster.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", cluster.addresses[h])
	if err != nil {
		cluster.t.Fatal(err)
	}
	server := rpc.NewServer()
	p := &controlProcess{}
	list = append([]ReplicaOption{
		WithLeadershipObserver(leadershipRecorder{host: h, began: cluster.began, ended: cluster.ended}),
		WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))),
	}, list...)
	p.replica, err = StartReplica(ctx, cluster.system, server, h, cluster.directories[h], machine, list...)
	if err != nil {
		cluster.t.Fatal(err)
	}
	served := wire.Serve(ctx, delayedListener{Listener: listener, delay: cluster.delay, cut: cluster.cuts[h]}, server)
	p.stop = func() {
		cancel()
		<-p.replica.Done()
		<-served
		delete(cluster.running, h)
	}
	cluster.running[h] = p
	return p
}

// waitForLeader waits for the next host whose leadership begins.
func (cluster *testCluster) waitForLeader() *controlProcess {
	for {
		if p := cluster.running[<-cluster.began]; p != nil {
			return p
		}
	}
}

// commitCommands proposes n commands and fails the test if one is not committed.
func (cluster *testCluster) commitCommands(p *controlProcess, prefix string, n int) {
	cluster.t.Helper()
	for i := range n {
		if _, _, err := p.replica.Propose(context.Background(), fmt.Appendf(nil, "%s%d", prefix, i)); err != nil {
			cluster.t.Fatalf("Propose %s%d: %v", prefix, i, err)
		}
	}
}

// Guards against a single voter that does not become the leader, or that loses
// acknowledged commands when its process ends.
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
			cluster := newTestCluster(t)
			options := append(tc.options, WithInitialPeers(cluster.allocate("a")...))
			for run := range 3 {
				p := cluster.start("a", options...)
				<-cluster.began
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

// Guards against requests that block at a replica whose cluster is not
// bootstrapped yet.
func TestNotLeader(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.allocate("a")
	p := cluster.start("a")
	var refused *NotLeaderError
	if _, _, err := p.replica.Propose(context.Background(), nil); !errors.As(err, &refused) || refused.Leader() != "" {
		t.Errorf("Propose error = %v, want an unknown leader", err)
	}
	if _, err := p.replica.Barrier(context.Background()); !errors.Is(err, ErrNotLeader) {
		t.Errorf("Barrier error = %v, want ErrNotLeader", err)
	}
}

// startThreeVoters starts a cluster of three control hosts.
func startThreeVoters(t testing.TB, list ...ReplicaOption) (*testCluster, []ReplicaOption) {
	return newTestCluster(t).startThree(list...)
}

func (cluster *testCluster) startThree(list ...ReplicaOption) (*testCluster, []ReplicaOption) {
	options := append(list, WithInitialPeers(cluster.allocate("a", "b", "c")...))
	for _, h := range []ident.Host{"a", "b", "c"} {
		cluster.start(h, options...)
	}
	return cluster, options
}

// Guards against a cluster that loses commands or stops making progress when its
// hosts fail, return, or are replaced.
func TestThreeVoters(t *testing.T) {
	compact := []ReplicaOption{WithSnapshotThresholds(10, 1<<20), WithChunkBytes(7), WithNodeOptions(agree.WithRetainedEntries(4))}
	cases := []struct {
		name    string
		options []ReplicaOption
		act     func(cluster *testCluster, leader *controlProcess, options []ReplicaOption) *controlProcess
	}{
		{name: "nothing happens", act: func(_ *testCluster, p *controlProcess, _ []ReplicaOption) *controlProcess { return p }},
		{name: "leader dies and returns", act: restartLeader},
		{name: "leader returns far behind", options: compact, act: restartLeader},
		{name: "transfer", act: func(cluster *testCluster, p *controlProcess, _ []ReplicaOption) *controlProcess {
			if err := p.replica.TransferLeadership(context.Background(), ""); err != nil {
				cluster.t.Fatal(err)
			}
			return cluster.waitForLeader()
		}},
		{name: "member replaced", act: replaceFollower},
		{name: "member replaced by snapshot", options: compact, act: replaceFollower},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cluster, options := startThreeVoters(t, tc.options...)
			p := cluster.waitForLeader()
			cluster.commitCommands(p, "first", 25)
			p = tc.act(cluster, p, options)
			cluster.commitCommands(p, "last", 25)
			want := p.machine.waitFor(50)
			for h, other := range cluster.running {
				if got := other.machine.waitFor(len(want)); !slices.Equal(got, want) {
					t.Errorf("host %s has %q, want %q", h, got, want)
				}
			}
		})
	}
}

func restartLeader(cluster *testCluster, p *controlProcess, options []ReplicaOption) *controlProcess {
	host := p.replica.Host()
	p.stop()
	next := cluster.waitForLeader()
	cluster.commitCommands(next, "between", 25)
	cluster.start(host, options...)
	return next
}

// replaceFollower replaces a stopped host with a new one, and stops another host
// right after.
func replaceFollower(cluster *testCluster, p *controlProcess, options []ReplicaOption) *controlProcess {
	var others []ident.Host
	for h := range cluster.running {
		if h != p.replica.Host() {
			others = append(others, h)
		}
	}
	ctx := context.Background()
	cluster.running[others[0]].stop()
	cluster.allocate("d")
	cluster.start("d", options[:len(options)-1]...)
	if err := p.replica.AddMember(ctx, "d", cluster.addresses["d"]); err != nil {
		cluster.t.Fatal(err)
	}
	if err := p.replica.RemoveMember(ctx, others[0]); err != nil {
		cluster.t.Fatal(err)
	}
	cluster.running[others[1]].stop()
	return p
}

// Guards against a status that lacks the leader or the progress of the members.
func TestStatus(t *testing.T) {
	cluster, _ := startThreeVoters(t)
	leader := cluster.waitForLeader()
	cluster.commitCommands(leader, "x", 5)
	for host, p := range cluster.running {
		p.machine.waitFor(5)
		s, err := p.replica.Status(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		name := leader.replica.Host()
		if s.Leader() != name || s.LeaderAddress() != cluster.addresses[name] ||
			s.CommitRevision() != s.AppliedRevision() || s.LastRevision() != 6 {
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
			refused.Leader() != name || refused.Address() != cluster.addresses[name] {
			t.Errorf("Propose to %s error = %v, want the leader %s", host, err, name)
		}
	}
}
