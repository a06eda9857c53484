package ctrl

import (
	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// StateMachine is the replicated state machine. The replica task calls it, one
// call at a time. Its methods must not block and must have the same effect on
// every host.
type StateMachine interface {
	// Apply carries out a committed change and returns its result, which
	// Replica.Propose passes on. The data must not be modified. A result that
	// is an error ends the replica: the machine does not know the change,
	// which hosts of another version may have applied.
	Apply(revision ident.Revision, data []byte) any
	// Snapshot returns a function that encodes the state as it is now. The
	// function runs in another goroutine while the machine goes on, because a
	// large state takes longer to encode than an election timeout.
	Snapshot() func() ([]byte, error)
	// Restore replaces the state by that of a snapshot taken after the
	// revision.
	Restore(revision ident.Revision, data []byte) error
}

// LeadershipObserver learns when the replica leads. The replica task calls it, so its
// methods must not block.
type LeadershipObserver interface {
	// LeadershipBegan tells that the replica leads in a term and that the
	// machine holds every change committed in earlier terms.
	LeadershipBegan(term agree.Term)
	// LeadershipEnded tells that a leadership that had begun has ended.
	LeadershipEnded(term agree.Term)
}
