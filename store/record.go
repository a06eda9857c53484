package store

import (
	"bytes"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// The record types are the encoded content of the files. Only this file converts
// between them and the types of package agree.

type identityRecord struct {
	Host string
	Disk uint64
}

type memberRecord struct {
	Host    string
	Address string
	Disk    uint64
	Voter   bool
}

type hardStateRecord struct {
	Term    uint64
	Vote    string
	Members []memberRecord
}

type entryRecord struct {
	Revision uint64
	Term     uint64
	Kind     uint8
	Data     []byte
	Members  []memberRecord
}

// logRecord is a record of the log. Synced is the offset up to which the log was
// synced when the record was written. A record without hard state and entries is
// a sync mark.
type logRecord struct {
	Synced  int64
	Hard    *hardStateRecord
	Entries []entryRecord
}

type snapshotRecord struct {
	Revision uint64
	Term     uint64
	Members  []memberRecord
	Data     []byte
}

func encode(record any) ([]byte, error) {
	var body bytes.Buffer
	if err := encodeTo(&body, record); err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// encodeTo writes an encoded record. Data of entries and snapshots is not copied.
func encodeTo(w io.Writer, record any) error {
	encoder := msgpack.NewEncoder(w)
	// Log records are numerous and short, so field names are omitted.
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(record); err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	return nil
}

func decode(body []byte, record any) error {
	if err := msgpack.Unmarshal(body, record); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	return nil
}

func fromMembers(members agree.Members) []memberRecord {
	var out []memberRecord
	for _, m := range members.List() {
		out = append(out, memberRecord{
			Host: string(m.Host()), Address: m.Address(), Disk: uint64(m.DiskID()), Voter: m.IsVoter(),
		})
	}
	return out
}

func toMembers(records []memberRecord) agree.Members {
	list := make([]agree.Member, 0, len(records))
	for _, r := range records {
		list = append(list, agree.NewMember(ident.Host(r.Host), r.Address, agree.DiskID(r.Disk), r.Voter))
	}
	return agree.NewMembers(list...)
}

func fromHardState(h agree.HardState) *hardStateRecord {
	return &hardStateRecord{Term: uint64(h.Term()), Vote: string(h.Vote()), Members: fromMembers(h.Members())}
}

func (r *hardStateRecord) hardState() agree.HardState {
	return agree.NewHardState(agree.Term(r.Term), ident.Host(r.Vote), toMembers(r.Members))
}

func fromEntries(entries []agree.Entry) []entryRecord {
	out := make([]entryRecord, 0, len(entries))
	for _, e := range entries {
		out = append(out, entryRecord{
			Revision: uint64(e.Revision()), Term: uint64(e.Term()), Kind: uint8(e.Kind()),
			Data: e.Data(), Members: fromMembers(e.Members()),
		})
	}
	return out
}

func (r entryRecord) entry() agree.Entry {
	revision, term := ident.Revision(r.Revision), agree.Term(r.Term)
	if agree.EntryKind(r.Kind) == agree.EntryMembers {
		return agree.NewMembersEntry(revision, term, toMembers(r.Members))
	}
	return agree.NewEntry(revision, term, agree.EntryKind(r.Kind), r.Data)
}

func fromSnapshot(s agree.Snapshot) snapshotRecord {
	return snapshotRecord{
		Revision: uint64(s.Revision()), Term: uint64(s.Term()), Members: fromMembers(s.Members()), Data: s.Data(),
	}
}

func (r snapshotRecord) snapshot() agree.Snapshot {
	return agree.NewSnapshot(ident.Revision(r.Revision), agree.Term(r.Term), toMembers(r.Members), r.Data)
}
