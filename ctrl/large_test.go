package ctrl

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"testing"

	"rhubarbrack/ident"
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
