package agree

import "rhubarbrack/ident"

// Term is a Raft term. At most one leader exists in a term.
type Term uint64

// DiskID is the random identity of a data directory. It is created together
// with the directory. Zero means unknown.
type DiskID uint64

// EntryKind is the kind of a log entry.
type EntryKind uint8

const (
	// EntryNoOp is the empty entry that a new leader appends first.
	EntryNoOp EntryKind = iota
	// EntryData holds a command for the state machine.
	EntryData
	// EntryMembers holds a new membership.
	EntryMembers
)

// entryOverhead is the approximate size, in bytes, of an encoded entry
// without its data.
const entryOverhead = 32

// memberOverhead is the approximate size, in bytes, of an encoded member.
const memberOverhead = 64

// Entry is an entry of the replicated log.
type Entry struct {
	revision ident.Revision
	term     Term
	kind     EntryKind
	data     []byte
	members  Members
}

// NewEntry returns an entry that holds data. The data is not copied.
func NewEntry(revision ident.Revision, term Term, kind EntryKind, data []byte) Entry {
	return Entry{revision: revision, term: term, kind: kind, data: data}
}

// NewMembersEntry returns an entry that holds a membership.
func NewMembersEntry(revision ident.Revision, term Term, members Members) Entry {
	return Entry{revision: revision, term: term, kind: EntryMembers, members: members}
}

// Revision returns the position in the log. The first is 1.
func (e Entry) Revision() ident.Revision { return e.revision }

// Term returns the term of the leader that created the entry.
func (e Entry) Term() Term { return e.term }

// Kind returns the kind of the entry.
func (e Entry) Kind() EntryKind { return e.kind }

// Data returns the command for the state machine. It must not be modified.
func (e Entry) Data() []byte { return e.data }

// Members returns the membership of an entry of kind EntryMembers.
func (e Entry) Members() Members { return e.members }

// Size returns the approximate encoded size in bytes.
func (e Entry) Size() int {
	return entryOverhead + len(e.data) + memberOverhead*e.members.Len()
}

// HardState is the state besides the log that a node must persist before it
// acts on it.
type HardState struct {
	term    Term
	vote    ident.Host
	members Members
}

// NewHardState returns a hard state. The members are those that the cluster was
// bootstrapped with, before the first entry of the log.
func NewHardState(term Term, vote ident.Host, members Members) HardState {
	return HardState{term: term, vote: vote, members: members}
}

// Term returns the latest term that the node has seen.
func (h HardState) Term() Term { return h.term }

// Vote returns the candidate that the node voted for in the term, or "".
func (h HardState) Vote() ident.Host { return h.vote }

// Members returns the membership before the first entry of the log. It is
// empty on a host that joined a running cluster.
func (h HardState) Members() Members { return h.members }

// Snapshot is the state of the state machine after a revision, with the
// membership at that revision.
type Snapshot struct {
	revision ident.Revision
	term     Term
	members  Members
	data     []byte
}

// NewSnapshot returns a snapshot. The data is not copied.
func NewSnapshot(revision ident.Revision, term Term, members Members, data []byte) Snapshot {
	return Snapshot{revision: revision, term: term, members: members, data: data}
}

// Revision returns the last revision that the snapshot includes.
func (s Snapshot) Revision() ident.Revision { return s.revision }

// Term returns the term of the entry at the revision.
func (s Snapshot) Term() Term { return s.term }

// Members returns the membership at the revision.
func (s Snapshot) Members() Members { return s.members }

// Data returns the encoded state machine. It must not be modified.
func (s Snapshot) Data() []byte { return s.data }

// PersistentState is the content of the disk when a node starts.
type PersistentState struct {
	diskID    DiskID
	hardState HardState
	snapshot  ident.Option[Snapshot]
	entries   []Entry
}

// NewPersistentState returns the content of a disk. The entries must be
// contiguous. With a snapshot they must start no later than right after it,
// without one at revision 1.
func NewPersistentState(disk DiskID, hard HardState, snapshot ident.Option[Snapshot], entries []Entry) PersistentState {
	return PersistentState{diskID: disk, hardState: hard, snapshot: snapshot, entries: entries}
}

// DiskID returns the identity of the disk.
func (s PersistentState) DiskID() DiskID { return s.diskID }

// HardState returns the last hard state written.
func (s PersistentState) HardState() HardState { return s.hardState }

// Snapshot returns the last snapshot, if any.
func (s PersistentState) Snapshot() ident.Option[Snapshot] { return s.snapshot }

// Entries returns the entries of the log.
func (s PersistentState) Entries() []Entry { return s.entries }

// IsEmpty reports whether the disk holds no term, entry, snapshot or member.
func (s PersistentState) IsEmpty() bool {
	_, ok := s.snapshot.Get()
	return !ok && len(s.entries) == 0 && s.hardState.term == 0 && s.hardState.members.Len() == 0
}
