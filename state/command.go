package state

import (
	"crypto/sha256"
	"fmt"
	"time"

	"rhubarbrack/ident"
)

// Command is a change of the replicated state. The commands are the types of
// this package that have a constructor New... and are values.
type Command interface {
	// Kind names the command in kebab case.
	Kind() string
	// At returns the time that the leader assigned, zero before Stamp.
	At() time.Time
	// Shared reports whether the command changes the Config, so that entry
	// hosts need it. Claims are not shared.
	Shared() bool

	stamp(at time.Time) Command
}

// OperatorCommand is a command that an operator sends. It is applied once for each
// request id.
type OperatorCommand interface {
	Command
	// Request returns the id by which a resend is recognised.
	Request() ident.RequestID
	// Expected returns the revision of the changed record that the operator
	// has seen, zero when it must not exist.
	Expected() ident.Revision

	// text describes the command so that two different commands under one
	// request id are told apart.
	text() string
}

// AnyRevision as the expected revision of WithdrawKey and CancelDrain stands
// for whatever revision is current.
const AnyRevision = ^ident.Revision(0)

// Stamp returns the command with the time assigned by the leader.
func Stamp(c Command, at time.Time) Command { return c.stamp(clean(at)) }

// configCommand is a shared command.
type configCommand interface {
	Command
	apply(c *Config, revision ident.Revision) (*Config, Outcome)
}

// machineCommand is a command that changes the claims, too, or only them.
type machineCommand interface {
	Command
	run(m *Machine) Outcome
}

type stamped struct {
	at time.Time
}

// At returns the time that the leader assigned.
func (s stamped) At() time.Time { return s.at }

type operator struct {
	stamped
	request  ident.RequestID
	expected ident.Revision
}

// Request returns the id by which a resend is recognised.
func (o operator) Request() ident.RequestID { return o.request }

// Expected returns the revision that the operator has seen.
func (o operator) Expected() ident.Revision { return o.expected }

// Shared returns true.
func (o operator) Shared() bool { return true }

// check returns the conflict outcome unless the current revision is the
// expected one.
func (o operator) check(current ident.Revision, source string) (Outcome, bool) {
	if o.expected == current {
		return Outcome{}, true
	}
	return NewOutcome(Conflict, 0, WithCurrent(current, source)), false
}

func (o operator) checkAny(current ident.Revision) (Outcome, bool) {
	if o.expected == AnyRevision {
		return Outcome{}, true
	}
	return o.check(current, "")
}

type shared struct {
	stamped
}

// Shared returns true.
func (s shared) Shared() bool { return true }

func digest(c OperatorCommand) ident.Fingerprint {
	return sha256.Sum256(fmt.Appendf(nil, "%s %d %s", c.Kind(), c.Expected(), c.text()))
}
