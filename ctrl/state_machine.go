package ctrl

import (
	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// StateMachine is the replicated state machine. The replica task calls it, one
// call at a time. Its methods must not block and must have the same effect on
// every host.
type StateMachine interface {
	// Apply applies a committed command and returns its result, which
	// Replica.Propose returns. The data must not be modified. A result that is
	// an error stops the replica: the state machine does not know the command,
	// which hosts of another version may have applied.
	Apply(revision ident.Revision, data []byte) any
	// Snapshot returns a function that encodes the state as it is now. The
	// function runs in another goroutine while more commands are applied,
	// because a large state takes longer to encode than an election timeout.
	Snapshot() func() ([]byte, error)
	// Restore replaces the state with that of a snapshot taken after the
	// revision.
	Restore(revision ident.Revision, data []byte) error
}

// LeadershipObserver is notified when the replica gains or loses the leadership.
// The replica task calls it, so its methods must not block.
type LeadershipObserver interface {
	// LeadershipBegan reports that the replica leads in a term and that the
	// state machine has applied every command committed in earlier terms.
	LeadershipBegan(term agree.Term)
	// LeadershipEnded reports the end of a leadership for which LeadershipBegan
	// was called.
	LeadershipEnded(term agree.Term)
}
