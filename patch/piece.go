package patch

import "github.com/cespare/xxhash/v2"

// Request requests a piece of an encoded document.
type Request struct {
	version uint64
	base    uint64
	offset  int
	size    int
}

// NewRequest returns a request for size bytes at an offset of the difference
// between two versions. Base 0 stands for the whole document.
func NewRequest(version, base uint64, offset, size int) Request {
	return Request{version: version, base: base, offset: offset, size: size}
}

// Version returns the requested version.
func (r Request) Version() uint64 { return r.version }

// Base returns the version that the requesting host has, or 0.
func (r Request) Base() uint64 { return r.base }

// Offset returns the offset of the piece in bytes.
func (r Request) Offset() int { return r.offset }

// Size returns the size of the piece in bytes.
func (r Request) Size() int { return r.size }

// Piece is a part of an encoded document.
type Piece struct {
	version  uint64
	base     uint64
	digest   Digest
	encoding uint64
	total    int
	offset   int
	data     []byte
	checksum uint64
}

// NewPiece returns a piece at an offset of the encoding with the given ID and
// total size in bytes. The digest is that of the decoded document.
func NewPiece(version, base uint64, digest Digest, encoding uint64, total, offset int, data []byte) Piece {
	return Piece{
		version: version, base: base, digest: digest, encoding: encoding, total: total, offset: offset, data: data,
		checksum: xxhash.Sum64(data),
	}
}

// WithChecksum returns the piece with a checksum that was received.
func (p Piece) WithChecksum(sum uint64) Piece {
	p.checksum = sum
	return p
}

// Version returns the version of the document.
func (p Piece) Version() uint64 { return p.version }

// Base returns the version that the encoding is a difference to, or 0 if it
// holds the whole document.
func (p Piece) Base() uint64 { return p.base }

// Digest returns the digest of the whole document.
func (p Piece) Digest() Digest { return p.digest }

// Encoding returns the ID of the encoding that the piece is a part of.
func (p Piece) Encoding() uint64 { return p.encoding }

// Total returns the size of the whole encoding in bytes.
func (p Piece) Total() int { return p.total }

// Offset returns the offset of the piece in bytes.
func (p Piece) Offset() int { return p.offset }

// Data returns the bytes of the piece, which must not be modified.
func (p Piece) Data() []byte { return p.data }

// Checksum returns the checksum of the data.
func (p Piece) Checksum() uint64 { return p.checksum }

// IsIntact reports whether the data matches its checksum and lies within the
// encoding.
func (p Piece) IsIntact() bool {
	return p.checksum == xxhash.Sum64(p.data) && p.offset >= 0 && p.total > 0 && p.total <= MaxDocumentBytes &&
		p.offset+len(p.data) <= p.total
}
