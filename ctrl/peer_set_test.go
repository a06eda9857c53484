package ctrl

import (
	"context"
	"log/slog"
	"net"
	"testing"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// TestConnectBeforeElection guards against elections that take as long as two
// connections to open, during which other hosts begin elections of their own.
func TestConnectBeforeElection(t *testing.T) {
	listeners := map[ident.Host]net.Listener{}
	members := agree.NewMembers(agree.NewMember("own", "127.0.0.1:1", 1, true))
	for i, host := range []ident.Host{"a", "b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		listeners[host] = l
		members = members.With(agree.NewMember(host, l.Addr().String(), agree.DiskID(i+2), true))
	}
	ctx, cancel := context.WithCancel(context.Background())
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	defer system.Shutdown()
	p := newPeerSet(ctx, system, "own", newReplicaOptions(nil))
	p.connect(members)
	for host, l := range listeners {
		conn, err := l.Accept()
		if err != nil {
			t.Fatalf("%s: %v", host, err)
		}
		_ = conn.Close()
	}
	cancel()
	p.wait()
}
