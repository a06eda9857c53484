package ctrl

import (
	"time"

	"rhubarbrack/ident"
)

// pollService is the name of the RPC service that control hosts offer to
// entry hosts.
const pollService = "Follow"

// CallResult tells whether a control host could serve a call.
type CallResult int

// The verdicts of an answer.
const (
	// ResultServed means that the leader served the call.
	ResultServed CallResult = iota + 1
	// ResultNotLeader means that the call must go to the leader. Nothing was
	// done.
	ResultNotLeader
	// ResultUnknown means that a proposal may still be committed.
	ResultUnknown
	// ResultInvalid means that the call is malformed.
	ResultInvalid
)

// PollArgs are the arguments of Follow.Poll: who asks, what it has applied
// and what it has observed.
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
	// Demand is the load that came in at this host.
	Demand []LoadRecord
}

// LoadRecord is the load of a class of a service in slots: the requests that
// run at a time.
type LoadRecord struct {
	Service ident.Service
	Class   ident.Class
	Slots   float64
}

// Delta is one shared command in its encoded form.
type Delta struct {
	Revision ident.Revision
	Command  []byte
}

// PollReply is the answer of Follow.Poll: either the deltas after the asked
// revision or a snapshot.
type PollReply struct {
	Verdict CallResult
	Leader  ident.Host
	// Address is where the leader is reached, or empty when unknown.
	Address  string
	Revision ident.Revision
	Snapshot []byte
	Deltas   []Delta
	// Lease is counted by the asking process from when it sent the call. So is
	// RoleLease, during which it may act for its roles.
	Lease     time.Duration
	RoleLease time.Duration
}

// ProposeArgs are the arguments of Follow.Propose.
type ProposeArgs struct {
	Command []byte
	// Timeout bounds the wait for the commit.
	Timeout time.Duration
}

// ProposeReply is the answer of Follow.Propose.
type ProposeReply struct {
	Verdict CallResult
	Leader  ident.Host
	// Address is where the leader is reached, or empty when unknown.
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

// InForceReply is the answer of Follow.InForce.
type InForceReply struct {
	Verdict CallResult
	Leader  ident.Host
	// Address is where the leader is reached, or empty when unknown.
	Address string
	Reached bool
	Behind  []ident.Host
}

// ReadArgs are the arguments of Follow.Read. Kind and Name ask for the history
// of a document besides.
type ReadArgs struct {
	Kind string
	Name string
}

// VersionRecord is one version of a document on the wire.
type VersionRecord struct {
	Revision ident.Revision
	At       time.Time
	Source   string
	Deleted  bool
	Request  ident.RequestID
}

// EventRecord is an Event on the wire.
type EventRecord struct {
	At     time.Time
	Kind   string
	Detail string
	Reason string
	Error  string
}

// ControlHostRecord is what the leader knows of one control host.
type ControlHostRecord struct {
	Host     ident.Host
	Address  string
	Voter    bool
	Match    ident.Revision
	Contact  time.Time
	IsLeader bool
}

// ReadReply is the answer of Follow.Read: the state as of a revision that a
// majority confirmed after the call.
type ReadReply struct {
	Verdict CallResult
	Leader  ident.Host
	// Address is where the leader is reached, or empty when unknown.
	Address  string
	Config   []byte
	History  []VersionRecord
	InForce  ident.Revision
	Applied  map[ident.Host]ident.Revision
	Events   []EventRecord
	Term     uint64
	Controls []ControlHostRecord
}

// MemberArgs are the arguments of Follow.Member: a control host to add at an
// address, or to remove.
type MemberArgs struct {
	Host    ident.Host
	Address string
	Remove  bool
	Timeout time.Duration
}

// MemberReply is the answer of Follow.Member.
type MemberReply struct {
	Verdict CallResult
	Leader  ident.Host
	// Address is where the leader is reached, or empty when unknown.
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
