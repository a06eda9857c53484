package ctrl

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// latestMachine is a state machine that holds the last command.
type latestMachine struct{ value []byte }

func (m *latestMachine) Apply(_ ident.Revision, data []byte) any {
	m.value = data
	return nil
}

func (m *latestMachine) Snapshot() func() ([]byte, error) {
	value := m.value
	return func() ([]byte, error) { return bytes.Clone(value), nil }
}

func (m *latestMachine) Restore(_ ident.Revision, data []byte) error {
	m.value = data
	return nil
}

// BenchmarkLargeChanges reports the memory that three control hosts in one process
// keep after a number of changes of 0.6 MB, and the part of the log among it.
func BenchmarkLargeChanges(b *testing.B) {
	const size = 600 << 10
	for _, changes := range []int{100, 1000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			for b.Loop() {
				cluster := newTestCluster(b)
				options := []ReplicaOption{WithInitialPeers(cluster.allocate("a", "b", "c")...)}
				for _, h := range []ident.Host{"a", "b", "c"} {
					cluster.startWith(h, &latestMachine{}, options...)
				}
				p := cluster.waitForLeader()
				for i := range changes {
					if _, _, err := p.replica.Propose(context.Background(), bytes.Repeat([]byte{byte(i)}, size)); err != nil {
						b.Fatal(err)
					}
				}
				status, err := p.replica.Status(context.Background())
				if err != nil {
					b.Fatal(err)
				}
				var memory runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&memory)
				b.ReportMetric(float64(status.LogBytes())/1e6, "log-MB/host")
				b.ReportMetric(float64(memory.HeapAlloc)/3e6, "heap-MB/host")
				for _, p := range cluster.running {
					p.stop()
				}
			}
		})
	}
}

// TestChunks guards against a snapshot that is put together from torn, foreign or
// overlong pieces.
func TestChunks(t *testing.T) {
	chunk := func(from string, revision uint64, offset, size int, data string) ChunkRecord {
		return ChunkRecord{
			Message:  MessageRecord{Kind: uint8(agree.MessageInstallSnapshot), From: from, To: "own", Term: 1},
			Revision: revision, Term: 1, Offset: offset, Size: size, Data: []byte(data),
		}
	}
	cases := []struct {
		name     string
		chunks   []ChunkRecord
		accepted []bool
		// held is what is left of an incomplete snapshot.
		held string
	}{
		{"in order", []ChunkRecord{chunk("a", 5, 0, 6, "abc"), chunk("a", 5, 3, 6, "d")}, []bool{true, true}, "abcd"},
		{"a piece is missing", []ChunkRecord{chunk("a", 5, 0, 6, "abc"), chunk("a", 5, 4, 6, "ef")}, []bool{true, false}, "abc"},
		{"a piece twice", []ChunkRecord{chunk("a", 5, 0, 9, "abc"), chunk("a", 5, 3, 9, "d"), chunk("a", 5, 3, 9, "d")}, []bool{true, true, false}, "abcd"},
		{"a piece of another host", []ChunkRecord{chunk("a", 5, 0, 6, "abc"), chunk("b", 5, 3, 6, "def")}, []bool{true, false}, "abc"},
		{"a piece of another revision", []ChunkRecord{chunk("a", 5, 0, 6, "abc"), chunk("a", 6, 3, 6, "def")}, []bool{true, false}, "abc"},
		{"longer than stated", []ChunkRecord{chunk("a", 5, 0, 6, "abc"), chunk("a", 5, 3, 6, "defg")}, []bool{true, false}, "abc"},
		{"stated size too large", []ChunkRecord{chunk("a", 5, 0, maxSnapshotBytes+1, "abc")}, []bool{false}, ""},
		{"begun anew", []ChunkRecord{chunk("a", 5, 0, 6, "abc"), chunk("a", 6, 0, 6, "xy")}, []bool{true, true}, "xy"},
	}
	for _, c := range cases {
		task := &replicaTask{}
		var accepted []bool
		for _, record := range c.chunks {
			reply := tasks.NewReply[bool]()
			task.receiveChunk(chunkReceived{record: &record, reply: reply})
			accepted = append(accepted, <-reply.Values())
		}
		if !slices.Equal(accepted, c.accepted) || string(task.partialSnapshot.data) != c.held {
			t.Errorf("%s: accepted %v, holds %q; want %v, %q", c.name, accepted, task.partialSnapshot.data, c.accepted, c.held)
		}
	}
}
