package state

import (
	"rhubarbrack/ident"
	"rhubarbrack/once"
)

// Machine is the whole replicated state: the Config and, on control hosts
// only, the claims, the outcomes of operators' requests, the history of the
// documents and the ended processes. It is not safe for concurrent use.
type Machine struct {
	revision ident.Revision
	config   *Config
	claims   *once.Table
	requests *requests
	history  *history
	ended    *ended
}

// NewMachine returns the empty state. The options set limits of the claims;
// they must be equal on all control hosts.
func NewMachine(options ...once.Option) *Machine {
	return &Machine{
		config: NewConfig(), claims: once.New(options...),
		requests: newRequests(), history: newHistory(), ended: newEnded(),
	}
}

// Revision returns the revision of the latest command, shared or not.
func (m *Machine) Revision() ident.Revision { return m.revision }

// Config returns the current configuration.
func (m *Machine) Config() *Config { return m.config }

// Claims returns the claims. They must not be changed.
func (m *Machine) Claims() *once.Table { return m.claims }

// Apply applies a command at its revision, which must be greater than that of
// the command before. A command without a time is refused: a withdrawal at no
// time would leave the key valid. A refused or conflicting command changes only
// the revision and, for an operator's command, the kept outcomes.
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
		return m.run(revision, command)
	}
	if !validRequest(op.Request()) {
		outcome := refuse(ReasonInvalid, "request id of %d bytes: want 1 to %d", len(op.Request()), maxRequestID)
		outcome.revision = revision
		return outcome
	}
	m.requests.expire(op.At())
	if first, ok := m.requests.find(op); ok {
		return m.withSource(op, first)
	}
	outcome := m.run(revision, command)
	m.requests.keep(op, outcome)
	return outcome
}

// withSource restores the source text of a kept conflict, as far as the
// history still holds it.
func (m *Machine) withSource(op OperatorCommand, first Outcome) Outcome {
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

func (m *Machine) run(revision ident.Revision, command Command) Outcome {
	var outcome Outcome
	switch c := command.(type) {
	case configCommand:
		outcome = m.runShared(revision, c)
	case machineCommand:
		outcome = c.run(m)
	default:
		outcome = refuse(ReasonInvalid, "command %T", command)
	}
	outcome.revision = revision
	outcome.shared = outcome.changed && command.Shared()
	return outcome
}

func (m *Machine) runShared(revision ident.Revision, command configCommand) Outcome {
	if join, ok := command.(Join); ok {
		if last, ok := m.ended.last(join.member.host); ok && join.member.incarnation <= last {
			return refuse(ReasonStaleIncarnation, "incarnation %d of host %q has ended", last, join.member.host)
		}
	}
	next, outcome := command.apply(m.config, revision)
	if !outcome.changed {
		return outcome
	}
	m.follow(revision, command)
	m.config = next.at(revision)
	return outcome
}

// follow applies the effects of a change on what only control hosts hold.
func (m *Machine) follow(revision ident.Revision, command configCommand) {
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
