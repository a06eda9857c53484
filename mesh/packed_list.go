package mesh

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"time"

	"rhubarbrack/patch"
)

// listContent is the part of a ListRecord that is packed.
type listContent struct {
	Targets []TargetRecord
	Gone    []string
}

// pack returns the record with its targets packed.
func (r ListRecord) pack() (ListRecord, error) {
	var content bytes.Buffer
	if err := gob.NewEncoder(&content).Encode(listContent{Targets: r.Targets, Gone: r.Gone}); err != nil {
		return ListRecord{}, fmt.Errorf("pack list: %w", err)
	}
	packed, err := patch.Encode(nil, content.Bytes())
	if err != nil {
		return ListRecord{}, fmt.Errorf("pack list: %w", err)
	}
	r.Targets, r.Gone, r.Packed, r.Digest = nil, nil, packed, patch.DigestOf(content.Bytes())
	return r, nil
}

// unpack returns the record with the targets that were packed, if any.
func (r ListRecord) unpack() (ListRecord, error) {
	if len(r.Packed) == 0 {
		return r, nil
	}
	data, err := patch.Decode(nil, r.Packed, r.Digest)
	if err != nil {
		return ListRecord{}, fmt.Errorf("unpack list: %w", err)
	}
	var content listContent
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&content); err != nil {
		return ListRecord{}, fmt.Errorf("unpack list: %w", err)
	}
	r.Targets, r.Gone, r.Packed = content.Targets, content.Gone, nil
	return r, nil
}

// packedLists holds the packed records of the current list by the tag of the
// list that they are based on.
type packedLists struct {
	readAt  time.Time
	records map[uint64]ListRecord
}

func (p *packedLists) get(readAt time.Time, base uint64) (ListRecord, bool) {
	if !p.readAt.Equal(readAt) {
		return ListRecord{}, false
	}
	r, ok := p.records[base]
	return r, ok
}

func (p *packedLists) put(readAt time.Time, base uint64, r ListRecord) {
	if !p.readAt.Equal(readAt) {
		p.readAt, p.records = readAt, map[uint64]ListRecord{}
	}
	p.records[base] = r
}
