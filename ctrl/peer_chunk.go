package ctrl

import (
	"github.com/juju/errors"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

const errPartRefused = errors.ConstError("peer lacks the parts before")

// chunk asks the replica task to take a part of a snapshot.
type chunk struct {
	record *ChunkRecord
	reply  tasks.Reply[bool]
}

// assembly is a snapshot of which some parts have arrived.
type assembly struct {
	message  MessageRecord
	revision uint64
	data     []byte
}

// receiveChunk joins the parts of a snapshot. A first part replaces what was
// there; any other must follow the one before.
func (t *replicaTask) receiveChunk(m chunk) {
	r, a := m.record, &t.assembly
	if r.Offset == 0 {
		*a = assembly{message: r.Message, revision: r.Revision}
	}
	same := a.message.From == r.Message.From && a.message.Term == r.Message.Term && a.revision == r.Revision
	if !same || r.Offset != len(a.data) {
		m.reply.Send(false)
		return
	}
	a.data = append(a.data, r.Data...)
	m.reply.Send(true)
	if len(a.data) < r.Size {
		return
	}
	snapshot := agree.NewSnapshot(ident.Revision(r.Revision), agree.Term(r.Term), toMembers(r.Members), a.data)
	t.assembly = assembly{}
	t.peers.learn(ident.Host(r.Message.From), r.Address)
	t.step(agree.NewReceive(r.Message.message().WithSnapshot(snapshot)))
}
