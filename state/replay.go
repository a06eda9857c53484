package state

import (
	"errors"
	"fmt"

	"rhubarbrack/ident"
)

// ErrNotShared tells that a command does not change the Config.
var ErrNotShared = errors.New("the command is not shared")

// StaleRevisionError tells that a command is not newer than the Config.
type StaleRevisionError struct {
	have, got ident.Revision
}

// Have returns the revision of the Config.
func (e *StaleRevisionError) Have() ident.Revision { return e.have }

// Got returns the revision of the command.
func (e *StaleRevisionError) Got() ident.Revision { return e.got }

// Error names both revisions.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not above %d", e.got, e.have)
}

// Replay returns the Config after a command whose outcome on a control host
// was Shared at the given revision. The result equals the Config of
// the control host. An error tells that the command does not fit: the entry
// host must then ask for a snapshot.
func Replay(c *Config, revision ident.Revision, command Command) (*Config, error) {
	cc, ok := command.(configCommand)
	if !ok {
		return nil, fmt.Errorf("replay %s: %w", command.Kind(), ErrNotShared)
	}
	if revision <= c.revision {
		return nil, fmt.Errorf("replay %s: %w", command.Kind(), &StaleRevisionError{have: c.revision, got: revision})
	}
	if command.At().IsZero() {
		return nil, fmt.Errorf("replay %s at revision %d: the command carries no time", command.Kind(), revision)
	}
	next, outcome := cc.apply(c, revision)
	if err := outcome.Err(); err != nil {
		return nil, fmt.Errorf("replay %s at revision %d: %w", command.Kind(), revision, err)
	}
	if !outcome.Changed() {
		return nil, fmt.Errorf("replay %s at revision %d: the command changes nothing", command.Kind(), revision)
	}
	return next.at(revision), nil
}

// at returns the Config with its revision. The receiver is a fresh copy.
func (c *Config) at(revision ident.Revision) *Config {
	next := *c
	next.revision = revision
	return &next
}
