package patch

import (
	"crypto/sha256"
	"fmt"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

// ErrCorrupt means that an encoding cannot be decoded or yields another
// document than its digest states.
const ErrCorrupt = errors.ConstError("encoded document is corrupt")

// Digest identifies the content of a document.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a document.
func DigestOf(document []byte) Digest { return sha256.Sum256(document) }

const (
	// MaxDocumentBytes is the size of the largest document that Decode returns.
	MaxDocumentBytes = 64 << 20
	// windowBytes is how far back a match may refer. Encoders use it to find
	// matches in the earlier version, so it exceeds usual documents.
	windowBytes = 8 << 20
	// baseID is the number of the dictionary that holds the earlier version.
	baseID = 1
)

// Encode returns the document as a difference to base, which may be empty. The
// same arguments yield the same bytes on all hosts of one build.
func Encode(base, document []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return e.EncodeAll(document, nil), nil
}

// Decode returns the document that was encoded with the same base. The error is
// ErrCorrupt if the result does not have the given digest.
func Decode(base, encoded []byte, want Digest) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDocumentBytes), zstd.WithDecoderLowmem(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	defer d.Close()
	document, err := d.DecodeAll(encoded, nil)
	if err != nil {
		return nil, fmt.Errorf("decode document: %w: %w", ErrCorrupt, err)
	}
	if DigestOf(document) != want {
		return nil, fmt.Errorf("decode document: %w: digest differs", ErrCorrupt)
	}
	return document, nil
}
