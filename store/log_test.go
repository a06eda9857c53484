package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

var voters = agree.NewMembers(agree.NewMember("a", "127.0.0.1:1", 7, true))

// directoryContent is the expected content of a directory.
type directoryContent struct {
	term     agree.Term
	snapshot agree.Snapshot
	entries  []agree.Entry
}

func (c directoryContent) last() ident.Revision {
	if len(c.entries) == 0 {
		return c.snapshot.Revision()
	}
	return c.entries[len(c.entries)-1].Revision()
}

// String describes the content. It leaves out entries that the snapshot includes.
func (c directoryContent) String() string {
	description := fmt.Sprintf("term %d, snapshot %d %q:", c.term, c.snapshot.Revision(), c.snapshot.Data())
	for _, e := range c.entries {
		if e.Revision() > c.snapshot.Revision() {
			description += fmt.Sprintf(" %d/%d/%q/%d", e.Revision(), e.Term(), e.Data(), e.Members().Len())
		}
	}
	return description
}

func contentOf(r agree.PersistentState) directoryContent {
	s, _ := r.Snapshot().Get()
	return directoryContent{term: r.HardState().Term(), snapshot: s, entries: r.Entries()}
}

// logDriver performs operations on a log and records which contents are allowed
// after a crash.
type logDriver struct {
	files   *memoryFileSystem
	log     *Log
	current directoryContent
	allowed []string
}

func newLogDriver() *logDriver {
	d := &logDriver{files: newMemoryFileSystem()}
	if _, err := d.open(); err != nil {
		panic(err)
	}
	d.confirmDurable(nil)
	return d
}

func (d *logDriver) open() (agree.PersistentState, error) {
	log, restored, err := Open("d", WithFileSystem(d.files), WithHost("a"))
	d.log = log
	return restored, err
}

// restart opens the log after a loss of power or the end of the process. The
// machine may fail again while the log is opened.
func (d *logDriver) restart(random *rand.Rand) (directoryContent, error) {
	for attempt := range 3 {
		if random.IntN(2) == 0 {
			d.files.losePower(random)
		} else {
			d.files.kill()
		}
		if attempt < 2 && random.IntN(2) == 0 {
			d.files.operationsLeft = 1 + random.IntN(12)
		}
		restored, err := d.open()
		if err == nil {
			d.files.operationsLeft = -1
			return contentOf(restored), nil
		}
		if !errors.Is(err, errPowerLoss) {
			return directoryContent{}, err
		}
	}
	return directoryContent{}, errors.New("the log was not opened")
}

// allowCurrent adds the current content to those allowed after a crash during the
// next operation.
func (d *logDriver) allowCurrent() { d.allowed = append(d.allowed, d.current.String()) }

// confirmDurable allows only the current content if an operation has made it
// durable.
func (d *logDriver) confirmDurable(err error) {
	if err == nil {
		d.allowed = []string{d.current.String()}
	}
}

// perform carries out the operation that a number encodes.
func (d *logDriver) perform(action uint16) {
	switch amount := int(action >> 3); action & 7 {
	case 0, 1, 2:
		d.append(amount)
	case 3, 4:
		d.confirmDurable(d.log.Sync())
	case 5:
		d.compact(amount)
	case 6:
		d.install()
	case 7:
		d.files.operationsLeft = 1 + amount%8
	}
}

// append appends up to three entries, some of which replace earlier ones.
func (d *logDriver) append(amount int) {
	d.current.term++
	next := d.current.last() + 1
	if back := ident.Revision(amount % 4); amount%5 == 0 && next > d.current.snapshot.Revision()+1+back {
		next -= back
	}
	var entries []agree.Entry
	for i := range amount % 4 {
		entries = append(entries, agree.NewEntry(next+ident.Revision(i), d.current.term, agree.EntryData, fmt.Append(nil, payload(i))))
	}
	if len(entries) > 0 {
		kept := slices.DeleteFunc(slices.Clone(d.current.entries), func(e agree.Entry) bool { return e.Revision() >= next })
		d.current.entries = append(kept, entries...)
	}
	d.allowCurrent()
	_ = d.log.Append(d.hard(), entries)
}

func payload(i int) string { return strings.Repeat("x", i) }

func (d *logDriver) hard() agree.HardState { return agree.NewHardState(d.current.term, "a", voters) }

// compact saves a snapshot at the last entry and compacts the log to that entry.
func (d *logDriver) compact(amount int) {
	if len(d.current.entries) == 0 || d.log.Sync() != nil {
		return
	}
	last := d.current.entries[len(d.current.entries)-1]
	d.current.snapshot = agree.NewSnapshot(last.Revision(), last.Term(), voters, fmt.Append(nil, amount))
	d.current.entries = []agree.Entry{last}
	d.allowCurrent()
	if err := d.log.SaveSnapshot(d.current.snapshot); err == nil {
		d.confirmDurable(d.log.Compact(d.hard(), d.current.entries))
	}
}

// install replaces the content with a snapshot that is ahead of the log, as a
// node does with a snapshot from the leader.
func (d *logDriver) install() {
	d.confirmDurable(d.log.Sync())
	d.current.snapshot = agree.NewSnapshot(d.current.last()+5, d.current.term+1, voters, nil)
	d.current.entries = nil
	d.allowCurrent()
	if err := d.log.SaveSnapshot(d.current.snapshot); err == nil {
		d.confirmDurable(d.log.Compact(d.hard(), nil))
	}
}

func checkProperty(parameters *gopter.TestParameters, t *testing.T, property any, gens ...gopter.Gen) {
	t.Helper()
	t.Logf("seed %d", parameters.Seed())
	properties := gopter.NewProperties(parameters)
	properties.Property("log", prop.ForAll(property, gens...))
	properties.TestingRun(t)
}

// Guards against the loss of data that was synced, or that an earlier Open has
// returned, and against a mix of old and new content: after a loss of power or the
// end of the process at any operation, Open included, with each change that was
// not synced kept, lost or torn on its own.
func TestCrash(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 4000
	checkProperty(parameters, t, func(first, second []uint16, seed uint64) string {
		d, random := newLogDriver(), rand.New(rand.NewPCG(seed, 0))
		for _, actions := range [][]uint16{first, second, nil} {
			for _, action := range actions {
				d.perform(action)
			}
			got, err := d.restart(random)
			if err != nil {
				return err.Error()
			}
			if !slices.Contains(d.allowed, got.String()) {
				return fmt.Sprintf("got %s, want one of %q", got, d.allowed)
			}
			if got.last() < got.snapshot.Revision() {
				return fmt.Sprintf("entries up to %d lack snapshot %d", got.last(), got.snapshot.Revision())
			}
			d.current = got
			d.confirmDurable(nil)
		}
		return ""
	}, gen.SliceOf(gen.UInt16()), gen.SliceOf(gen.UInt16()), gen.UInt64())
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
