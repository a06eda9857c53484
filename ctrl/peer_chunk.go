package ctrl

import (
	"github.com/juju/errors"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

const errChunkRefused = errors.ConstError("peer lacks the preceding chunks")

// chunkReceived passes a chunk of a snapshot to the replica task.
type chunkReceived struct {
	record *ChunkRecord
	reply  tasks.Reply[bool]
}

// partialSnapshot is a snapshot of which some chunks have arrived.
type partialSnapshot struct {
	message  MessageRecord
	revision uint64
	data     []byte
}

// maxSnapshotBytes bounds a snapshot that another host sends.
const maxSnapshotBytes = 256 << 20

// receiveChunk assembles the chunks of a snapshot. A first chunk replaces an
// incomplete snapshot; any other must directly follow the previous chunk. All of
// them must fit into the stated size.
func (t *replicaTask) receiveChunk(m chunkReceived) {
	r, p := m.record, &t.partialSnapshot
	if r.Size < 0 || r.Size > maxSnapshotBytes {
		m.reply.Send(false)
		return
	}
	if r.Offset == 0 {
		*p = partialSnapshot{message: r.Message, revision: r.Revision, data: make([]byte, 0, r.Size)}
	}
	same := p.message.From == r.Message.From && p.message.Term == r.Message.Term && p.revision == r.Revision
	if !same || r.Offset != len(p.data) || len(p.data)+len(r.Data) > r.Size {
		m.reply.Send(false)
		return
	}
	p.data = append(p.data, r.Data...)
	m.reply.Send(true)
	if len(p.data) < r.Size {
		return
	}
	snapshot := agree.NewSnapshot(ident.Revision(r.Revision), agree.Term(r.Term), toMembers(r.Members), p.data)
	t.partialSnapshot = partialSnapshot{}
	t.peers.learnAddress(ident.Host(r.Message.From), r.Address)
	t.step(agree.NewReceive(r.Message.message().WithSnapshot(snapshot)))
}
