package patch

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxVersions and maxArchiveBytes limit the versions that an archive keeps.
	// A host that has an older one receives the whole document.
	maxVersions     = 8
	maxArchiveBytes = 16 << 20
	// minVersions are kept whatever their size, so that a change of a large
	// document is sent as a difference.
	minVersions = 2
	// maxPieceBytes limits a piece, whatever its request asks for.
	maxPieceBytes = 256 << 10
)

// Archive keeps the latest versions of a document and their encodings.
type Archive struct {
	// versions are in ascending order.
	versions []archived
}

// archived is one version of the document.
type archived struct {
	version  uint64
	document []byte
	digest   Digest
	// encodings holds the differences to earlier versions by their number;
	// number 0 holds the whole document.
	encodings map[uint64]encoding
}

// encoding is an encoded version and the checksum that identifies it.
type encoding struct {
	data []byte
	id   uint64
}

// NewArchive returns an empty archive.
func NewArchive() *Archive { return &Archive{} }

// Add adds a version. Versions start at 1; one that is not newer than the
// latest is ignored. The document must not be modified afterwards.
func (a *Archive) Add(version uint64, document []byte) {
	if version <= a.Latest() {
		return
	}
	a.versions = append(a.versions, archived{
		version: version, document: document, digest: DigestOf(document), encodings: map[uint64]encoding{},
	})
	a.trim()
}

// trim removes the oldest versions beyond the limits.
func (a *Archive) trim() {
	size := 0
	for _, v := range a.versions {
		size += len(v.document)
	}
	for len(a.versions) > minVersions && (len(a.versions) > maxVersions || size > maxArchiveBytes) {
		size -= len(a.versions[0].document)
		a.versions = slices.Delete(a.versions, 0, 1)
	}
}

// Latest returns the latest version, or 0 if the archive is empty.
func (a *Archive) Latest() uint64 {
	if len(a.versions) == 0 {
		return 0
	}
	return a.versions[len(a.versions)-1].version
}

// Piece returns a piece of the requested version, or of the latest if the
// archive no longer has that one. The piece has version 0 if the archive is
// empty. Pieces of a difference to an unknown base belong to the whole
// document instead.
func (a *Archive) Piece(r Request) (Piece, error) {
	v := a.find(r.version)
	if v == nil {
		if len(a.versions) == 0 {
			return Piece{}, nil
		}
		v = &a.versions[len(a.versions)-1]
	}
	base := a.find(r.base)
	if base == nil || base.version >= v.version {
		base = &archived{}
	}
	e, err := v.encode(base)
	if err != nil {
		return Piece{}, fmt.Errorf("version %d: %w", v.version, err)
	}
	offset := min(max(r.offset, 0), len(e.data))
	end := min(offset+min(max(r.size, 1), maxPieceBytes), len(e.data))
	return NewPiece(v.version, base.version, v.digest, e.id, len(e.data), offset, e.data[offset:end]), nil
}

func (a *Archive) find(version uint64) *archived {
	for i := range a.versions {
		if a.versions[i].version == version {
			return &a.versions[i]
		}
	}
	return nil
}

// encode returns the difference to base, which has version 0 and no content
// for the whole document.
func (v *archived) encode(base *archived) (encoding, error) {
	if e, ok := v.encodings[base.version]; ok {
		return e, nil
	}
	data, err := Encode(base.document, v.document)
	if err != nil {
		return encoding{}, fmt.Errorf("difference to version %d: %w", base.version, err)
	}
	e := encoding{data: data, id: xxhash.Sum64(data)}
	v.encodings[base.version] = e
	return e, nil
}
