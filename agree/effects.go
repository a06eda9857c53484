package agree

import (
	"github.com/juju/errors"

	"rhubarbrack/ident"
)

const (
	// ErrNotLeader refuses a request to a node that does not lead.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrBusy refuses a proposal while too much is uncommitted.
	ErrBusy = errors.ConstError("too many changes in flight")
	// ErrTooLarge refuses a proposal that does not fit into a message.
	ErrTooLarge = errors.ConstError("change exceeds the size limit")
	// ErrTransferring refuses a proposal while leadership is handed over.
	ErrTransferring = errors.ConstError("leadership is being transferred")
	// ErrChangePending refuses a membership change while another is
	// uncommitted or no entry of the current term is committed.
	ErrChangePending = errors.ConstError("another membership change is not committed yet")
	// ErrInvalidChange refuses a membership change that does not fit the current
	// membership.
	ErrInvalidChange = errors.ConstError("change does not fit the membership")
	// ErrNotCaughtUp refuses to promote a learner that has not caught up, or to
	// remove a voter without which no majority has answered lately.
	ErrNotCaughtUp = errors.ConstError("member has not caught up")
	// ErrNoTransferTarget refuses a transfer when no other voter can take over.
	ErrNoTransferTarget = errors.ConstError("no voter can take over")
)

// Write is data that must reach the disk, in the order of the numbers.
type Write struct {
	number   uint64
	hard     HardState
	entries  []Entry
	snapshot ident.Option[Snapshot]
}

// Number returns the number to report with Synced.
func (w Write) Number() uint64 { return w.number }

// HardState returns the hard state to write.
func (w Write) HardState() HardState { return w.hard }

// Entries returns the entries to write. They replace any entries on disk
// from the first one's revision on.
func (w Write) Entries() []Entry { return w.entries }

// Snapshot returns a snapshot to save. When present, it is saved first and
// the entries and the hard state then replace the whole log.
func (w Write) Snapshot() ident.Option[Snapshot] { return w.snapshot }

// Accepted tells at which position of the log a proposal or a membership
// change stands. It succeeded if the entry committed there has this term.
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

// Barrier answers a ReadBarrier.
type Barrier struct {
	tag      Tag
	revision ident.Revision
}

// Tag returns the tag of the request.
func (b Barrier) Tag() Tag { return b.tag }

// Revision returns the revision that must be applied before the read.
func (b Barrier) Revision() ident.Revision { return b.revision }

// Refusal answers a request that had no effect.
type Refusal struct {
	tag Tag
	err error
}

// Tag returns the tag of the request.
func (r Refusal) Tag() Tag { return r.tag }

// Err returns the reason.
func (r Refusal) Err() error { return r.err }

// Role is the part that a node plays in its term.
type Role uint8

const (
	// Follower accepts entries from a leader.
	Follower Role = iota
	// PreCandidate asks whether an election could succeed.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader creates entries.
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// RoleChange tells that role, term or known leader changed.
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

// Effects is what the caller must carry out after a step. The order among
// them is: writes, messages, install, committed, the answers.
type Effects struct {
	writes    []Write
	messages  []Message
	install   ident.Option[Snapshot]
	committed []Entry
	accepted  []Accepted
	barriers  []Barrier
	refusals  []Refusal
	change    ident.Option[RoleChange]
}

// Writes returns what must be written and synced.
func (e Effects) Writes() []Write { return e.writes }

// Messages returns what may be sent at once.
func (e Effects) Messages() []Message { return e.messages }

// InstallSnapshot returns a snapshot that replaces the state machine, before the
// committed entries are applied.
func (e Effects) InstallSnapshot() ident.Option[Snapshot] { return e.install }

// Committed returns the entries to apply, in order and each once.
func (e Effects) Committed() []Entry { return e.committed }

// Accepted returns the positions of the requests that were accepted.
func (e Effects) Accepted() []Accepted { return e.accepted }

// Barriers returns the confirmed read barriers.
func (e Effects) Barriers() []Barrier { return e.barriers }

// Refusals returns the requests that had no effect.
func (e Effects) Refusals() []Refusal { return e.refusals }

// RoleChange returns the new role, when role, term or leader changed.
func (e Effects) RoleChange() ident.Option[RoleChange] { return e.change }
