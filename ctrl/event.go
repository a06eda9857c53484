package ctrl

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// Event is a repair or a step of a plan that the leader made.
type Event struct {
	at     time.Time
	kind   string
	detail string
	reason string
	err    string
}

// At returns when the change was committed or failed.
func (e Event) At() time.Time { return e.at }

// Kind returns the kind of the command.
func (e Event) Kind() string { return e.kind }

// Detail returns what was changed.
func (e Event) Detail() string { return e.detail }

// Reason returns why.
func (e Event) Reason() string { return e.reason }

// Err returns why the change was not made, or nothing.
func (e Event) Err() string { return e.err }

// RolloutProgress tells which entry hosts have applied a revision.
type RolloutProgress struct {
	reached bool
	behind  []ident.Host
}

// Reached reports whether every entry host with a lease has applied it.
func (p RolloutProgress) Reached() bool { return p.reached }

// Behind returns the hosts that have not.
func (p RolloutProgress) Behind() []ident.Host { return p.behind }

// LeaderStatus is what the leader task knows. It is a copy.
type LeaderStatus struct {
	leads    bool
	config   *state.Config
	sessions sessions
	inForce  ident.Revision
	events   []Event
}

// Leads reports whether this host leads.
func (s LeaderStatus) Leads() bool { return s.leads }

// InForce returns the revision that every entry host with a lease has applied.
func (s LeaderStatus) InForce() ident.Revision { return s.inForce }

// Applied returns the revision that the process of a member has applied.
func (s LeaderStatus) Applied(h ident.Host) ident.Revision { return s.sessions.known[h].revision }

func (s LeaderStatus) applied() map[ident.Host]ident.Revision {
	out := make(map[ident.Host]ident.Revision, len(s.sessions.known))
	for h, e := range s.sessions.known {
		out[h] = e.revision
	}
	return out
}

// Events returns the latest changes that the leader made, oldest first.
func (s LeaderStatus) Events() []Event { return s.events }
