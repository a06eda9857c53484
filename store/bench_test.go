package store

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

func openBench(b *testing.B) (*Log, string) {
	b.Helper()
	directory := b.TempDir()
	l, _, err := Open(directory)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := l.Close(); err != nil {
			b.Error(err)
		}
	})
	return l, directory
}

// Reports the time of a sync and the size in the log of an entry with 200 bytes,
// depending on the number of entries per sync.
func BenchmarkAppendSync(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("entries=%d", batch), func(b *testing.B) {
			l, directory := openBench(b)
			revision := ident.Revision(0)
			for b.Loop() {
				var entries []agree.Entry
				for range batch {
					revision++
					entries = append(entries, agree.NewEntry(revision, 1, agree.EntryData, make([]byte, 200)))
				}
				if err := l.Append(agree.NewHardState(1, "a", agree.NewMembers()), entries); err != nil {
					b.Fatal(err)
				}
				if err := l.Sync(); err != nil {
					b.Fatal(err)
				}
			}
			info, err := os.Stat(filepath.Join(directory, logFileName))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(info.Size())/float64(revision), "log-B/entry")
		})
	}
}

// Reports the time to save a snapshot durably, depending on its size.
func BenchmarkSaveSnapshot(b *testing.B) {
	for _, size := range []int{1 << 20, 8 << 20, 64 << 20} {
		b.Run(fmt.Sprintf("MiB=%d", size>>20), func(b *testing.B) {
			l, _ := openBench(b)
			data := make([]byte, size)
			b.SetBytes(int64(size))
			for b.Loop() {
				if err := l.SaveSnapshot(agree.NewSnapshot(1, 1, agree.NewMembers(), data)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
