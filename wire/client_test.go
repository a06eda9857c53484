package wire

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"testing"
	"time"

	"rhubarbrack/tasks"
)

// Echo is the service that the tests call.
type Echo struct{ release chan struct{} }

// Say returns its argument.
func (e *Echo) Say(args *string, reply *string) error {
	*reply = *args
	return nil
}

// Refuse returns an error.
func (e *Echo) Refuse(_ *string, _ *string) error { return errors.New("refused") }

// Hang answers when the test releases it.
func (e *Echo) Hang(_ *string, _ *string) error {
	<-e.release
	return nil
}

func startEcho(t *testing.T, list ...Option) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	echo := &Echo{release: make(chan struct{})}
	if err := server.Register(echo); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := Serve(ctx, listener, server, list...)
	return listener.Addr().String(), func() {
		cancel()
		close(echo.release)
		<-done
	}
}

// Guards against errors that do not tell whether a call was sent.
func TestCall(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		text    string
		dead    bool
		timeout time.Duration
		want    string
		wantErr error
		refused bool
	}{
		{name: "answer", method: "Echo.Say", text: "hello", timeout: time.Minute, want: "hello"},
		{name: "refused", method: "Echo.Refuse", timeout: time.Minute, refused: true},
		{name: "dead peer", method: "Echo.Say", dead: true, timeout: time.Minute, wantErr: ErrUnreachable},
		{name: "deadline", method: "Echo.Hang", timeout: time.Millisecond, wantErr: ErrLost},
		{name: "oversized", method: "Echo.Say", text: string(make([]byte, 1<<16)), timeout: time.Minute, refused: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, stop := startEcho(t, WithMessageBytes(1<<12))
			if tc.dead {
				stop()
			} else {
				defer stop()
			}
			system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
			defer system.Shutdown()
			c, err := Dial(context.Background(), system, "echo", address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), tc.timeout)
			defer cancel()
			var got string
			err = c.Call(ctx, tc.method, &tc.text, &got)
			var refused rpc.ServerError
			if errors.As(err, &refused) != tc.refused || !tc.refused && !errors.Is(err, tc.wantErr) {
				t.Errorf("Call error = %v, want %v", err, tc.wantErr)
			}
			if got != tc.want {
				t.Errorf("Call answered %d bytes, want %d", len(got), len(tc.want))
			}
		})
	}
}

// Guards against a call within the process that differs from one over a
// connection.
func TestCallLocal(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		args    any
		timeout time.Duration
		want    string
		wantErr error
		refused bool
	}{
		{name: "answer", method: "Echo.Say", args: new("hello"), timeout: time.Minute, want: "hello"},
		{name: "refused", method: "Echo.Refuse", args: new(""), timeout: time.Minute, refused: true},
		{name: "unknown method", method: "Echo.Sing", args: new(""), timeout: time.Minute, refused: true},
		{name: "wrong argument", method: "Echo.Say", args: new(1), timeout: time.Minute, refused: true},
		{name: "deadline", method: "Echo.Hang", args: new(""), timeout: time.Millisecond, wantErr: ErrLost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := rpc.NewServer()
			echo := &Echo{release: make(chan struct{})}
			defer close(echo.release)
			if err := server.Register(echo); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), tc.timeout)
			defer cancel()
			var got string
			err := CallLocal(ctx, server, tc.method, tc.args, &got)
			var refused rpc.ServerError
			if errors.As(err, &refused) != tc.refused || !tc.refused && !errors.Is(err, tc.wantErr) || got != tc.want {
				t.Errorf("CallLocal = %q, %v; want %q, %v", got, err, tc.want, tc.wantErr)
			}
		})
	}
}
