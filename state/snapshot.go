package state

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/prof"
)

// ConfigBuilder builds a Config from the records of a snapshot. Records may be
// added in any order. A record replaces an earlier one with the same name.
type ConfigBuilder struct {
	config Config
	err    error
}

// NewConfigBuilder returns a builder for a Config at a revision.
func NewConfigBuilder(revision ident.Revision) *ConfigBuilder {
	return &ConfigBuilder{config: Config{revision: revision}}
}

// AddDocument adds a document.
func (b *ConfigBuilder) AddDocument(d Document) {
	if d.document == nil {
		b.err = fmt.Errorf("document without content at revision %d", d.revision)
		return
	}
	c := &b.config
	key := documentKey(d.document.Kind(), d.document.Name())
	old, _ := c.documents.get(key)
	c.hosts = c.reindexHosts(old.document, d.document)
	c.documents = c.documents.set(key, d)
}

// AddKey adds a key.
func (b *ConfigBuilder) AddKey(k Key) { b.config.keys = b.config.keys.set(k.id, k) }

// AddMember adds a member.
func (b *ConfigBuilder) AddMember(m Member) { b.config.members = b.config.members.set(m.host, m) }

// AddRole adds a role.
func (b *ConfigBuilder) AddRole(r Role) { b.config.roles = b.config.roles.set(r.name, r) }

// AddShares adds a load distribution.
func (b *ConfigBuilder) AddShares(s Shares) {
	b.config.shares = b.config.shares.set(sharesKey(s.service, s.origin), s)
}

// AddDrain adds a drain.
func (b *ConfigBuilder) AddDrain(d Drain) { b.config.drains = b.config.drains.set(d.id, d) }

// AddSuspect adds a suspect.
func (b *ConfigBuilder) AddSuspect(s Suspect) {
	b.config.suspects = b.config.suspects.set(string(s.fingerprint[:]), s)
}

// Build returns the Config, or an error if a record was invalid.
func (b *ConfigBuilder) Build() (*Config, error) {
	if b.err != nil {
		return nil, fmt.Errorf("build: %w", b.err)
	}
	config := b.config
	return &config, nil
}

// Requests returns the retained outcomes of operator commands, oldest first.
func (m *Machine) Requests() []OperatorRequest { return m.requests.all() }

// Histories returns the histories of all documents, sorted by kind and name.
func (m *Machine) Histories() []History {
	out := make([]History, 0, m.history.documents.len())
	m.history.documents.each(func(key string, versions []Version) bool {
		kind, name := splitDocumentKey(key)
		out = append(out, NewHistory(kind, name, versions))
		return true
	})
	return out
}

func splitDocumentKey(key string) (prof.Kind, string) {
	for i := range len(key) {
		if key[i] == '/' {
			return prof.Kind(key[:i]), key[i+1:]
		}
	}
	return "", key
}

// EndedProcesses returns the retained ended processes, sorted by host.
func (m *Machine) EndedProcesses() []EndedProcess { return m.ended.sorted() }

// MachineBuilder builds a Machine from the records of a snapshot.
type MachineBuilder struct {
	machine *Machine
	options []once.Option
	err     error
}

// NewMachineBuilder returns a builder for a Machine at a revision.
func NewMachineBuilder(revision ident.Revision, config *Config, options ...once.Option) *MachineBuilder {
	m := NewMachine(options...)
	m.revision, m.config = revision, config
	b := &MachineBuilder{machine: m, options: options}
	if config == nil || config.revision > revision {
		b.err = fmt.Errorf("machine: revision %d is below that of its configuration", revision)
	}
	return b
}

// SetClaims sets the claims, which are ordered from oldest to newest.
func (b *MachineBuilder) SetClaims(records []once.Record) {
	claims, err := once.Restore(records, b.options...)
	if err != nil {
		b.err = fmt.Errorf("machine: %w", err)
		return
	}
	b.machine.claims = claims
}

// AddRequest adds the retained outcome of an operator command. Outcomes must
// be added from oldest to newest.
func (b *MachineBuilder) AddRequest(r OperatorRequest) {
	if _, duplicate := b.machine.requests.byID[r.id]; duplicate || r.id == "" {
		b.err = fmt.Errorf("machine: request id %q is empty or occurs twice", r.id)
		return
	}
	b.machine.requests.add(r)
}

// AddHistory adds the history of a document.
func (b *MachineBuilder) AddHistory(h History) {
	if len(h.versions) == 0 {
		b.err = fmt.Errorf("machine: history of %s %q is empty", h.kind, h.name)
		return
	}
	b.machine.history.documents = b.machine.history.documents.set(documentKey(h.kind, h.name), trimVersions(h.versions))
}

// AddEndedProcess adds an ended process.
func (b *MachineBuilder) AddEndedProcess(e EndedProcess) { b.machine.ended.hosts[e.host] = e }

// Build returns the Machine, or an error if a record was invalid.
func (b *MachineBuilder) Build() (*Machine, error) {
	if b.err != nil {
		return nil, fmt.Errorf("build: %w", b.err)
	}
	return b.machine, nil
}
