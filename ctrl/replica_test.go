package ctrl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"strings"
	"testing"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// journal is a machine that keeps every change. Its result is the number of
// changes so far.
type journal struct{ changes []string }

func (j *journal) Apply(_ ident.Revision, data []byte) any {
	j.changes = append(j.changes, string(data))
	return len(j.changes)
}

func (j *journal) Snapshot() ([]byte, error) { return []byte(strings.Join(j.changes, "\n")), nil }

func (j *journal) Restore(_ ident.Revision, data []byte) error {
	j.changes = strings.Split(string(data), "\n")
	return nil
}

// terms passes the leaderships of a replica to a test.
type terms struct{ began, ended chan agree.Term }

func (s terms) LeadershipBegan(term agree.Term) { s.began <- term }
func (s terms) LeadershipEnded(term agree.Term) { s.ended <- term }

// process is a replica with its listener, as a control host runs it.
type process struct {
	replica *Replica
	machine *journal
	terms   terms
	stop    func()
}

// lab runs the control hosts of one test on loopback.
type lab struct {
	t         testing.TB
	system    *tasks.System
	addresses map[ident.Host]string
	folders   map[ident.Host]string
	running   map[ident.Host]*process
}

func newLab(t testing.TB) *lab {
	l := &lab{
		t: t, system: tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil))),
		addresses: map[ident.Host]string{}, folders: map[ident.Host]string{}, running: map[ident.Host]*process{},
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
	p := &process{machine: &journal{}, terms: terms{began: make(chan agree.Term, 64), ended: make(chan agree.Term, 64)}}
	list = append([]ReplicaOption{
		WithObserver(p.terms), WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))),
	}, list...)
	p.replica, err = StartReplica(ctx, l.system, server, h, l.folders[h], p.machine, list...)
	if err != nil {
		l.t.Fatal(err)
	}
	served := wire.Serve(ctx, listener, server)
	p.stop = func() {
		cancel()
		<-p.replica.Done()
		<-served
		delete(l.running, h)
	}
	l.running[h] = p
	return p
}

// Guards against a single voter that does not lead at once, or that loses
// what it acknowledged when its process ends.
func TestSingleVoter(t *testing.T) {
	cases := []struct {
		name    string
		options []ReplicaOption
	}{
		{name: "log"},
		{name: "snapshots", options: []ReplicaOption{WithSnapshots(3, 1<<20), WithNode(agree.WithRetained(2))}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx := context.Background()
			l := newLab(t)
			options := append(tc.options, WithFormation(l.place("a")...))
			for run := range 3 {
				p := l.start("a", options...)
				<-p.terms.began
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
