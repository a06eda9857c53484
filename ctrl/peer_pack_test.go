package ctrl

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"testing"

	"rhubarbrack/agree"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// TestPackedRecords guards against data that changes when it is packed, and
// against damaged data that is taken for a change.
func TestPackedRecords(t *testing.T) {
	text := bytes.Repeat([]byte("route "), minPackedBytes)
	cases := []struct {
		name   string
		data   []byte
		packed bool
	}{
		{"empty", nil, false},
		{"short", text[:minPackedBytes-1], false},
		{"long", text, true},
	}
	for _, c := range cases {
		batch := BatchRecord{Messages: []MessageRecord{{Entries: []LogEntryRecord{{Revision: 1}, {Revision: 2, Data: c.data}}}}}
		chunk := ChunkRecord{Data: c.data}
		inBatch, err := batch.pack()
		inChunk, chunkErr := chunk.pack()
		if err != nil || chunkErr != nil || inBatch != c.packed || inChunk != c.packed {
			t.Fatalf("%s: packed %v, %v; errors %v, %v", c.name, inBatch, inChunk, err, chunkErr)
		}
		entry := &batch.Messages[0].Entries[1]
		damaged := *entry
		if err := batch.unpack(); err != nil || !bytes.Equal(entry.Data, c.data) {
			t.Errorf("%s: entry of %d bytes, %v", c.name, len(entry.Data), err)
		}
		if err := chunk.unpack(); err != nil || !bytes.Equal(chunk.Data, c.data) {
			t.Errorf("%s: chunk of %d bytes, %v", c.name, len(chunk.Data), err)
		}
		if c.packed {
			damaged.Digest[0]++
			batch.Messages[0].Entries[1] = damaged
			if err := batch.unpack(); err == nil {
				t.Errorf("%s: damaged data was accepted", c.name)
			}
		}
	}
}

// earlierPeer is the RPC service of an earlier release, which knows no packed data.
type earlierPeer struct{ received chan *BatchRecord }

// Deliver receives a batch.
func (p earlierPeer) Deliver(args *BatchRecord, _ *AckRecord) error {
	p.received <- args
	return nil
}

// TestEarlierPeer guards against packed data for a host of an earlier release,
// which would take it for an empty change, also if a later release has been at the
// address before.
func TestEarlierPeer(t *testing.T) {
	data := bytes.Repeat([]byte("route "), minPackedBytes)
	message := agree.NewMessage(agree.MessageAppend, 1, "a", "b", 1, 2).
		WithEntries([]agree.Entry{agree.NewEntry(1, 1, agree.EntryData, data)})
	cases := []struct {
		name  string
		taken bool
	}{{"from the start", false}, {"after a later release", true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			peer := earlierPeer{received: make(chan *BatchRecord, 16)}
			server := rpc.NewServer()
			if err := server.RegisterName(serviceName, peer); err != nil {
				t.Fatal(err)
			}
			served := wire.Serve(ctx, listener, server)
			s, err := startSender(ctx, system, "sender", "b", listener.Addr().String(),
				newReplicaOptions([]ReplicaOption{WithLogger(slog.New(slog.DiscardHandler))}))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				cancel()
				s.wait()
				<-served
				system.Shutdown()
			})
			s.takesPacked.Store(c.taken)
			s.push(outgoingMessage{message: message})
			if c.taken {
				// The packed batch is refused, and the protocol sends it again.
				for s.takesPacked.Load() {
					select {
					case <-peer.received:
						t.Fatal("a packed batch was delivered")
					default:
					}
				}
				s.push(outgoingMessage{message: message})
			}
			got := (<-peer.received).Messages[0].Entries[0]
			if !bytes.Equal(got.Data, data) || len(got.Packed) != 0 {
				t.Errorf("%d bytes of data, %d packed", len(got.Data), len(got.Packed))
			}
		})
	}
}
