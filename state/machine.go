package state

import (
	"rhubarbrack/ident"
	"rhubarbrack/once"
)

// Machine is the complete replicated state of control hosts: the Config, the
// claims, the outcomes of operator commands, the history of the documents and
// the ended processes. It is not safe for concurrent use.
type Machine struct {
	revision ident.Revision
	config   *Config
	claims   *once.Table
	requests *requests
	history  *history
	ended    *endedProcesses
}

// NewMachine returns an empty Machine. The options set the limits of the
// claims and must be the same on all control hosts.
func NewMachine(options ...once.Option) *Machine {
	return &Machine{
		config: NewConfig(), claims: once.New(options...),
		requests: newRequests(), history: newHistory(), ended: newEndedProcesses(),
	}
}

// Revision returns the revision of the latest command, shared or not.
func (m *Machine) Revision() ident.Revision { return m.revision }

// Config returns the current configuration.
func (m *Machine) Config() *Config { return m.config }

// Claims returns the table of claims. Callers must not modify it.
func (m *Machine) Claims() *once.Table { return m.claims }

// Apply applies a command at a revision, which must be greater than that of
// the previous command. A command without a timestamp is refused: withdrawing
// a key at the zero time would leave it valid. A refused or conflicting
// command changes only the revision and, if an operator sent it, the retained
// outcomes.
func (m *Machine) Apply(revision ident.Revision, command Command) Outcome {
	if revision <= m.revision {
		outcome := refuse(ReasonStaleRevision, "revision %d is not above %d", revision, m.revision)
		outcome.revision = revision
		return outcome
	}
	m.revision = revision
	if command.At().IsZero() {
		outcome := refuse(ReasonInvalid, "%s carries no time", command.Kind())
		outcome.revision = revision
		return outcome
	}
	m.claims.Expire(command.At())
	op, ok := command.(OperatorCommand)
	if !ok {
		return m.execute(revision, command)
	}
	if !isValidRequestID(op.Request()) {
		outcome := refuse(ReasonInvalid, "request id of %d bytes: want 1 to %d", len(op.Request()), maxRequestID)
		outcome.revision = revision
		return outcome
	}
	m.requests.expire(op.At())
	if first, ok := m.requests.find(op); ok {
		return m.restoreSource(op, first)
	}
	outcome := m.execute(revision, command)
	m.requests.record(op, outcome)
	return outcome
}

// restoreSource returns a retained outcome with the source text of its
// conflict, if the history still holds that version. Retained outcomes omit
// the text.
func (m *Machine) restoreSource(op OperatorCommand, first Outcome) Outcome {
	key := ""
	switch c := op.(type) {
	case PutDocument:
		key = documentKey(c.document.Kind(), c.document.Name())
	case DeleteDocument:
		key = documentKey(c.kind, c.name)
	}
	if first.status == Conflict {
		first.source = m.history.source(key, first.current)
	}
	return first
}

func (m *Machine) execute(revision ident.Revision, command Command) Outcome {
	var outcome Outcome
	switch c := command.(type) {
	case configCommand:
		outcome = m.executeShared(revision, c)
	case machineCommand:
		outcome = c.execute(m)
	default:
		outcome = refuse(ReasonInvalid, "command %T", command)
	}
	outcome.revision = revision
	outcome.shared = outcome.changed && command.Shared()
	return outcome
}

func (m *Machine) executeShared(revision ident.Revision, command configCommand) Outcome {
	if join, ok := command.(Join); ok {
		if last, ok := m.ended.lastIncarnation(join.member.host); ok && join.member.incarnation <= last {
			return refuse(ReasonStaleIncarnation, "incarnation %d of host %q has ended", last, join.member.host)
		}
	}
	next, outcome := command.apply(m.config, revision)
	if !outcome.changed {
		return outcome
	}
	m.updateControlState(revision, command)
	m.config = next.withRevision(revision)
	return outcome
}

// updateControlState applies the effects of an accepted change to the state
// that only control hosts hold: the claims, the ended processes and the
// history.
func (m *Machine) updateControlState(revision ident.Revision, command configCommand) {
	switch c := command.(type) {
	case Join:
		if old, ok := m.config.Member(c.member.host); ok && old.incarnation < c.member.incarnation {
			m.claims.MarkUnknown(old.host, old.incarnation)
		}
	case Expire:
		m.claims.MarkUnknown(c.host, c.incarnation)
		m.ended.add(c.host, c.incarnation, c.at)
	case PutDocument:
		m.history.add(documentKey(c.document.Kind(), c.document.Name()),
			Version{revision: revision, at: c.at, source: c.source, request: c.request})
	case DeleteDocument:
		m.history.add(documentKey(c.kind, c.name),
			Version{revision: revision, at: c.at, deleted: true, request: c.request})
	}
}
