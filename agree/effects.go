package agree

import (
	"github.com/juju/errors"

	"rhubarbrack/ident"
)

const (
	// ErrNotLeader refuses a request to a node that does not lead.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrBusy refuses a proposal while too many entries are uncommitted or not
	// yet on the leader's disk.
	ErrBusy = errors.ConstError("too many changes in flight")
	// ErrTooLarge refuses a proposal that exceeds the size limit.
	ErrTooLarge = errors.ConstError("change exceeds the size limit")
	// ErrTransferring refuses a request during a leadership transfer.
	ErrTransferring = errors.ConstError("leadership is being transferred")
	// ErrChangePending refuses a membership change while another is
	// uncommitted or no entry of the current term is committed.
	ErrChangePending = errors.ConstError("another membership change is not committed yet")
	// ErrInvalidChange refuses a membership change that the current membership
	// does not allow, such as the removal of a host that is no member.
	ErrInvalidChange = errors.ConstError("change does not fit the membership")
	// ErrNotCaughtUp refuses the promotion of a learner that has not caught up,
	// and any change after which no majority of the voters would be in contact
	// with the leader.
	ErrNotCaughtUp = errors.ConstError("member has not caught up")
	// ErrNoTransferTarget refuses a transfer when no other voter can take over.
	ErrNoTransferTarget = errors.ConstError("no voter can take over")
)

// Write is data to persist. Writes must reach the disk in the order of their
// numbers.
type Write struct {
	number    uint64
	hardState HardState
	entries   []Entry
	snapshot  ident.Option[Snapshot]
}

// Number returns the number to report with Synced.
func (w Write) Number() uint64 { return w.number }

// HardState returns the hard state to write.
func (w Write) HardState() HardState { return w.hardState }

// Entries returns the entries to write. They replace any entries on disk
// from the first one's revision on.
func (w Write) Entries() []Entry { return w.entries }

// Snapshot returns the snapshot to save, if any. It must be saved first; the
// entries and the hard state then replace the whole log.
func (w Write) Snapshot() ident.Option[Snapshot] { return w.snapshot }

// Accepted reports the position in the log at which a proposal or a membership
// change was appended. The request succeeded if the entry that is committed at
// that position has this term.
type Accepted struct {
	tag      Tag
	revision ident.Revision
	term     Term
}

// Tag returns the tag of the request.
func (a Accepted) Tag() Tag { return a.tag }

// Revision returns the position in the log.
func (a Accepted) Revision() ident.Revision { return a.revision }

// Term returns the term of the entry.
func (a Accepted) Term() Term { return a.term }

// Barrier is the confirmation of a ReadBarrier.
type Barrier struct {
	tag      Tag
	revision ident.Revision
}

// Tag returns the tag of the request.
func (b Barrier) Tag() Tag { return b.tag }

// Revision returns the revision that must be applied before the read.
func (b Barrier) Revision() ident.Revision { return b.revision }

// Refusal reports that a request had no effect.
type Refusal struct {
	tag Tag
	err error
}

// Tag returns the tag of the request.
func (r Refusal) Tag() Tag { return r.tag }

// Err returns the reason.
func (r Refusal) Err() error { return r.err }

// Role is the Raft role of a node in its term.
type Role uint8

const (
	// Follower replicates the log of a leader.
	Follower Role = iota
	// PreCandidate checks with the other voters whether an election could
	// succeed.
	PreCandidate
	// Candidate requests votes.
	Candidate
	// Leader appends entries and replicates them.
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// RoleChange reports a change of the role, the term or the known leader.
type RoleChange struct {
	role   Role
	term   Term
	leader ident.Host
}

// Role returns the new role.
func (r RoleChange) Role() Role { return r.role }

// Term returns the term.
func (r RoleChange) Term() Term { return r.term }

// Leader returns the leader of the term, or "" when unknown.
func (r RoleChange) Leader() ident.Host { return r.leader }

// Effects is what the caller must carry out after a step. It must queue the
// writes, send the messages, install the snapshot, apply the committed entries
// and respond to the requests, in this order.
type Effects struct {
	writes     []Write
	messages   []Message
	install    ident.Option[Snapshot]
	committed  []Entry
	accepted   []Accepted
	barriers   []Barrier
	refusals   []Refusal
	roleChange ident.Option[RoleChange]
}

// Writes returns the data to write and sync.
func (e Effects) Writes() []Write { return e.writes }

// Messages returns the messages to send. They depend on no pending write.
func (e Effects) Messages() []Message { return e.messages }

// InstallSnapshot returns a snapshot, if any, that must replace the state
// machine before the committed entries are applied.
func (e Effects) InstallSnapshot() ident.Option[Snapshot] { return e.install }

// Committed returns the newly committed entries in order. Each entry is
// returned once.
func (e Effects) Committed() []Entry { return e.committed }

// Accepted returns the positions of the requests that were appended.
func (e Effects) Accepted() []Accepted { return e.accepted }

// Barriers returns the confirmed read barriers.
func (e Effects) Barriers() []Barrier { return e.barriers }

// Refusals returns the requests that had no effect.
func (e Effects) Refusals() []Refusal { return e.refusals }

// RoleChange returns the new role if the role, the term or the leader changed.
func (e Effects) RoleChange() ident.Option[RoleChange] { return e.roleChange }
