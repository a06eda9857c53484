package ctrl

import (
	"fmt"

	"github.com/juju/errors"

	"rhubarbrack/ident"
)

const (
	// ErrNotLeader means that the request had no effect because the replica
	// does not lead. The error is a *NotLeaderError.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrUnknown means that a command may or may not be committed.
	ErrUnknown = errors.ConstError("outcome unknown")
	// ErrNotCommitted means that a command had no effect, because the entry of
	// another leader took its place in the log.
	ErrNotCommitted = errors.ConstError("change was not committed")
	// ErrIdentityMismatch means that a host name belongs to another disk, or an
	// address to another host. A host that has lost its disk must join under a
	// new name.
	ErrIdentityMismatch = errors.ConstError("host name belongs to another disk")
)

// NotLeaderError refuses a request to a replica that does not lead.
type NotLeaderError struct {
	leader  ident.Host
	address string
}

// Leader returns the leader, or "" when unknown.
func (e *NotLeaderError) Leader() ident.Host { return e.leader }

// Address returns the address of the leader, or "" if unknown.
func (e *NotLeaderError) Address() string { return e.address }

// Unwrap returns ErrNotLeader.
func (e *NotLeaderError) Unwrap() error { return ErrNotLeader }

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.leader == "" {
		return ErrNotLeader.Error() + "; the leader is unknown"
	}
	return fmt.Sprintf("%v; the leader is %s at %s", ErrNotLeader, e.leader, e.address)
}
