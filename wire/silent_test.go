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

// silencer forwards connections to an address. Those that are open when silence is
// called drop all data from then on; new ones work.
type silencer struct {
	mutex   sync.Mutex
	silence chan struct{}
	opened  int
}

func startSilencer(t *testing.T, address string) (*silencer, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &silencer{silence: make(chan struct{})}
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
			s.mutex.Lock()
			s.opened++
			silent := s.silence
			s.mutex.Unlock()
			go forward(server, client, silent)
			go forward(client, server, silent)
		}
	}()
	return s, listener.Addr().String()
}

func (s *silencer) silenceOpen() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.silence)
	s.silence = make(chan struct{})
}

func forward(to, from net.Conn, silent <-chan struct{}) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestSilentConnection guards against a client that keeps a connection which went
// silent for good without a reset, while new connections to the same peer work.
func TestSilentConnection(t *testing.T) {
	cases := []struct {
		name string
		// silences is how often the open connection goes silent.
		silences int
	}{
		{"once", 1},
		{"again and again", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target, stop := startEcho(t)
			defer stop()
			s, address := startSilencer(t, target)
			system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
			defer system.Shutdown()
			manual := clock.NewManual(time.Now())
			client, err := StartClient(t.Context(), system, "silent", address, WithClock(manual))
			if err != nil {
				t.Fatal(err)
			}
			say := func(timeout time.Duration) error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				var said string
				return client.Call(ctx, "Echo.Say", new(string), &said)
			}
			if err := say(time.Minute); err != nil {
				t.Fatal(err)
			}
			for range c.silences {
				s.silenceOpen()
				manual.Advance(2 * maxSilence)
				if err := say(20 * time.Millisecond); !errors.Is(err, ErrResponseLost) {
					t.Errorf("call over a silent connection: %v, want %v", err, ErrResponseLost)
				}
				if err := say(time.Minute); err != nil {
					t.Errorf("call after it: %v", err)
				}
			}
			if s.opened != 1+c.silences {
				t.Errorf("%d connections were opened, want %d", s.opened, 1+c.silences)
			}
		})
	}
}
