package state

import (
	"errors"
	"fmt"

	"rhubarbrack/ident"
)

// ErrNotShared is the error of replaying a command that does not change the
// Config.
var ErrNotShared = errors.New("the command is not shared")

// StaleRevisionError reports that the revision of a command is not greater
// than that of the Config.
type StaleRevisionError struct {
	have, got ident.Revision
}

// Have returns the revision of the Config.
func (e *StaleRevisionError) Have() ident.Revision { return e.have }

// Got returns the revision of the command.
func (e *StaleRevisionError) Got() ident.Revision { return e.got }

// Error returns a message with both revisions.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not above %d", e.got, e.have)
}

// Replay returns the Config after a command that control hosts applied at the
// given revision with a Shared outcome. The result equals the Config of the
// control hosts. After an error, the entry host has diverged and must request
// a snapshot.
func Replay(c *Config, revision ident.Revision, command Command) (*Config, error) {
	change, ok := command.(configCommand)
	if !ok {
		return nil, fmt.Errorf("replay %s: %w", command.Kind(), ErrNotShared)
	}
	if revision <= c.revision {
		return nil, fmt.Errorf("replay %s: %w", command.Kind(), &StaleRevisionError{have: c.revision, got: revision})
	}
	if command.At().IsZero() {
		return nil, fmt.Errorf("replay %s at revision %d: the command carries no time", command.Kind(), revision)
	}
	next, outcome := change.apply(c, revision)
	if err := outcome.Err(); err != nil {
		return nil, fmt.Errorf("replay %s at revision %d: %w", command.Kind(), revision, err)
	}
	if !outcome.Changed() {
		return nil, fmt.Errorf("replay %s at revision %d: the command changes nothing", command.Kind(), revision)
	}
	return next.withRevision(revision), nil
}

// withRevision returns a copy of the Config with the given revision.
func (c *Config) withRevision(revision ident.Revision) *Config {
	next := *c
	next.revision = revision
	return &next
}
