package codec

import (
	"errors"
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/state"
)

// Applier applies encoded commands to a state.Machine, as the replica of a
// control host needs it. It is not safe for concurrent use.
type Applier struct {
	machine *state.Machine
	options []once.Option
}

// NewApplier returns an applier with an empty Machine. The options set limits
// of the claims; they must be equal on all control hosts.
func NewApplier(options ...once.Option) *Applier {
	return &Applier{machine: state.NewMachine(options...), options: options}
}

// Machine returns the Machine, which changes with the next Apply or Restore.
// Its Config does not change and may be passed on.
func (a *Applier) Machine() *state.Machine { return a.machine }

// Apply applies a command and returns its state.Outcome. Bytes that no
// version could read are a refused outcome. A command that this program does
// not know, or whose document it does not accept, is returned as an error: a
// host of another version may have applied it, so the caller must stop
// applying.
func (a *Applier) Apply(revision ident.Revision, data []byte) any {
	command, err := DecodeCommand(data)
	var corrupt *CorruptError
	switch {
	case errors.As(err, &corrupt):
		return state.NewOutcome(state.Refused, revision, state.WithReason(state.ReasonInvalid, err.Error()))
	case err != nil:
		return fmt.Errorf("apply revision %d: %w", revision, err)
	}
	return a.machine.Apply(revision, command)
}

// Snapshot returns a function that encodes the whole state as it is now. The
// function may run in another goroutine.
func (a *Applier) Snapshot() func() ([]byte, error) { return SnapshotMachine(a.machine) }

// Restore replaces the state by that of a snapshot taken at the revision. On
// an error the state stays as it was.
func (a *Applier) Restore(revision ident.Revision, data []byte) error {
	machine, err := DecodeMachine(data, a.options...)
	if err != nil {
		return fmt.Errorf("restore revision %d: %w", revision, err)
	}
	if machine.Revision() > revision {
		return fmt.Errorf("restore revision %d: %w", revision,
			&CorruptError{what: machineKind, err: fmt.Errorf("the snapshot is of revision %d", machine.Revision())})
	}
	a.machine = machine
	return nil
}
