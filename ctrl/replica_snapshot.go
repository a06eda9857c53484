package ctrl

import (
	"fmt"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// snapshotTrigger decides when the log has grown enough for a snapshot.
type snapshotTrigger struct {
	from    ident.Revision
	bytes   int
	options replicaOptions
}

func newSnapshotTrigger(from ident.Revision, o replicaOptions) snapshotTrigger {
	return snapshotTrigger{from: from, options: o}
}

func (s *snapshotTrigger) add(bytes int) { s.bytes += bytes }

func (s *snapshotTrigger) reset(from ident.Revision) { s.from, s.bytes = from, 0 }

func (s *snapshotTrigger) isDue(applied ident.Revision) bool {
	return int(applied-s.from) >= s.options.snapshotEntries || s.bytes >= s.options.snapshotBytes
}

// maybeSnapshot compacts the log when it has grown enough.
func (t *replicaTask) maybeSnapshot() {
	if t.fault != nil || t.encoding || !t.snapshots.isDue(t.applied) {
		return
	}
	t.snapshots.reset(t.applied)
	t.encoding = true
	encode, revision := t.machine.Snapshot(), t.applied
	go func() {
		data, err := encode()
		t.self.Tell(snapshotReady{revision: revision, data: data, err: err})
	}()
}

// snapshotReady carries the snapshot of a revision.
type snapshotReady struct {
	revision ident.Revision
	data     []byte
	err      error
}

// compact hands an encoded snapshot to the node, which ignores it when it has
// installed a newer one meanwhile.
func (t *replicaTask) compact(m snapshotReady) {
	t.encoding = false
	if m.err != nil {
		t.fail(fmt.Errorf("take snapshot %d: %w", m.revision, m.err))
		return
	}
	t.step(agree.NewCompact(m.revision, m.data))
}
