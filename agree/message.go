package agree

import "rhubarbrack/ident"

// MessageKind tells the purpose of a message between nodes.
type MessageKind uint8

const (
	// MessagePreVote asks whether an election could succeed.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries, or none as a heartbeat.
	MessageAppend
	// MessageAppendResponse answers MessageAppend and MessageInstall.
	MessageAppendResponse
	// MessageInstallSnapshot carries a snapshot to a node that is far behind.
	MessageInstallSnapshot
	// MessageTimeoutNow tells the target of a transfer to start an election.
	MessageTimeoutNow
)

// Message is sent from one node to another. Which fields have a meaning
// depends on the kind.
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

// NewMessage returns a message without content.
func NewMessage(kind MessageKind, term Term, from, to ident.Host, fromDisk, toDisk DiskID) Message {
	return Message{kind: kind, term: term, from: from, to: to, fromDisk: fromDisk, toDisk: toDisk}
}

// WithPosition returns the message with a position of the log: the last
// entry of a candidate, the entry before those of an append, or the last
// entry that an answer confirms or rejects.
func (m Message) WithPosition(revision ident.Revision, term Term) Message {
	m.revision, m.logTerm = revision, term
	return m
}

// WithProgress returns the message with the sender's commit revision, its
// hint where to continue after a rejection, and the round of a read barrier.
func (m Message) WithProgress(commit, hint ident.Revision, round uint64) Message {
	m.commit, m.hint, m.round = commit, hint, round
	return m
}

// WithFlags returns the message with the mark of a rejection and that of a
// campaign that the leader asked for.
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

// Kind returns the purpose of the message.
func (m Message) Kind() MessageKind { return m.kind }

// From returns the sender.
func (m Message) From() ident.Host { return m.from }

// To returns the recipient.
func (m Message) To() ident.Host { return m.to }

// FromDisk returns the identity of the sender's disk.
func (m Message) FromDisk() DiskID { return m.fromDisk }

// ToDisk returns the identity of the disk that the message is meant for.
func (m Message) ToDisk() DiskID { return m.toDisk }

// Term returns the sender's term, or the term that a pre-vote is about.
func (m Message) Term() Term { return m.term }

// Position returns the position that WithPosition set.
func (m Message) Position() (ident.Revision, Term) { return m.revision, m.logTerm }

// Commit returns the sender's commit revision.
func (m Message) Commit() ident.Revision { return m.commit }

// Hint returns where the leader should continue after a rejection.
func (m Message) Hint() ident.Revision { return m.hint }

// Round returns the round of read barriers.
func (m Message) Round() uint64 { return m.round }

// IsReject reports whether an answer is negative.
func (m Message) IsReject() bool { return m.reject }

// IsTransfer reports whether the leader asked for the campaign.
func (m Message) IsTransfer() bool { return m.transfer }

// Entries returns the entries. They must not be modified.
func (m Message) Entries() []Entry { return m.entries }

// Snapshot returns the snapshot of MessageInstall.
func (m Message) Snapshot() Snapshot { return m.snapshot }
