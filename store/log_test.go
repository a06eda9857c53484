package store

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

var voters = agree.NewMembers(agree.NewMember("a", "127.0.0.1:1", 7, true))

func checkProperty(parameters *gopter.TestParameters, t *testing.T, property any, gens ...gopter.Gen) {
	t.Helper()
	t.Logf("seed %d", parameters.Seed())
	properties := gopter.NewProperties(parameters)
	properties.Property("log", prop.ForAll(property, gens...))
	properties.TestingRun(t)
}

// Guards against undetected damage to synced records.
func TestFlippedByte(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(12)
	parameters.MinSuccessfulTests = 2000
	checkProperty(parameters, t, func(actions []uint16, file uint8, at uint16, flip uint8) string {
		d := newLogDriver()
		for _, action := range actions {
			if action&7 != 7 {
				d.perform(action)
			}
		}
		d.confirmDurable(d.log.Sync())
		name := d.log.path([]string{logFileName, snapshotFileName, identityFileName}[file%3])
		n := d.files.names[name]
		if n == nil {
			return ""
		}
		offset := int(at) % len(n.content)
		n.content[offset] ^= flip | 1
		restored, err := d.open()
		var corrupt *CorruptError
		if errors.As(err, &corrupt) && corrupt.File() == name && corrupt.Offset() <= int64(offset) {
			return ""
		}
		if got := contentOf(restored).String(); err != nil || got != d.allowed[0] {
			return fmt.Sprintf("got %s, %v; want %s or corruption", got, err, d.allowed[0])
		}
		return ""
	}, gen.SliceOf(gen.UInt16()), gen.UInt8(), gen.UInt16(), gen.UInt8())
}

// Guards against a log that accepts operations after a disk failure, and against
// errors without the file and the offset.
func TestFailure(t *testing.T) {
	entry := []agree.Entry{agree.NewEntry(1, 1, agree.EntryData, []byte("x"))}
	cases := []struct {
		name  string
		fault func(m *memoryFileSystem)
		cause error
	}{
		{name: "failed sync", fault: func(m *memoryFileSystem) { m.failSyncs = true }, cause: errMedia},
		{name: "failed write", fault: func(m *memoryFileSystem) { m.operationsLeft = 1 }, cause: errPowerLoss},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newLogDriver()
			tc.fault(d.files)
			first := errors.Join(d.log.Append(d.hard(), entry), d.log.Sync())
			d.files.failSyncs, d.files.operationsLeft = false, -1
			var failed *IOError
			if !errors.As(first, &failed) || !errors.Is(first, tc.cause) || failed.File() != "d/log" || failed.Offset() == 0 {
				t.Errorf("Sync error = %v, want file, offset and %v", first, tc.cause)
			}
			for _, again := range []error{d.log.Append(d.hard(), nil), d.log.Sync(), d.log.Compact(d.hard(), nil)} {
				if !errors.Is(again, tc.cause) {
					t.Errorf("later error = %v, want the first one", again)
				}
			}
		})
	}
}

// Guards against opening a directory that belongs to another host, is open
// already, or lacks a file.
func TestOpen(t *testing.T) {
	cases := []struct {
		name    string
		missing string
		host    ident.Host
		isOpen  bool
		corrupt bool
		wantErr error
	}{
		{name: "same host", host: "a"},
		{name: "other host", host: "b", wantErr: ErrOtherHost},
		{name: "second process", host: "a", isOpen: true, wantErr: ErrInUse},
		{name: "log missing", host: "a", missing: logFileName, corrupt: true},
		{name: "identity missing", host: "a", missing: identityFileName, corrupt: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			directory := t.TempDir()
			log, first, err := Open(directory, WithHost("a"))
			if err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(log.Append(agree.NewHardState(3, "a", voters), nil), log.Sync()); err != nil {
				t.Fatal(err)
			}
			if !tc.isOpen {
				if err := log.Close(); err != nil {
					t.Fatal(err)
				}
			}
			if tc.missing != "" {
				if err := (osFileSystem{}).Rename(log.path(tc.missing), log.path("gone")); err != nil {
					t.Fatal(err)
				}
			}
			again, restored, err := Open(directory, WithHost(tc.host))
			var corrupt *CorruptError
			if errors.As(err, &corrupt) != tc.corrupt || !tc.corrupt && !errors.Is(err, tc.wantErr) {
				t.Fatalf("Open error = %v, want %v", err, tc.wantErr)
			}
			if err == nil && (restored.DiskID() != first.DiskID() || restored.HardState().Term() != 3) {
				t.Errorf("Open = %+v, want disk %d and term 3", restored, first.DiskID())
			}
			for _, l := range []*Log{log, again} {
				if l != nil {
					_ = l.Close()
				}
			}
		})
	}
}

