package ctrl

import (
	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/patch"
)

// The record types are the messages between replicas over net/rpc. Only this
// file converts between them and the types of package agree.

// MemberRecord is the encoded form of an agree.Member.
type MemberRecord struct {
	Host    string
	Address string
	Disk    uint64
	Voter   bool
}

// LogEntryRecord is the encoded form of an agree.Entry. If Packed is set, it holds
// the data instead of Data, as patch.Encode returns it, and Digest is that of the
// data.
type LogEntryRecord struct {
	Revision uint64
	Term     uint64
	Kind     uint8
	Data     []byte
	Members  []MemberRecord
	Packed   []byte
	Digest   patch.Digest
}

// MessageRecord is the encoded form of an agree.Message without its snapshot.
type MessageRecord struct {
	Kind     uint8
	From, To string
	FromDisk uint64
	ToDisk   uint64
	Term     uint64
	Revision uint64
	LogTerm  uint64
	Commit   uint64
	Hint     uint64
	Round    uint64
	Reject   bool
	Transfer bool
	Entries  []LogEntryRecord
}

// BatchRecord is a batch of messages in the order in which they were sent, with
// the address of the sender. Sequence numbers the batches of a session.
type BatchRecord struct {
	From     string
	Address  string
	Session  uint64
	Sequence uint64
	Messages []MessageRecord
}

// AckRecord is the reply to a BatchRecord. TakesPacked tells that the recipient
// decodes packed data, which hosts of earlier releases do not.
type AckRecord struct{ TakesPacked bool }

// ChunkRecord is a chunk of a snapshot. Message is the
// agree.MessageInstallSnapshot that the snapshot belongs to. Offset and Size count
// unpacked bytes; Packed and Digest are as in LogEntryRecord.
type ChunkRecord struct {
	Message  MessageRecord
	Address  string
	Revision uint64
	Term     uint64
	Members  []MemberRecord
	Size     int
	Offset   int
	Data     []byte
	Packed   []byte
	Digest   patch.Digest
}

// ChunkAckRecord is the reply to a ChunkRecord. Accepted is false if the
// recipient lacks the preceding chunks.
type ChunkAckRecord struct{ Accepted bool }

// IdentifyRecord asks a host for its identity.
type IdentifyRecord struct{}

// IdentityRecord is the identity of a host. Initial is its list of initial
// peers, Formed the membership with which its cluster was bootstrapped, and
// Members the current membership; the latter two are empty on an empty disk.
type IdentityRecord struct {
	Host    string
	Disk    uint64
	Initial []string
	Formed  []MemberRecord
	Members []MemberRecord
}

func fromMembers(members agree.Members) []MemberRecord {
	var out []MemberRecord
	for _, m := range members.List() {
		out = append(out, MemberRecord{
			Host: string(m.Host()), Address: m.Address(), Disk: uint64(m.DiskID()), Voter: m.IsVoter(),
		})
	}
	return out
}

func toMembers(records []MemberRecord) agree.Members {
	list := make([]agree.Member, 0, len(records))
	for _, r := range records {
		list = append(list, agree.NewMember(ident.Host(r.Host), r.Address, agree.DiskID(r.Disk), r.Voter))
	}
	return agree.NewMembers(list...)
}

func fromEntries(entries []agree.Entry) []LogEntryRecord {
	var out []LogEntryRecord
	for _, e := range entries {
		out = append(out, LogEntryRecord{
			Revision: uint64(e.Revision()), Term: uint64(e.Term()), Kind: uint8(e.Kind()),
			Data: e.Data(), Members: fromMembers(e.Members()),
		})
	}
	return out
}

// toEntries returns the entries of unpacked records.
func toEntries(records []LogEntryRecord) []agree.Entry {
	var out []agree.Entry
	for _, r := range records {
		revision, term, kind := ident.Revision(r.Revision), agree.Term(r.Term), agree.EntryKind(r.Kind)
		if kind == agree.EntryMembers {
			out = append(out, agree.NewMembersEntry(revision, term, toMembers(r.Members)))
		} else {
			out = append(out, agree.NewEntry(revision, term, kind, r.Data))
		}
	}
	return out
}

func fromMessage(m agree.Message) MessageRecord {
	revision, logTerm := m.Position()
	return MessageRecord{
		Kind: uint8(m.Kind()), From: string(m.From()), To: string(m.To()),
		FromDisk: uint64(m.FromDisk()), ToDisk: uint64(m.ToDisk()), Term: uint64(m.Term()),
		Revision: uint64(revision), LogTerm: uint64(logTerm),
		Commit: uint64(m.Commit()), Hint: uint64(m.Hint()), Round: m.Round(),
		Reject: m.IsReject(), Transfer: m.IsTransfer(), Entries: fromEntries(m.Entries()),
	}
}

func (r MessageRecord) message() agree.Message {
	m := agree.NewMessage(agree.MessageKind(r.Kind), agree.Term(r.Term), ident.Host(r.From), ident.Host(r.To),
		agree.DiskID(r.FromDisk), agree.DiskID(r.ToDisk))
	return m.WithPosition(ident.Revision(r.Revision), agree.Term(r.LogTerm)).
		WithProgress(ident.Revision(r.Commit), ident.Revision(r.Hint), r.Round).
		WithFlags(r.Reject, r.Transfer).
		WithEntries(toEntries(r.Entries))
}
