package node

import (
	"context"
	"log/slog"
	"net"
	"testing"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/mesh"
)

// noTargets is a list without targets.
type noTargets struct{}

// List implements mesh.Lister.
func (noTargets) List(context.Context) ([]mesh.ListedTarget, error) { return nil, nil }

// TestOwnAddress guards against a host whose connections to other hosts come from
// an address that these, and the network between them, do not know as its own.
func TestOwnAddress(t *testing.T) {
	const ip = "127.0.0.9"
	seed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = seed.Close() }()
	config := NewHostConfig("c", "z", map[ident.Zone]ident.Region{"z": "r"}, ip, 0, []string{seed.Addr().String()},
		clock.Wall(), slog.New(slog.DiscardHandler)).WithData(t.TempDir(), false)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- RunFleetControl(ctx, config, noTargets{}, func(*mesh.Control) []Endpoint { return nil })
	}()
	c, err := seed.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if got, _, err := net.SplitHostPort(c.RemoteAddr().String()); err != nil || got != ip {
		t.Errorf("connection from %v, want %s (%v)", got, ip, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("the host ended with %v", err)
	}
}
