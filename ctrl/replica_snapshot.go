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
	if t.fault != nil || !t.snapshots.isDue(t.applied) {
		return
	}
	t.snapshots.reset(t.applied)
	data, err := t.machine.Snapshot()
	if err != nil {
		t.fail(fmt.Errorf("take snapshot %d: %w", t.applied, err))
		return
	}
	t.step(agree.NewCompact(t.applied, data))
}
