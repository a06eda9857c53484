package ctrl

import (
	"fmt"

	"rhubarbrack/patch"
)

// minPackedBytes is the size from which data is packed. Over a link between
// regions less than this takes about as long as a round trip.
const minPackedBytes = 64 << 10

// pack returns the packed form of data and its digest, or nil if the data is
// short or does not get shorter.
func pack(data []byte) ([]byte, patch.Digest, error) {
	if len(data) < minPackedBytes {
		return nil, patch.Digest{}, nil
	}
	packed, err := patch.Encode(nil, data)
	if err != nil {
		return nil, patch.Digest{}, fmt.Errorf("pack: %w", err)
	}
	if len(packed) >= len(data) {
		return nil, patch.Digest{}, nil
	}
	return packed, patch.DigestOf(data), nil
}

// pack packs the large entries of a batch and reports whether there are any. Large
// changes would otherwise delay the heartbeats behind them by more than an
// election timeout.
func (r *BatchRecord) pack() (bool, error) {
	isPacked := false
	for i := range r.Messages {
		entries := r.Messages[i].Entries
		for j := range entries {
			e := &entries[j]
			packed, digest, err := pack(e.Data)
			if err != nil {
				return false, fmt.Errorf("entry %d: %w", e.Revision, err)
			}
			if packed != nil {
				e.Data, e.Packed, e.Digest, isPacked = nil, packed, digest, true
			}
		}
	}
	return isPacked, nil
}

// unpack reverses pack.
func (r *BatchRecord) unpack() error {
	for i := range r.Messages {
		entries := r.Messages[i].Entries
		for j := range entries {
			e := &entries[j]
			if len(e.Packed) == 0 {
				continue
			}
			data, err := patch.Decode(nil, e.Packed, e.Digest)
			if err != nil {
				return fmt.Errorf("unpack entry %d: %w", e.Revision, err)
			}
			e.Data, e.Packed = data, nil
		}
	}
	return nil
}

// pack packs the data of a chunk, unless it is short.
func (r *ChunkRecord) pack() (bool, error) {
	packed, digest, err := pack(r.Data)
	if err != nil {
		return false, fmt.Errorf("chunk at offset %d: %w", r.Offset, err)
	}
	if packed != nil {
		r.Data, r.Packed, r.Digest = nil, packed, digest
	}
	return packed != nil, nil
}

// unpack reverses pack.
func (r *ChunkRecord) unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	data, err := patch.Decode(nil, r.Packed, r.Digest)
	if err != nil {
		return fmt.Errorf("unpack chunk at offset %d: %w", r.Offset, err)
	}
	r.Data, r.Packed = data, nil
	return nil
}