// FuzzOpen guards against a log file that makes Open panic, or whose content
// differs when it is opened again.
func FuzzOpen(f *testing.F) {
	d := newLogDriver()
	for _, action := range []uint16{1 << 3, 3, 3 << 3, 3, 5, 2 << 3, 3} {
		d.perform(action)
	}
	f.Add(d.files.names["d/log"].content)
	f.Fuzz(func(t *testing.T, content []byte) {
		d := newLogDriver()
		d.files.names["d/log"] = &inode{content: slices.Clone(content)}
		first, err := d.open()
		if err != nil {
			return
		}
		second, err := d.open()
		if got, want := contentOf(second).String(), contentOf(first).String(); err != nil || got != want {
			t.Errorf("second Open = %s, %v; want %s", got, err, want)
		}
	})
}

// TestLargeEntries guards against a second copy of the whole log or of a snapshot
// in memory while it is written, against buffers that stay as large as the
// largest record, and against entries that are lost between the records of a
// compacted log.
func TestLargeEntries(t *testing.T) {
	const count, size = 12, 1 << 20
	var entries []agree.Entry
	for i := range count {
		entries = append(entries, agree.NewEntry(ident.Revision(i+1), 1, agree.EntryData, bytes.Repeat([]byte{byte(i)}, size)))
	}
	hard := agree.NewHardState(1, "a", voters)
	snapshot := agree.NewSnapshot(1, 1, voters, bytes.Repeat([]byte{9}, count*size))
	cases := []struct {
		name  string
		write func(l *Log) error
		// copies is how many bytes may be allocated, as a share of the content.
		copies float64
	}{
		{"compacted log", func(l *Log) error { return l.Compact(hard, entries) }, 0.1},
		{"snapshot", func(l *Log) error { return l.SaveSnapshot(snapshot) }, 0.1},
	}
	directory := t.TempDir()
	l, _, err := Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		if err := c.write(l); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		runtime.ReadMemStats(&after)
		if used := after.TotalAlloc - before.TotalAlloc; float64(used) > c.copies*count*size {
			t.Errorf("%s: %d bytes allocated for %d", c.name, used, count*size)
		}
	}
	next := agree.NewEntry(count+1, 1, agree.EntryData, bytes.Repeat([]byte{count}, 3*size))
	if err := errors.Join(l.Append(hard, []agree.Entry{next}), l.Sync(), l.Close()); err != nil {
		t.Fatal(err)
	}
	if cap(l.buffer) > 2*maxBufferBytes {
		t.Errorf("the buffer keeps %d bytes", cap(l.buffer))
	}
	_, restored, err := Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	got := restored.Entries()
	if s, _ := restored.Snapshot().Get(); len(got) != count+1 || !bytes.Equal(s.Data(), snapshot.Data()) {
		t.Fatalf("%d entries and a snapshot of %d bytes", len(got), len(s.Data()))
	}
	for i, e := range append(entries, next) {
		if got[i].Revision() != e.Revision() || !bytes.Equal(got[i].Data(), e.Data()) {
			t.Errorf("entry %d differs", e.Revision())
		}
	}
}
