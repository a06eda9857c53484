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

// Echo is the RPC service of the tests.
type Echo struct{ release, written chan struct{} }

// Say returns its argument.
func (e *Echo) Say(args *string, reply *string) error {
	*reply = *args
	return nil
}

// Refuse returns an error.
func (e *Echo) Refuse(_ *string, _ *string) error { return errors.New("refused") }

// Late writes its reply when the test releases it, and then signals written.
func (e *Echo) Late(_ *string, reply *string) error {
	<-e.release
	*reply = "late"
	e.written <- struct{}{}
	return nil
}

// Hang returns when the test releases it.
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

// Guards against errors that do not show whether a call was sent.
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
		{name: "reply", method: "Echo.Say", text: "hello", timeout: time.Minute, want: "hello"},
		{name: "refused", method: "Echo.Refuse", timeout: time.Minute, refused: true},
		{name: "dead peer", method: "Echo.Say", dead: true, timeout: time.Minute, wantErr: ErrUnreachable},
		{name: "deadline", method: "Echo.Hang", timeout: 50 * time.Millisecond, wantErr: ErrResponseLost},
		{name: "caller left before", method: "Echo.Say", text: "hello", timeout: -time.Second, wantErr: ErrExpired},
		{name: "oversized", method: "Echo.Say", text: string(make([]byte, 1<<16)), timeout: time.Minute, refused: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, stop := startEcho(t, WithMaxMessageBytes(1<<12))
			if tc.dead {
				stop()
			} else {
				defer stop()
			}
			system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
			defer system.Shutdown()
			c, err := StartClient(context.Background(), system, "echo", address)
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
				t.Errorf("Call returned %d bytes, want %d", len(got), len(tc.want))
			}
		})
	}
}

// Guards against a call that is sent although its caller has left while the call
// waited for the connection.
func TestExpiredCallIsNotSent(t *testing.T) {
	cases := []struct {
		name string
		left bool
	}{
		{name: "caller waits"},
		{name: "caller has left", left: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ours, theirs := net.Pipe()
			defer func() { _ = ours.Close() }()
			sent := make(chan bool, 1)
			go func() {
				n, _ := io.Copy(io.Discard, theirs)
				sent <- n > 0
			}()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
			defer system.Shutdown()
			c, err := StartClient(context.Background(), system, "echo", "127.0.0.1:1")
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			n := &connection{self: c.ref, options: newOptions(nil), dialling: true}
			n.invoke(invoke{ctx: ctx, method: "Echo.Say", args: new(""), reply: new(""), result: make(chan error, 1)})
			if tc.left {
				leave()
			}
			client := rpc.NewClient(ours)
			n.dialDone(dialDone{client: client})
			_ = client.Close()
			if got := <-sent; got == tc.left {
				t.Errorf("sent %v with a caller that has left %v", got, tc.left)
			}
		})
	}
}

// Guards against a difference between a call within the process and one over a
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
		{name: "reply", method: "Echo.Say", args: new("hello"), timeout: time.Minute, want: "hello"},
		{name: "refused", method: "Echo.Refuse", args: new(""), timeout: time.Minute, refused: true},
		{name: "unknown method", method: "Echo.Sing", args: new(""), timeout: time.Minute, refused: true},
		{name: "wrong argument", method: "Echo.Say", args: new(1), timeout: time.Minute, refused: true},
		{name: "deadline", method: "Echo.Hang", args: new(""), timeout: time.Millisecond, wantErr: ErrResponseLost},
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

// Guards against a response that is written after its call has expired, while
// the caller already uses the reply for something else.
func TestLateResponse(t *testing.T) {
	type caller func(ctx context.Context, method string, reply *string) error
	cases := []struct {
		name  string
		start func(t *testing.T, server *rpc.Server) caller
	}{
		{name: "over a connection", start: func(t *testing.T, server *rpc.Server) caller {
			t.Helper()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			served := Serve(ctx, listener, server)
			system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
			c, err := StartClient(ctx, system, "late", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				stop()
				<-c.Done()
				<-served
				system.Shutdown()
			})
			return func(ctx context.Context, method string, reply *string) error {
				return c.Call(ctx, method, new("said"), reply)
			}
		}},
		{name: "within the process", start: func(_ *testing.T, server *rpc.Server) caller {
			return func(ctx context.Context, method string, reply *string) error {
				return CallLocal(ctx, server, method, new("said"), reply)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := rpc.NewServer()
			echo := &Echo{release: make(chan struct{}), written: make(chan struct{}, 1)}
			if err := server.Register(echo); err != nil {
				t.Fatal(err)
			}
			call := tc.start(t, server)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			reply := "before"
			if err := call(ctx, "Echo.Late", &reply); !errors.Is(err, ErrResponseLost) {
				t.Fatalf("call = %v, want %v", err, ErrResponseLost)
			}
			close(echo.release)
			<-echo.written
			// The late response arrives during these calls.
			for range 100 {
				var said string
				long, cancel := context.WithTimeout(context.Background(), time.Minute)
				err := call(long, "Echo.Say", &said)
				cancel()
				if err != nil || said != "said" {
					t.Fatalf("call after the late one = %q, %v", said, err)
				}
			}
			if reply != "before" {
				t.Errorf("reply is %q after a late response, want it unchanged", reply)
			}
		})
	}
}

// Guards against a client that waits a second for a peer which has lost the
// opening packet and would respond to the next one at once, and against one
// that never waits long enough for a peer on a slow link.
func TestDialTimeout(t *testing.T) {
	lost := dialDone{err: errors.New("timeout")}
	steps := []struct {
		name   string
		result dialDone
		want   time.Duration
	}{
		{"first failure", lost, 2 * defaultFirstDialTimeout},
		{"second failure", lost, 4 * defaultFirstDialTimeout},
		{"later failure", lost, defaultDialTimeout},
		{"success", dialDone{client: new(rpc.Client)}, defaultFirstDialTimeout},
		{"failure after it", lost, 2 * defaultFirstDialTimeout},
	}
	n := &connection{options: newOptions(nil), nextDialTimeout: defaultFirstDialTimeout}
	for _, s := range steps {
		n.dialDone(s.result)
		if n.nextDialTimeout != s.want {
			t.Errorf("%s: %v, want %v", s.name, n.nextDialTimeout, s.want)
		}
	}
}
