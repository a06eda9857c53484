package wire

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"rhubarbrack/tasks"
)

// recordingDialer records the addresses that it connects to.
type recordingDialer struct {
	net.Dialer
	addresses chan string
}

// DialContext implements Dialer.
func (d *recordingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.addresses <- address
	return d.Dialer.DialContext(ctx, network, address)
}

// TestDialer guards against connections that bypass the dialer of a client, such as
// one that binds them to the host's own address.
func TestDialer(t *testing.T) {
	address, stop := startEcho(t)
	defer stop()
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	defer system.Shutdown()
	dialer := &recordingDialer{addresses: make(chan string, 1)}
	client, err := StartClient(context.Background(), system, "echo", address, WithDialer(dialer))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	text, reply := "hello", ""
	if err := client.Call(ctx, "Echo.Say", &text, &reply); err != nil || reply != text {
		t.Fatalf("Call = %q, %v", reply, err)
	}
	if got := <-dialer.addresses; got != address {
		t.Errorf("dialled %s, want %s", got, address)
	}
}
