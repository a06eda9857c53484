package ctrl

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// Event is a change that the leader made by itself, such as the expiry of a
// member or the assignment of a role.
type Event struct {
	at     time.Time
	kind   string
	detail string
	reason string
	err    string
}

// At returns the time at which the change was committed or failed.
func (e Event) At() time.Time { return e.at }

// Kind returns the kind of the command.
func (e Event) Kind() string { return e.kind }

// Detail describes what was changed.
func (e Event) Detail() string { return e.detail }

// Reason returns why the change was made.
func (e Event) Reason() string { return e.reason }

// Err returns why the change failed, or "".
func (e Event) Err() string { return e.err }

// RolloutProgress describes which entry hosts have applied a revision.
type RolloutProgress struct {
	reached bool
	behind  []ident.Host
}

// Reached reports whether every entry host with a lease has applied the
// revision.
func (p RolloutProgress) Reached() bool { return p.reached }

// Behind returns the entry hosts that have not applied the revision.
func (p RolloutProgress) Behind() []ident.Host { return p.behind }

// LeaderStatus is a copy of the state of the leader task.
type LeaderStatus struct {
	leads    bool
	config   *state.Config
	sessions sessions
	inForce  ident.Revision
	events   []Event
}

// Leads reports whether this host leads.
func (s LeaderStatus) Leads() bool { return s.leads }

// InForce returns the latest revision that every entry host with a lease has
// applied.
func (s LeaderStatus) InForce() ident.Revision { return s.inForce }

// Applied returns the latest revision that an entry host has applied.
func (s LeaderStatus) Applied(h ident.Host) ident.Revision { return s.sessions.byHost[h].revision }

func (s LeaderStatus) applied() map[ident.Host]ident.Revision {
	out := make(map[ident.Host]ident.Revision, len(s.sessions.byHost))
	for h, e := range s.sessions.byHost {
		out[h] = e.revision
	}
	return out
}

// Events returns the latest changes that the leader made by itself, oldest
// first.
func (s LeaderStatus) Events() []Event { return s.events }
