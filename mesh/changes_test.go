package mesh

import (
	"bytes"
	"log/slog"
	"slices"
	"testing"

	"rhubarbrack/patch"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
)

// TestSmallChangeNeedsNoTransfer guards against a small change that waits until
// a connection for transfers is open, which takes seconds on a full link. The
// stand-in answers no request for a piece.
func TestSmallChangeNeedsNoTransfer(t *testing.T) {
	s := &testControlHost{archive: patch.NewArchive(), release: make(chan struct{}), greeted: make(chan HeartbeatRecord, 1000)}
	l := startTestClient(t, s)
	t.Cleanup(func() { close(s.release) })
	first := append(slices.Clone(config), "one"...)
	second := append(slices.Clone(config), "two"...)
	s.archive.Add(1, first)
	s.archive.Add(2, second)
	for base, want := range [][]byte{first, second} {
		s.announce(t, uint64(base+1), uint64(base))
		for answered := 0; ; answered++ {
			if answered == 20 {
				t.Fatalf("20 heartbeats were answered and version %d is not in force", base+1)
			}
			select {
			case got := <-l.configs:
				if !bytes.Equal(got, want) {
					t.Fatalf("version %d differs from what was put", base+1)
				}
			case <-s.greeted:
				continue
			}
			break
		}
	}
}

// TestTransferConnectionIsOpen guards against a large change that waits until a
// connection for its transfer is open, which takes seconds on a full link.
func TestTransferConnectionIsOpen(t *testing.T) {
	s := &testControlHost{archive: patch.NewArchive(), release: make(chan struct{}), greeted: make(chan HeartbeatRecord, 1000)}
	startTestClient(t, s)
	for range 20 {
		<-s.greeted
		if s.accepted.Load() == 2 {
			return
		}
	}
	t.Errorf("%d connections after 20 heartbeats, want one for heartbeats and one for transfers", s.accepted.Load())
}

// TestAnnouncedChange guards against a control host that announces a version
// without the difference that an entry host needs, and against one that repeats
// it to hosts that have it.
func TestAnnouncedChange(t *testing.T) {
	r, _ := newTestRegistry(t)
	archive := &archiveTask{log: slog.New(slog.DiscardHandler), archive: patch.NewArchive(), registry: nil}
	encoded := make(chan changeEncoded, 10)
	ref := spawn(t, receiver(func(m any) { encoded <- m.(changeEncoded) }))
	archive.registry = ref
	documents := [][]byte{config, append(slices.Clone(config), '!'), append(slices.Clone(config), '?')}
	for i, document := range documents {
		version := uint64(i + 1)
		archive.Handle(archiveConfig{version: version, source: document})
		r.Handle(published{state: scheme.NewDesiredState(version, document, nil)})
	}
	r.Handle(<-encoded)
	r.Handle(<-encoded)
	r.archive = ref
	cases := []struct {
		name    string
		version uint64
		change  bool
	}{
		{"host without a configuration", 0, false},
		{"host that is one version behind", 2, true},
		{"host that is two versions behind, before it is encoded", 1, false},
		{"host that is up to date", 3, false},
		{"host that is ahead", 4, false},
	}
	for _, c := range cases {
		record := testHeartbeat("a", true)
		record.Version = c.version
		change := r.heartbeat(record).Change
		if (change != nil) != c.change {
			t.Errorf("%s: change %v, want %v", c.name, change != nil, c.change)
		}
		if change == nil {
			continue
		}
		got, err := patch.Decode(documents[c.version-1], change.Data, change.Digest)
		if err != nil || !bytes.Equal(got, documents[2]) {
			t.Errorf("%s: the difference yields %d bytes, %v", c.name, len(got), err)
		}
	}
	archive.Handle(encodeChange{version: 3, base: 1})
	r.Handle(<-encoded)
	record := testHeartbeat("a", true)
	record.Version = 1
	if r.heartbeat(record).Change == nil {
		t.Error("no difference for a host that is two versions behind")
	}
}

// spawn starts a task for the duration of the test.
func spawn(t *testing.T, task tasks.Task) *tasks.Ref {
	t.Helper()
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	t.Cleanup(system.Shutdown)
	ref, err := tasks.Spawn(t.Context(), system, "test", task)
	if err != nil {
		t.Fatal(err)
	}
	return ref
}

// receiver is a task that passes on each message.
type receiver func(message any)

// Handle implements tasks.Task.
func (r receiver) Handle(message any) {
	if _, ok := message.(encodeChange); !ok {
		r(message)
	}
}
