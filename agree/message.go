package agree

import "rhubarbrack/ident"

// MessageKind is the kind of a message between nodes.
type MessageKind uint8

const (
	// MessagePreVote asks whether the recipient would vote for the sender.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteResponse responds to MessagePreVote.
	MessagePreVoteResponse
	// MessageVote requests a vote.
	MessageVote
	// MessageVoteResponse responds to MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries to append. Without entries it is a
	// heartbeat.
	MessageAppend
	// MessageAppendResponse responds to MessageAppend and
	// MessageInstallSnapshot.
	MessageAppendResponse
	// MessageInstallSnapshot carries a snapshot to a node that lacks entries
	// which the leader has compacted.
	MessageInstallSnapshot
	// MessageTimeoutNow tells the target of a leadership transfer to start an
	// election at once.
	MessageTimeoutNow
)

// Message is a message between nodes. Its kind determines which fields are
// used.
type Message struct {
	kind     MessageKind
	from, to ident.Host
	fromDisk DiskID
	toDisk   DiskID
	term     Term
	revision ident.Revision
	logTerm  Term
	commit   ident.Revision
	hint     ident.Revision
	round    uint64
	reject   bool
	transfer bool
	entries  []Entry
	snapshot Snapshot
}

// NewMessage returns a message with only its header.
func NewMessage(kind MessageKind, term Term, from, to ident.Host, fromDisk, toDisk DiskID) Message {
	return Message{kind: kind, term: term, from: from, to: to, fromDisk: fromDisk, toDisk: toDisk}
}

// WithPosition returns the message with a log position: the last entry of a
// candidate, the entry before those of an append, or the last entry that a
// response confirms or rejects.
func (m Message) WithPosition(revision ident.Revision, term Term) Message {
	m.revision, m.logTerm = revision, term
	return m
}

// WithProgress returns the message with the sender's commit revision, the
// revision from which the leader should retry after a rejection, and the round
// of read barriers.
func (m Message) WithProgress(commit, hint ident.Revision, round uint64) Message {
	m.commit, m.hint, m.round = commit, hint, round
	return m
}

// WithFlags returns the message with two flags: whether a response is a
// rejection, and whether an election is part of a leadership transfer.
func (m Message) WithFlags(reject, transfer bool) Message {
	m.reject, m.transfer = reject, transfer
	return m
}

// WithEntries returns the message with entries.
func (m Message) WithEntries(entries []Entry) Message {
	m.entries = entries
	return m
}

// WithSnapshot returns the message with a snapshot.
func (m Message) WithSnapshot(snapshot Snapshot) Message {
	m.snapshot = snapshot
	return m
}

// Kind returns the kind of the message.
func (m Message) Kind() MessageKind { return m.kind }

// From returns the sender.
func (m Message) From() ident.Host { return m.from }

// To returns the recipient.
func (m Message) To() ident.Host { return m.to }

// FromDisk returns the identity of the sender's disk.
func (m Message) FromDisk() DiskID { return m.fromDisk }

// ToDisk returns the identity of the recipient's disk.
func (m Message) ToDisk() DiskID { return m.toDisk }

// Term returns the sender's term, or the proposed term of a pre-vote.
func (m Message) Term() Term { return m.term }

// Position returns the log position that WithPosition set.
func (m Message) Position() (ident.Revision, Term) { return m.revision, m.logTerm }

// Commit returns the sender's commit revision.
func (m Message) Commit() ident.Revision { return m.commit }

// Hint returns the revision from which the leader should retry after a
// rejection.
func (m Message) Hint() ident.Revision { return m.hint }

// Round returns the round of read barriers.
func (m Message) Round() uint64 { return m.round }

// IsReject reports whether a response is a rejection.
func (m Message) IsReject() bool { return m.reject }

// IsTransfer reports whether an election is part of a leadership transfer.
func (m Message) IsTransfer() bool { return m.transfer }

// Entries returns the entries. They must not be modified.
func (m Message) Entries() []Entry { return m.entries }

// Snapshot returns the snapshot of MessageInstallSnapshot.
func (m Message) Snapshot() Snapshot { return m.snapshot }
