package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"testing"
	"time"

	"rhubarbrack/tally"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// fixedOwner returns the same reply to every call.
type fixedOwner struct{}

// Grant is an RPC method.
func (fixedOwner) Grant(_ *RateGrantArgs, reply *RateGrantReply) error {
	*reply = RateGrantReply{Status: "granted", Tokens: 50, Burst: 1000}
	return nil
}

// Acquire is an RPC method.
func (fixedOwner) Acquire(_ *SlotAcquireArgs, reply *SlotAcquireReply) error {
	*reply = SlotAcquireReply{Status: statusGranted, Epoch: 7, Target: "target-0001", Address: "10.0.0.1:8080"}
	return nil
}

// Release is an RPC method.
func (fixedOwner) Release(_ *SlotReleaseArgs, reply *SlotReply) error {
	reply.Status = statusDone
	return nil
}

// Open is an RPC method.
func (fixedOwner) Open(_ *SlotOpenArgs, reply *SlotReply) error {
	reply.Status = statusDone
	return nil
}

func openReport(grants int) *SlotOpenArgs {
	args := &SlotOpenArgs{Region: "region-01", Epoch: 7, Holder: SlotHolder{Host: "edge-0001", Incarnation: 1}, Sequence: 1 << 20, Last: 1 << 20}
	for i := range grants {
		args.Open = append(args.Open, SlotOpenGrant{Number: 1<<20 + uint64(i), Service: "bells", Target: "target-0001",
			Fingerprint: [32]byte{1, 200}, Age: time.Second})
	}
	return args
}

// Reports the bytes of a call between entry hosts on a connection of package
// wire, in both directions.
func BenchmarkCallBytes(b *testing.B) {
	cases := []struct {
		name, method string
		args, reply  any
	}{
		{name: "rate grant", method: "Bench.Grant", reply: &RateGrantReply{}, args: &RateGrantArgs{Shard: 1, Host: "edge-0001", Incarnation: 1,
			Epoch: 7, Sequence: 1 << 20, Holding: RateHolding{Team: "captains", Spent: 1 << 20, Held: 10, Open: 1 << 20}, Burst: 1000, Need: 1, Ahead: 50}},
		{name: "slot acquire", method: "Bench.Acquire", reply: &SlotAcquireReply{}, args: &SlotAcquireArgs{Region: "region-01",
			Holder: SlotHolder{Host: "edge-0001", Incarnation: 1}, Number: 1 << 20, Service: "bells", Team: "captains", Class: "interactive",
			QueueBound: 100, LongestWait: time.Second, Remaining: 2 * time.Second, Weight: 4, Zone: "zone-001", Fingerprint: [32]byte{1, 200}}},
		{name: "slot release", method: "Bench.Release", reply: &SlotReply{}, args: &SlotReleaseArgs{Region: "region-01",
			Holder: SlotHolder{Host: "edge-0001", Incarnation: 1}, Number: 1 << 20, Ending: "ok", Latency: 100 * time.Millisecond}},
		{name: "report of 0 open grants", method: "Bench.Open", reply: &SlotReply{}, args: openReport(0)},
		{name: "report of 10 open grants", method: "Bench.Open", reply: &SlotReply{}, args: openReport(10)},
		{name: "report of 100 open grants", method: "Bench.Open", reply: &SlotReply{}, args: openReport(100)},
	}
	for _, bc := range cases {
		b.Run(bc.name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			t, server := tally.New(listener), rpc.NewServer()
			if err := server.RegisterName("Bench", fixedOwner{}); err != nil {
				b.Fatal(err)
			}
			served := wire.Serve(ctx, t, server)
			defer func() {
				cancel()
				<-served
			}()
			system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
			defer system.Shutdown()
			client, err := wire.StartClient(ctx, system, "bench", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			call := func() {
				ctx, cancel := context.WithTimeout(ctx, time.Minute)
				defer cancel()
				if err := client.Call(ctx, bc.method, bc.args, bc.reply); err != nil {
					b.Fatal(err)
				}
			}
			call()
			first, calls := t.BytesReceived()+t.BytesSent(), 0
			for b.Loop() {
				call()
				calls++
			}
			b.ReportMetric(float64(t.BytesReceived()+t.BytesSent()-first)/float64(calls), "call-bytes")
		})
	}
}
