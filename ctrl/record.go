package ctrl

import (
	"time"

	"rhubarbrack/ident"
)

// followServiceName is the name of the RPC service that control hosts offer to
// entry hosts.
const followServiceName = "Follow"

// CallResult is the result of a call to a control host.
type CallResult int

// The results of a call.
const (
	// ResultServed means that the leader served the call.
	ResultServed CallResult = iota + 1
	// ResultNotLeader means that the call had no effect and must go to the
	// leader.
	ResultNotLeader
	// ResultUnknown means that a proposal may still be committed.
	ResultUnknown
	// ResultInvalid means that the call is malformed.
	ResultInvalid
)

// PollArgs are the arguments of Follow.Poll: the process that polls, the
// revision that it has applied, and its demand.
type PollArgs struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Zone        ident.Zone
	Region      ident.Region
	Caller      string
	Peer        string
	// Leaving is true once the process has begun a planned stop.
	Leaving bool
	// Revision is the revision that the process has applied, 0 for none.
	Revision ident.Revision
	// Wait is how long the leader may hold the call for a newer revision.
	Wait time.Duration
	// Demand is the demand on this host.
	Demand []DemandRecord
}

// DemandRecord is the demand for a class of a service in slots, that is, in
// requests that run concurrently.
type DemandRecord struct {
	Service ident.Service
	Class   ident.Class
	Slots   float64
}

// Delta is an encoded shared command.
type Delta struct {
	Revision ident.Revision
	Command  []byte
}

// PollReply is the reply of Follow.Poll. It holds either the deltas after the
// revision of the poll or a snapshot.
type PollReply struct {
	Verdict CallResult
	Leader  ident.Host
	// Address is the address of the leader, or empty if unknown.
	Address  string
	Revision ident.Revision
	Snapshot []byte
	Deltas   []Delta
	// Lease starts when the process sent the call. So does RoleLease, during
	// which the process may act in its roles.
	Lease     time.Duration
	RoleLease time.Duration
}

// ProposeArgs are the arguments of Follow.Propose.
type ProposeArgs struct {
	Command []byte
	// Timeout bounds the wait for the commit.
	Timeout time.Duration
}

// ProposeReply is the reply of Follow.Propose.
type ProposeReply struct {
	Verdict CallResult
	Leader  ident.Host
	// Address is the address of the leader, or empty if unknown.
	Address  string
	Revision ident.Revision
	Outcome  []byte
	Error    string
}

// InForceArgs are the arguments of Follow.InForce.
type InForceArgs struct {
	Revision ident.Revision
	Wait     time.Duration
}

// InForceReply is the reply of Follow.InForce.
type InForceReply struct {
	Verdict CallResult
	Leader  ident.Host
	// Address is the address of the leader, or empty if unknown.
	Address string
	Reached bool
	Behind  []ident.Host
}

// ReadArgs are the arguments of Follow.Read. If Kind is set, the reply includes
// the history of the document with this kind and name.
type ReadArgs struct {
	Kind string
	Name string
}

// VersionRecord is the encoded form of a version of a document.
type VersionRecord struct {
	Revision ident.Revision
	At       time.Time
	Source   string
	Deleted  bool
	Request  ident.RequestID
}

// EventRecord is the encoded form of an Event.
type EventRecord struct {
	At     time.Time
	Kind   string
	Detail string
	Reason string
	Error  string
}

// ControlHostRecord is the status of a control host as the leader knows it.
type ControlHostRecord struct {
	Host     ident.Host
	Address  string
	Voter    bool
	Match    ident.Revision
	Contact  time.Time
	IsLeader bool
}

// ReadReply is the reply of Follow.Read: the state as of a revision that a
// majority confirmed after the call.
type ReadReply struct {
	Verdict CallResult
	Leader  ident.Host
	// Address is the address of the leader, or empty if unknown.
	Address  string
	Config   []byte
	History  []VersionRecord
	InForce  ident.Revision
	Applied  map[ident.Host]ident.Revision
	Events   []EventRecord
	Term     uint64
	Controls []ControlHostRecord
}

// MemberArgs are the arguments of Follow.Member: the control host to add at an
// address, or to remove.
type MemberArgs struct {
	Host    ident.Host
	Address string
	Remove  bool
	Timeout time.Duration
}

// MemberReply is the reply of Follow.Member.
type MemberReply struct {
	Verdict CallResult
	Leader  ident.Host
	// Address is the address of the leader, or empty if unknown.
	Address string
	Error   string
}

func (r *PollReply) header() (CallResult, ident.Host, string) { return r.Verdict, r.Leader, r.Address }

func (r *ProposeReply) header() (CallResult, ident.Host, string) {
	return r.Verdict, r.Leader, r.Address
}

func (r *InForceReply) header() (CallResult, ident.Host, string) {
	return r.Verdict, r.Leader, r.Address
}

func (r *ReadReply) header() (CallResult, ident.Host, string) { return r.Verdict, r.Leader, r.Address }

func (r *MemberReply) header() (CallResult, ident.Host, string) {
	return r.Verdict, r.Leader, r.Address
}
