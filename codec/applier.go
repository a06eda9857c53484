package codec

import (
	"errors"
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/state"
)

// Applier applies encoded commands to the state.Machine of a control host. It
// is not safe for concurrent use.
type Applier struct {
	machine *state.Machine
	options []once.Option
}

// NewApplier returns an Applier with an empty Machine. The options set the
// limits of the claims and must be the same on all control hosts.
func NewApplier(options ...once.Option) *Applier {
	return &Applier{machine: state.NewMachine(options...), options: options}
}

// Machine returns the Machine. The next call of Apply or Restore modifies or
// replaces it. Its Config is immutable and may be shared.
func (a *Applier) Machine() *state.Machine { return a.machine }

// Apply applies an encoded command and returns its state.Outcome. For data
// that no version can decode, it returns a refused outcome. For a command that
// this version does not know, or whose document it does not accept, it returns
// an error. Another version may have applied such a command, so the caller
// must stop applying commands.
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

// Snapshot returns a function that encodes the current state. The function may
// be called from another goroutine.
func (a *Applier) Snapshot() func() ([]byte, error) { return SnapshotMachine(a.machine) }

// Restore replaces the state with that of a snapshot taken at the revision. If
// it returns an error, the state is unchanged.
func (a *Applier) Restore(revision ident.Revision, data []byte) error {
	machine, err := DecodeMachine(data, a.options...)
	if err != nil {
		return fmt.Errorf("restore revision %d: %w", revision, err)
	}
	if machine.Revision() > revision {
		return fmt.Errorf("restore revision %d: %w", revision,
			&CorruptError{content: machineKind, err: fmt.Errorf("the snapshot is of revision %d", machine.Revision())})
	}
	a.machine = machine
	return nil
}
