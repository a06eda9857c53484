package certs

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// Echo is the RPC service that the test calls.
type Echo struct{}

// Say returns its argument.
func (Echo) Say(args *string, reply *string) error {
	*reply = *args
	return nil
}

// Guards against RPC calls between processes with certificates of different
// authorities, and against calls that reach another host than the intended one.
func TestCallsBetweenProcesses(t *testing.T) {
	trusted, foreign := newAuthority(t), newAuthority(t)
	c := clock.NewManual(start)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := server.Register(Echo{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := wire.Serve(ctx, listener, server, wire.WithTLS(newTestSource(t, issue(t, trusted, "control-1"), c).ServerConfig()))
	defer func() {
		cancel()
		<-done
	}()
	cases := []struct {
		name string
		from *Authority
		to   string
		want string

		wantErr error
	}{
		{name: "same authority", from: trusted, to: "control-1", want: "hello"},
		{name: "other authority", from: foreign, to: "control-1", wantErr: ErrPeerCertificate},
		{name: "other host", from: trusted, to: "control-2", wantErr: ErrPeerCertificate},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			system := tasks.NewSystem(discardLog())
			defer system.Shutdown()
			tlsConfig := newTestSource(t, issue(t, tc.from, "entry-1"), c).ClientConfig(tc.to)
			client, err := wire.StartClient(ctx, system, "control-1", listener.Addr().String(), wire.WithTLS(tlsConfig))
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			text, reply := "hello", ""
			err = client.Call(ctx, "Echo.Say", &text, &reply)
			if reply != tc.want || !errors.Is(err, tc.wantErr) {
				t.Errorf("Call = %q, %v; want %q, %v", reply, err, tc.want, tc.wantErr)
			}
		})
	}
}
