package mesh

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/patch"
	"rhubarbrack/quota"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// testControlHost is a stand-in for the service of a control host. Pieces wait
// until release is closed.
type testControlHost struct {
	archive *patch.Archive
	release chan struct{}
	mu      sync.Mutex
	reply   HeartbeatReplyRecord
	damage  int
	// greeted receives each heartbeat, unless it is nil or full.
	greeted chan HeartbeatRecord
	// accepted counts the connections.
	accepted atomic.Int64
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// Greet receives a heartbeat.
func (s *testControlHost) Greet(record *HeartbeatRecord, reply *HeartbeatReplyRecord) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	*reply = s.reply
	select {
	case s.greeted <- *record:
	default:
	}
	return nil
}

// announce announces a version with its difference to a base.
func (s *testControlHost) announce(t *testing.T, version, base uint64) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := s.archive.Piece(patch.NewRequest(version, base, 0, maxAnnouncedBytes))
	if err != nil || len(p.Data()) != p.Total() {
		t.Fatalf("difference of %d bytes, error %v", p.Total(), err)
	}
	record := newPieceRecord(p)
	s.reply.Version, s.reply.Change = version, &record
}

// Targets returns an empty list.
func (s *testControlHost) Targets(_ *ListRequestRecord, reply *ListRecord) error {
	*reply = ListRecord{HasList: true, Tag: 1}
	return nil
}

// Piece returns a piece, damaged while damage is above 0.
func (s *testControlHost) Piece(args *PieceRequestRecord, reply *PieceRecord) error {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := s.archive.Piece(args.request())
	if err != nil {
		return err
	}
	*reply = newPieceRecord(p)
	if s.damage > 0 {
		s.damage--
		reply.Data = bytes.Repeat([]byte{7}, len(reply.Data))
	}
	return nil
}

func (s *testControlHost) evacuate(revision uint64, zones ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply.Revision, s.reply.Zones = revision, zones
}

func (s *testControlHost) put(version uint64, source []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.archive.Add(version, source)
	s.reply.Version = version
}

// testListener passes on what an entry host learns.
type testListener struct {
	configs chan []byte
	zones   chan []ident.Zone
	targets chan struct{}
	hosts   chan int
	ready   chan struct{}
}

var _ Listener = testListener{}

func newTestListener() testListener {
	return testListener{
		configs: make(chan []byte, 10), zones: make(chan []ident.Zone, 10), targets: make(chan struct{}, 10),
		hosts: make(chan int, 100), ready: make(chan struct{}),
	}
}

// SetConfig cannot decode configurations that begin with an exclamation mark.
func (l testListener) SetConfig(_ uint64, source []byte) error {
	l.configs <- source
	if bytes.HasPrefix(source, []byte("!")) {
		return errUndecodable
	}
	return nil
}

func (l testListener) SetEvacuated(zones []ident.Zone)                           { l.zones <- zones }
func (l testListener) ZoneReturned(ident.Zone, time.Time)                        {}
func (l testListener) SetTargets(time.Time, []ListedTarget)                      { l.targets <- struct{}{} }
func (testListener) SetEntryHosts([]EntryHost)                                   {}
func (l testListener) SetHostCount(n int)                                        { l.hosts <- n }
func (l testListener) Demand(context.Context) ([]quota.Demand, error)            { return nil, nil }
func (l testListener) ApplyLeases([]quota.Lease, []ident.Team, time.Time)        {}
func (l testListener) TargetStats(context.Context) ([]spread.TargetStats, error) { return nil, nil }
func (l testListener) ApplyRemoteStats([]spread.TargetStats)                     {}
func (l testListener) ApplyLimits([]spread.LimitShare)                           {}
func (l testListener) MergeSuspects([]guard.Report)                              {}
func (l testListener) BecomeReady()                                              { close(l.ready) }

func (l testListener) SuspectReports(context.Context, time.Time) ([]guard.Report, error) {
	return nil, nil
}

var errUndecodable = errors.New("undecodable")

// startTestClient starts a control client of a stand-in.
func startTestClient(t *testing.T, s *testControlHost) testListener {
	t.Helper()
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, s); err != nil {
		t.Fatal(err)
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := wire.Serve(ctx, countingListener{Listener: socket, accepted: &s.accepted}, server)
	log := slog.New(slog.DiscardHandler)
	system := tasks.NewSystem(log)
	l := newTestListener()
	address := socket.Addr().String()
	s.reply = HeartbeatReplyRecord{Controls: []string{address}, HasState: true, Revision: 1, Hosts: 1, HasList: true, ListTag: 1}
	c, err := NewControlClient(ctx, system, clock.Wall(), log, "host", "own:1", "z", "r", []string{address}, time.Second, l)
	if err != nil {
		t.Fatal(err)
	}
	c.Start(ctx)
	t.Cleanup(func() {
		stop()
		system.Shutdown()
		<-served
	})
	return l
}

// TestTransferDelaysNothing guards against evacuations, lists and heartbeats
// that wait behind a configuration on its way, and against a host that counts
// as ready before it has one.
func TestTransferDelaysNothing(t *testing.T) {
	s := &testControlHost{archive: patch.NewArchive(), release: make(chan struct{})}
	l := startTestClient(t, s)
	s.put(1, config)
	<-l.targets
	for revision, zones := range [][]string{{"a"}, {"a", "b"}, nil} {
		s.evacuate(uint64(revision+2), zones...)
		if got := <-l.zones; !slices.Equal(got, zonesOf(zones)) {
			t.Errorf("evacuated zones %v, want %v", got, zones)
		}
	}
	select {
	case <-l.ready:
		t.Error("ready without a configuration")
	default:
	}
	close(s.release)
	if got := <-l.configs; !bytes.Equal(got, config) {
		t.Error("configuration differs from what was put")
	}
	<-l.ready
}

var config = bytes.Repeat([]byte("route to a service\n"), 10_000)

// TestUndecodableConfig guards against a host that counts as ready although its
// configuration is not in force, and against one that fetches a configuration
// over and over which it cannot decode.
func TestUndecodableConfig(t *testing.T) {
	s := &testControlHost{archive: patch.NewArchive(), release: make(chan struct{})}
	close(s.release)
	l := startTestClient(t, s)
	s.put(1, []byte("!"))
	<-l.configs
	s.evacuate(2, "a")
	<-l.zones
	// Heartbeats have been answered since, so the host would be ready by now.
	select {
	case <-l.ready:
		t.Error("ready without a configuration in force")
	default:
	}
	s.put(2, config)
	if got := <-l.configs; !bytes.Equal(got, config) {
		t.Error("the undecodable configuration was fetched again")
	}
	<-l.ready
}

// TestConfigsInOrder guards against configurations that are put in force
// damaged or twice.
func TestConfigsInOrder(t *testing.T) {
	s := &testControlHost{archive: patch.NewArchive(), release: make(chan struct{}), damage: 2}
	close(s.release)
	l := startTestClient(t, s)
	source := config
	for version := range uint64(5) {
		source = append(slices.Clone(source), byte('0'+version))
		s.put(version+1, source)
		if got := <-l.configs; !bytes.Equal(got, source) {
			t.Fatalf("version %d differs from what was put", version+1)
		}
	}
	if len(l.configs) > 0 {
		t.Error("a configuration was put in force again")
	}
}
