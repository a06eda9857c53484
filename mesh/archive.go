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
	// registry receives a changeEncoded message for each difference that is
	// small enough to be announced.
	registry *tasks.Ref
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
	// encodeChange requests the difference between two versions for the
	// registry.
	encodeChange struct{ version, base uint64 }
)

var _ tasks.Task = (*archiveTask)(nil)

// Handle implements tasks.Task.
func (t *archiveTask) Handle(message any) {
	switch m := message.(type) {
	case archiveConfig:
		t.add(m.version, m.source)
	case encodeChange:
		t.encodeChange(m.version, m.base)
	case getPiece:
		p, err := t.archive.Piece(m.request)
		if err != nil {
			t.log.Error("mesh: configuration cannot be encoded", "version", m.request.Version(), "error", err)
		}
		// After an error the piece is empty, which no entry host accepts.
		m.reply.Send(newPieceRecord(p))
	}
}

// add archives a configuration and encodes its difference to the one before,
// which most entry hosts have.
func (t *archiveTask) add(version uint64, source []byte) {
	base := t.archive.Latest()
	if version <= base {
		return
	}
	t.archive.Add(version, source)
	if base > 0 {
		t.encodeChange(version, base)
	}
}

// encodeChange sends the difference between two versions to the registry if it
// is small.
func (t *archiveTask) encodeChange(version, base uint64) {
	p, err := t.archive.Piece(patch.NewRequest(version, base, 0, maxAnnouncedBytes))
	if err != nil {
		t.log.Error("mesh: difference of a configuration cannot be encoded", "version", version, "base", base, "error", err)
		return
	}
	if p.Version() == version && p.Base() == base && p.Total() <= maxAnnouncedBytes {
		t.registry.Tell(changeEncoded{piece: p})
	}
}
