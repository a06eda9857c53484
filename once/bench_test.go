package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// BenchmarkTableHeap measures the heap per recorded claim by the number of
// claims and the size of the results. It also reports the memory per claim as
// returned by Table.Bytes.
func BenchmarkTableHeap(b *testing.B) {
	start := time.Unix(1e9, 0)
	for _, body := range []int{200, 2000} {
		for _, n := range []int{1000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("body=%d/claims=%d", body, n), func(b *testing.B) {
				var heap, accounted float64
				for b.Loop() {
					var before, after runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&before)
					t := New()
					for i := range n {
						key := NewKey(ident.Team(fmt.Sprint("team-", i%8)), ident.RequestID(fmt.Sprintf("request-%012d", i)))
						holder := NewHolder("edge-0001", 1, uint64(i))
						if _, err := t.Claim(start, key, ident.Fingerprint{}, holder); err != nil {
							b.Fatal(err)
						}
						if err := t.Resolve(key, holder, Ran(NewResult(201, nil, make([]byte, body)))); err != nil {
							b.Fatal(err)
						}
					}
					runtime.GC()
					runtime.ReadMemStats(&after)
					heap = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(n)
					accounted = float64(t.Bytes()) / float64(n)
					runtime.KeepAlive(t)
				}
				b.ReportMetric(heap, "heap-B/claim")
				b.ReportMetric(accounted, "own-B/claim")
			})
		}
	}
}
