package mesh

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"testing"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// earlierLeader is a leader of an earlier release, which takes no packed commands.
type earlierLeader struct{ received chan []byte }

// Submit receives a command.
func (l earlierLeader) Submit(args *SubmitRecord, _ *SubmitReplyRecord) error {
	l.received <- args.Order
	return nil
}

// startLeaderStandIn serves the calls of a stand-in for the leader until the test
// ends, and returns a client of it.
func startLeaderStandIn(ctx context.Context, t *testing.T, leader any) *wire.Client {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, leader); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := wire.Serve(ctx, listener, server)
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		cancel()
		<-served
		system.Shutdown()
	})
	client, err := wire.StartClient(ctx, system, "leader", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// laterLeader takes packed commands too.
type laterLeader struct {
	earlierLeader
	packed chan *PackedSubmitRecord
}

// SubmitPacked receives a packed command.
func (l laterLeader) SubmitPacked(args *PackedSubmitRecord, _ *SubmitReplyRecord) error {
	l.packed <- args
	return nil
}

// TestSubmit guards against a large command that a leader of an earlier release
// does not understand, or that is sent to others without being packed.
func TestSubmit(t *testing.T) {
	large := bytes.Repeat([]byte("route "), minPackedBytes)
	cases := []struct {
		name    string
		later   bool
		command []byte
		packed  bool
	}{
		{"short", true, []byte("route"), false},
		{"large", true, large, true},
		{"large, earlier release", false, large, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			earlier := earlierLeader{received: make(chan []byte, 1)}
			later := laterLeader{earlierLeader: earlier, packed: make(chan *PackedSubmitRecord, 1)}
			var leader any = earlier
			if c.later {
				leader = later
			}
			client := startLeaderStandIn(ctx, t, leader)
			if err := submitTo(ctx, client, c.command, ident.None[ident.Revision]()); err != nil {
				t.Fatal(err)
			}
			if c.packed {
				if p := <-later.packed; len(p.Packed) > len(c.command)/10 {
					t.Errorf("%d bytes for a command of %d", len(p.Packed), len(c.command))
				}
			} else if got := <-earlier.received; !bytes.Equal(got, c.command) {
				t.Errorf("command of %d bytes", len(got))
			}
		})
	}
}

// TestPackedState guards against a configuration that changes on its way from the
// leader to the host that an operator reads it from.
func TestPackedState(t *testing.T) {
	for _, source := range [][]byte{nil, []byte("short"), bytes.Repeat([]byte("route "), minPackedBytes)} {
		record := newStateRecord(7, scheme.NewDesiredState(3, source, nil))
		packed, err := record.pack()
		if err != nil {
			t.Fatal(err)
		}
		got, err := packed.unpack()
		if err != nil || !bytes.Equal(got.Source, source) || got.Version != 3 || got.Revision != 7 {
			t.Errorf("%d bytes: %d bytes of version %d, %v", len(source), len(got.Source), got.Version, err)
		}
	}
}
