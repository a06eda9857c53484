package addrs

import (
	"errors"
	"net"
	"testing"
)

// TestBlock guards against addresses that two tests use at the same time, and
// against addresses that the kernel gives to outgoing connections.
func TestBlock(t *testing.T) {
	first, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = first.Release() })
	if _, err := Reserve(WithPort(first.port), func(b *Block) { b.prefix = first.prefix }); !errors.Is(err, ErrExhausted) {
		t.Errorf("a reserved block was reserved again: %v", err)
	}
	seen := map[string]bool{}
	for range maxHosts {
		address, err := first.Next()
		if err != nil || seen[address] {
			t.Fatalf("address %s: seen before %v, error %v", address, seen[address], err)
		}
		seen[address] = true
	}
	if _, err := first.Next(); !errors.Is(err, ErrExhausted) {
		t.Errorf("error after the last address: %v", err)
	}
	// The port is free at every address, again and again.
	for range 3 {
		l, err := net.Listen("tcp", first.IP(1)+":"+portOf(t, first))
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// portOf returns the port of a block, which must be outside the ephemeral range.
func portOf(t *testing.T, b *Block) string {
	t.Helper()
	if b.port < minPort || b.port >= minPort+portCount {
		t.Errorf("port %d", b.port)
	}
	_, port, err := net.SplitHostPort(b.reservation.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return port
}
