package store

import (
	"errors"
	"fmt"
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

// content is what a directory should hold.
type content struct {
	term     agree.Term
	snapshot agree.Snapshot
	entries  []agree.Entry
}

func (c content) last() ident.Revision {
	if len(c.entries) == 0 {
		return c.snapshot.Revision()
	}
	return c.entries[len(c.entries)-1].Revision()
}

// String describes what the directory means: entries that the snapshot
// includes do not count.
func (c content) String() string {
	s := fmt.Sprintf("term %d, snapshot %d %q:", c.term, c.snapshot.Revision(), c.snapshot.Data())
	for _, e := range c.entries {
		if e.Revision() > c.snapshot.Revision() {
			s += fmt.Sprintf(" %d/%d/%q/%d", e.Revision(), e.Term(), e.Data(), e.Members().Len())
		}
	}
	return s
}

func contentOf(r agree.PersistentState) content {
	s, _ := r.Snapshot().Get()
	return content{term: r.HardState().Term(), snapshot: s, entries: r.Entries()}
}

// session drives a log and remembers which contents a crash may leave.
type session struct {
	files  *memoryFiles
	log    *Log
	now    content
	allows []string
}

func newSession() *session {
	s := &session{files: newMemoryFiles()}
	if _, err := s.open(); err != nil {
		panic(err)
	}
	s.settle(nil)
	return s
}

func (s *session) open() (agree.PersistentState, error) {
	log, restored, err := Open("d", WithFileSystem(s.files), WithHost("a"))
	s.log = log
	return restored, err
}

// intend notes a content that a crash during the next operation may leave.
func (s *session) intend() { s.allows = append(s.allows, s.now.String()) }

// settle forgets the earlier contents when an operation has made the present
// one durable.
func (s *session) settle(err error) {
	if err == nil {
		s.allows = []string{s.now.String()}
	}
}

// act carries out one operation, chosen by a number.
func (s *session) act(a uint16) {
	switch amount := int(a >> 3); a & 7 {
	case 0, 1, 2:
		s.append(amount)
	case 3, 4:
		s.settle(s.log.Sync())
	case 5:
		s.compact(amount)
	case 6:
		s.install()
	case 7:
		s.files.budget = 1 + amount%8
	}
}

// append adds up to three entries. Some replace earlier ones.
func (s *session) append(amount int) {
	s.now.term++
	next := s.now.last() + 1
	if back := ident.Revision(amount % 4); amount%5 == 0 && next > s.now.snapshot.Revision()+1+back {
		next -= back
	}
	var entries []agree.Entry
	for i := range amount % 4 {
		entries = append(entries, agree.NewEntry(next+ident.Revision(i), s.now.term, agree.EntryData, fmt.Append(nil, a(i))))
	}
	if len(entries) > 0 {
		kept := slices.DeleteFunc(slices.Clone(s.now.entries), func(e agree.Entry) bool { return e.Revision() >= next })
		s.now.entries = append(kept, entries...)
	}
	s.intend()
	_ = s.log.Append(s.hard(), entries)
}

func a(i int) string { return strings.Repeat("x", i) }

func (s *session) hard() agree.HardState { return agree.NewHardState(s.now.term, "a", voters) }

// compact takes a snapshot at the last entry and keeps one entry before it.
func (s *session) compact(amount int) {
	if len(s.now.entries) == 0 || s.log.Sync() != nil {
		return
	}
	last := s.now.entries[len(s.now.entries)-1]
	s.now.snapshot = agree.NewSnapshot(last.Revision(), last.Term(), voters, fmt.Append(nil, amount))
	s.now.entries = []agree.Entry{last}
	s.intend()
	if err := s.log.SaveSnapshot(s.now.snapshot); err == nil {
		s.settle(s.log.Compact(s.hard(), s.now.entries))
	}
}

// install replaces everything by a snapshot from elsewhere.
func (s *session) install() {
	s.settle(s.log.Sync())
	s.now.snapshot = agree.NewSnapshot(s.now.last()+5, s.now.term+1, voters, nil)
	s.now.entries = nil
	s.intend()
	if err := s.log.SaveSnapshot(s.now.snapshot); err == nil {
		s.settle(s.log.Compact(s.hard(), nil))
	}
}

func check(parameters *gopter.TestParameters, t *testing.T, property any, gens ...gopter.Gen) {
	t.Helper()
	t.Logf("seed %d", parameters.Seed())
	properties := gopter.NewProperties(parameters)
	properties.Property("log", prop.ForAll(property, gens...))
	properties.TestingRun(t)
}

// Guards against the loss of what was synced, and against a mixture of
// states, after crashes at any operation.
func TestCrash(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 2000
	check(parameters, t, func(first, second []uint16, torn uint8) string {
		s := newSession()
		for _, actions := range [][]uint16{first, second, nil} {
			for _, a := range actions {
				s.act(a)
			}
			s.files.crash(int(torn))
			restored, err := s.open()
			if err != nil {
				return err.Error()
			}
			got := contentOf(restored)
			if !slices.Contains(s.allows, got.String()) {
				return fmt.Sprintf("got %s, want one of %q", got, s.allows)
			}
			if got.last() < got.snapshot.Revision() {
				return fmt.Sprintf("entries up to %d lack snapshot %d", got.last(), got.snapshot.Revision())
			}
			s.now = got
			s.settle(nil)
		}
		return ""
	}, gen.SliceOf(gen.UInt16()), gen.SliceOf(gen.UInt16()), gen.UInt8())
}

// Guards against damage to synced records that goes unnoticed.
func TestFlippedByte(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(12)
	parameters.MinSuccessfulTests = 2000
	check(parameters, t, func(actions []uint16, file uint8, at uint16, flip uint8) string {
		s := newSession()
		for _, a := range actions {
			if a&7 != 7 {
				s.act(a)
			}
		}
		s.settle(s.log.Sync())
		name := s.log.path([]string{logName, snapshotName, identityName}[file%3])
		n := s.files.names[name]
		if n == nil {
			return ""
		}
		offset := int(at) % len(n.content)
		n.content[offset] ^= flip | 1
		restored, err := s.open()
		var corrupt *CorruptError
		if errors.As(err, &corrupt) && corrupt.File() == name && corrupt.Offset() <= int64(offset) {
			return ""
		}
		if got := contentOf(restored).String(); err != nil || got != s.allows[0] {
			return fmt.Sprintf("got %s, %v; want %s or corruption", got, err, s.allows[0])
		}
		return ""
	}, gen.SliceOf(gen.UInt16()), gen.UInt8(), gen.UInt16(), gen.UInt8())
}

// Guards against a log that goes on after a failure of the disk, and against
// errors that do not tell the file.
func TestFailure(t *testing.T) {
	entry := []agree.Entry{agree.NewEntry(1, 1, agree.EntryData, []byte("x"))}
	cases := []struct {
		name  string
		fault func(m *memoryFiles)
		cause error
	}{
		{name: "failed sync", fault: func(m *memoryFiles) { m.failSyncs = true }, cause: errMedia},
		{name: "failed write", fault: func(m *memoryFiles) { m.budget = 1 }, cause: errPower},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSession()
			tc.fault(s.files)
			first := errors.Join(s.log.Append(s.hard(), entry), s.log.Sync())
			s.files.failSyncs, s.files.budget = false, -1
			var failed *IOError
			if !errors.As(first, &failed) || !errors.Is(first, tc.cause) || failed.File() != "d/log" || failed.Offset() == 0 {
				t.Errorf("Sync error = %v, want file, offset and %v", first, tc.cause)
			}
			for _, again := range []error{s.log.Append(s.hard(), nil), s.log.Sync(), s.log.Compact(s.hard(), nil)} {
				if !errors.Is(again, tc.cause) {
					t.Errorf("later error = %v, want the first one", again)
				}
			}
		})
	}
}

// Guards against a directory that is opened although it is not the host's
// own, or lacks a file.
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
		{name: "log missing", host: "a", missing: logName, corrupt: true},
		{name: "identity missing", host: "a", missing: identityName, corrupt: true},
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
				if err := (machineFiles{}).Rename(log.path(tc.missing), log.path("gone")); err != nil {
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

// FuzzOpen guards against a log file that makes Open panic, or that is read
// differently the second time.
func FuzzOpen(f *testing.F) {
	s := newSession()
	for _, action := range []uint16{1 << 3, 3, 3 << 3, 3, 5, 2 << 3, 3} {
		s.act(action)
	}
	f.Add(s.files.names["d/log"].content)
	f.Fuzz(func(t *testing.T, content []byte) {
		s := newSession()
		s.files.names["d/log"] = &inode{content: slices.Clone(content)}
		first, err := s.open()
		if err != nil {
			return
		}
		second, err := s.open()
		if got, want := contentOf(second).String(), contentOf(first).String(); err != nil || got != want {
			t.Errorf("second Open = %s, %v; want %s", got, err, want)
		}
	})
}
