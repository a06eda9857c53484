package ctrl

import (
	"fmt"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// snapshotTrigger decides when the log has grown enough for a snapshot. It
// counts the bytes of the entries since the last one.
type snapshotTrigger struct {
	lastSnapshot ident.Revision
	bytes        int
	options      replicaOptions
}

func newSnapshotTrigger(from ident.Revision, o replicaOptions) snapshotTrigger {
	return snapshotTrigger{lastSnapshot: from, options: o}
}

func (s *snapshotTrigger) add(bytes int) { s.bytes += bytes }

func (s *snapshotTrigger) reset(from ident.Revision) { s.lastSnapshot, s.bytes = from, 0 }

func (s *snapshotTrigger) isDue(applied ident.Revision) bool {
	return int(applied-s.lastSnapshot) >= s.options.snapshotEntries || s.bytes >= s.options.snapshotBytes
}

// snapshotIfDue starts to encode a snapshot if the log has grown enough and no
// other snapshot is being encoded.
func (t *replicaTask) snapshotIfDue() {
	if t.failure != nil || t.encoding || !t.snapshotTrigger.isDue(t.applied) {
		return
	}
	t.snapshotTrigger.reset(t.applied)
	t.encoding = true
	encode, revision := t.machine.Snapshot(), t.applied
	go func() {
		data, err := encode()
		t.self.Tell(snapshotEncoded{revision: revision, data: data, err: err})
	}()
}

// snapshotEncoded carries the encoded snapshot of a revision.
type snapshotEncoded struct {
	revision ident.Revision
	data     []byte
	err      error
}

// compact passes an encoded snapshot to the node, which ignores it if it has
// installed a newer one in the meantime.
func (t *replicaTask) compact(m snapshotEncoded) {
	t.encoding = false
	if m.err != nil {
		t.fail(fmt.Errorf("take snapshot %d: %w", m.revision, m.err))
		return
	}
	t.step(agree.NewCompact(m.revision, m.data))
	t.options.logger.Info("ctrl: snapshot taken", "host", t.node.Host(), "revision", m.revision, "bytes", len(m.data),
		"log-entries", t.node.LogEntries(), "log-bytes", t.node.LogBytes())
}
