package agree

import "rhubarbrack/ident"

// Input is one event for Node.Step: Tick, Receive, Propose, ReadBarrier,
// Synced, ChangeMember, TransferLeadership, Compact or Bootstrap.
type Input interface{ input() }

// Tag identifies a request of the caller. The node returns it with the outcome.
type Tag uint64

// Tick makes the node check its timers. The caller sends it several times per
// heartbeat interval.
type Tick struct{}

// Receive delivers a message from another node.
type Receive struct{ message Message }

// NewReceive returns the input that delivers a message.
func NewReceive(m Message) Receive { return Receive{message: m} }

// Proposal is a command for the state machine that is to be committed.
type Proposal struct {
	tag  Tag
	data []byte
}

// NewProposal returns a proposal. The data is not copied.
func NewProposal(tag Tag, data []byte) Proposal { return Proposal{tag: tag, data: data} }

// Propose asks the leader to commit proposals in order.
type Propose struct{ proposals []Proposal }

// NewPropose returns a request to commit the proposals.
func NewPropose(proposals ...Proposal) Propose { return Propose{proposals: proposals} }

// ReadBarrier asks the leader for a revision that includes every command
// acknowledged before the request. The leader first confirms its leadership
// with a majority.
type ReadBarrier struct{ tag Tag }

// NewReadBarrier returns a request for a read barrier.
func NewReadBarrier(tag Tag) ReadBarrier { return ReadBarrier{tag: tag} }

// Synced reports that every write up to a number is durable.
type Synced struct{ write uint64 }

// NewSynced returns the report that all writes up to a number are durable.
func NewSynced(write uint64) Synced { return Synced{write: write} }

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

const (
	// ChangeAdd adds a learner.
	ChangeAdd ChangeKind = iota + 1
	// ChangePromote makes a learner a voter.
	ChangePromote
	// ChangeRemove removes a member.
	ChangeRemove
)

// ChangeMember asks the leader to add, promote or remove one member.
type ChangeMember struct {
	tag    Tag
	kind   ChangeKind
	member Member
}

// NewChangeMember returns a request to change a member. ChangePromote and
// ChangeRemove use only the host of the member.
func NewChangeMember(tag Tag, kind ChangeKind, member Member) ChangeMember {
	return ChangeMember{tag: tag, kind: kind, member: member}
}

// TransferLeadership asks the leader to transfer its leadership to another
// voter.
type TransferLeadership struct {
	tag    Tag
	target ident.Host
}

// NewTransferLeadership returns a request for a transfer. If the target is
// empty, the leader chooses the voter whose log is the most complete.
func NewTransferLeadership(tag Tag, target ident.Host) TransferLeadership {
	return TransferLeadership{tag: tag, target: target}
}

// Compact passes the node a snapshot of the state machine, which allows it to
// drop the entries that the snapshot includes.
type Compact struct {
	revision ident.Revision
	data     []byte
}

// NewCompact returns the input with a snapshot of the state machine after the
// revision.
func NewCompact(revision ident.Revision, data []byte) Compact {
	return Compact{revision: revision, data: data}
}

// Bootstrap sets the initial membership of the cluster on a node with an empty
// disk. It has no effect on a node that already knows members.
type Bootstrap struct{ members Members }

// NewBootstrap returns the input with the initial membership.
func NewBootstrap(members Members) Bootstrap { return Bootstrap{members: members} }

func (Tick) input()               {}
func (Receive) input()            {}
func (Propose) input()            {}
func (ReadBarrier) input()        {}
func (Synced) input()             {}
func (ChangeMember) input()       {}
func (TransferLeadership) input() {}
func (Compact) input()            {}
func (Bootstrap) input()          {}
