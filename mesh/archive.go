package mesh

import (
	"log/slog"

	"rhubarbrack/patch"
	"rhubarbrack/tasks"
)

// archiveTask owns the archive of configurations of a control host. It is
// apart from the registry, so that heartbeats never wait while a large
// configuration is encoded.
type archiveTask struct {
	log     *slog.Logger
	archive *patch.Archive
}

// The messages of the archive.
type (
	archiveConfig struct {
		version uint64
		source  []byte
	}
	getPiece struct {
		request patch.Request
		reply   tasks.Reply[PieceRecord]
	}
)

var _ tasks.Task = (*archiveTask)(nil)

// Handle implements tasks.Task.
func (t *archiveTask) Handle(message any) {
	switch m := message.(type) {
	case archiveConfig:
		t.archive.Add(m.version, m.source)
	case getPiece:
		p, err := t.archive.Piece(m.request)
		if err != nil {
			t.log.Error("mesh: configuration cannot be encoded", "version", m.request.Version(), "error", err)
		}
		// After an error the piece is empty, which no entry host accepts.
		m.reply.Send(newPieceRecord(p))
	}
}
