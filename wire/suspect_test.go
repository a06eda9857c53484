package wire

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

// gatedDialer opens the first connection at once and later ones when the gate is
// opened.
type gatedDialer struct {
	mutex sync.Mutex
	dials int
	gate  chan struct{}
	// began receives a value for each dial after the first.
	began chan struct{}
}

func (d *gatedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mutex.Lock()
	d.dials++
	first := d.dials == 1
	d.mutex.Unlock()
	if !first {
		d.began <- struct{}{}
		select {
		case <-d.gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// TestSlowConnection guards against a client that gives up a connection whose
// responses are under way on a full link, and then waits for a new one that has to
// pass the same queue.
func TestSlowConnection(t *testing.T) {
	cases := []struct {
		name string
		// dials is the number of attempts to open another connection that have
		// failed before the response comes.
		dials int
	}{
		{"response while another connection is opened", 0},
		{"response after another connection could not be opened", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, stop := startEcho(t)
			defer stop()
			gate := &gatedDialer{gate: make(chan struct{}), began: make(chan struct{}, 8)}
			s, through := startDelayer(t, address)
			system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
			defer system.Shutdown()
			manual := clock.NewManual(time.Now())
			client, err := StartClient(t.Context(), system, "slow", through, WithClock(manual), WithDialer(gate))
			if err != nil {
				t.Fatal(err)
			}
			say := func(timeout time.Duration) error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				text := "hello"
				var said string
				return client.Call(ctx, "Echo.Say", &text, &said)
			}
			if err := say(time.Minute); err != nil {
				t.Fatal(err)
			}
			s.hold()
			slow := make(chan error, 1)
			go func() { slow <- say(time.Minute) }()
			<-s.held
			manual.Advance(2 * maxSilence)
			if err := say(20 * time.Millisecond); !errors.Is(err, ErrResponseLost) {
				t.Fatalf("call without a response: %v, want %v", err, ErrResponseLost)
			}
			select {
			case <-gate.began:
			case err := <-slow:
				t.Fatalf("call whose response was under way: %v", err)
			}
			if c.dials > 0 {
				if err := say(time.Minute); !errors.Is(err, ErrUnreachable) {
					t.Fatalf("call while no connection can be opened: %v, want %v", err, ErrUnreachable)
				}
			}
			s.pass()
			if err := <-slow; err != nil {
				t.Errorf("call whose response was under way: %v", err)
			}
			if err := say(time.Minute); err != nil {
				t.Errorf("call after it: %v", err)
			}
		})
	}
}

// delayer forwards a connection to an address, and holds back what the address
// sends between hold and pass.
type delayer struct {
	mutex   sync.Mutex
	holding chan struct{}
	held    chan struct{}
}

func startDelayer(t *testing.T, address string) (*delayer, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	d := &delayer{held: make(chan struct{}, 8)}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				_ = client.Close()
				return
			}
			go forward(server, client, nil)
			go d.forward(client, server)
		}
	}()
	return d, listener.Addr().String()
}

func (d *delayer) hold() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.holding = make(chan struct{})
}

func (d *delayer) pass() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	close(d.holding)
	d.holding = nil
}

func (d *delayer) forward(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		d.mutex.Lock()
		holding := d.holding
		d.mutex.Unlock()
		if holding != nil {
			d.held <- struct{}{}
			<-holding
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
