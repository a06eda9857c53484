package state

import (
	"crypto/sha256"
	"fmt"
	"time"

	"rhubarbrack/ident"
)

// Command is a change to the replicated state. The implementations are the
// command types of this package. They are values and are created by their
// New functions.
type Command interface {
	// Kind returns the name of the command type in kebab case.
	Kind() string
	// At returns the timestamp set by the leader, the zero time before Stamp.
	At() time.Time
	// Shared reports whether the command changes the Config and is therefore
	// replicated to entry hosts. Claims are not shared.
	Shared() bool

	stamp(at time.Time) Command
}

// OperatorCommand is a command that an operator sends. It is applied once for
// each request ID.
type OperatorCommand interface {
	Command
	// Request returns the ID that identifies retries of the command.
	Request() ident.RequestID
	// Expected returns the revision of the record on which the operator based
	// the change. Zero means that the record must not exist.
	Expected() ident.Revision

	// canonicalText returns the content of the command. It distinguishes two
	// different commands that use the same request ID.
	canonicalText() string
}

// AnyRevision matches every current revision when it is the expected revision
// of WithdrawKey or CancelDrain.
const AnyRevision = ^ident.Revision(0)

// Stamp returns a copy of the command with the timestamp set by the leader.
func Stamp(c Command, at time.Time) Command { return c.stamp(canonicalTime(at)) }

// configCommand is a command that changes the Config.
type configCommand interface {
	Command
	apply(c *Config, revision ident.Revision) (*Config, Outcome)
}

// machineCommand is a command that changes the claims.
type machineCommand interface {
	Command
	execute(m *Machine) Outcome
}

type timestamped struct {
	at time.Time
}

// At returns the timestamp set by the leader.
func (t timestamped) At() time.Time { return t.at }

type operatorBase struct {
	timestamped
	request  ident.RequestID
	expected ident.Revision
}

// Request returns the ID that identifies retries of the command.
func (o operatorBase) Request() ident.RequestID { return o.request }

// Expected returns the revision on which the operator based the change.
func (o operatorBase) Expected() ident.Revision { return o.expected }

// Shared returns true.
func (o operatorBase) Shared() bool { return true }

// checkExpected returns a conflict outcome and false unless the current
// revision is the expected one.
func (o operatorBase) checkExpected(current ident.Revision, source string) (Outcome, bool) {
	if o.expected == current {
		return Outcome{}, true
	}
	return NewOutcome(Conflict, 0, WithCurrent(current, source)), false
}

func (o operatorBase) checkExpectedOrAny(current ident.Revision) (Outcome, bool) {
	if o.expected == AnyRevision {
		return Outcome{}, true
	}
	return o.checkExpected(current, "")
}

type sharedBase struct {
	timestamped
}

// Shared returns true.
func (s sharedBase) Shared() bool { return true }

func commandDigest(c OperatorCommand) ident.Fingerprint {
	return sha256.Sum256(fmt.Appendf(nil, "%s %d %s", c.Kind(), c.Expected(), c.canonicalText()))
}
