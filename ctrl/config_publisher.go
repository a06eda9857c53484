package ctrl

import (
	"context"
	"fmt"
	"slices"

	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/state"
	"rhubarbrack/tasks"
)

// maxDeltas is the number of shared commands that a control host keeps for
// entry hosts that are behind. At 14,000 changes a day it covers three and a
// half hours; entry hosts that are further behind get a snapshot.
const maxDeltas = 2048

// ConfigPublisher is the task that publishes changes of the configuration to
// entry hosts and to the tasks of the control host. It gets them from
// ReplicatedState.
type ConfigPublisher struct {
	ref *tasks.Ref
}

// ConfigListener is notified of every change of the configuration, in order.
type ConfigListener interface {
	// ConfigChanged receives the latest configuration. It must not block.
	ConfigChanged(config *state.Config)
}

// StartConfigPublisher starts the task. It notifies the listeners of each
// change.
func StartConfigPublisher(ctx context.Context, system *tasks.System, listeners ...ConfigListener) (*ConfigPublisher, error) {
	ref, err := tasks.Spawn(ctx, system, "ctrl-feed", &configPublisherTask{
		config: state.NewConfig(), listeners: listeners, history: make(map[documentKey][]state.Version),
	})
	if err != nil {
		return nil, fmt.Errorf("start configuration publisher: %w", err)
	}
	return &ConfigPublisher{ref: ref}, nil
}

// Done returns a channel that is closed when the task has ended.
func (p *ConfigPublisher) Done() <-chan struct{} { return p.ref.Done() }

// Config returns the latest configuration.
func (p *ConfigPublisher) Config(ctx context.Context) (*state.Config, error) {
	config, err := tasks.Ask(ctx, p.ref, func(r tasks.Reply[*state.Config]) any { return getConfig{reply: r} })
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return config, nil
}

// WaitNewer returns when the configuration is newer than the revision, or when
// ctx ends.
func (p *ConfigPublisher) WaitNewer(ctx context.Context, revision ident.Revision) {
	_, err := tasks.Ask(ctx, p.ref, func(r tasks.Reply[ident.Revision]) any {
		return waitNewer{revision: revision, ctx: ctx, reply: r}
	})
	if err != nil {
		p.ref.Tell(waitEnded{})
	}
}

// ChangesSince returns the changes after a revision.
func (p *ConfigPublisher) ChangesSince(ctx context.Context, revision ident.Revision) (Changes, error) {
	changes, err := tasks.Ask(ctx, p.ref, func(r tasks.Reply[Changes]) any {
		return getChanges{revision: revision, reply: r}
	})
	if err != nil {
		return Changes{}, fmt.Errorf("read changes since revision %d: %w", revision, err)
	}
	return changes, nil
}

// history returns the versions of a document, oldest first.
func (p *ConfigPublisher) history(ctx context.Context, kind prof.Kind, name string) []VersionRecord {
	versions, err := tasks.Ask(ctx, p.ref, func(r tasks.Reply[[]state.Version]) any {
		return getHistory{key: documentKey{kind: kind, name: name}, reply: r}
	})
	if err != nil {
		return nil
	}
	out := make([]VersionRecord, 0, len(versions))
	for _, v := range versions {
		out = append(out, VersionRecord{
			Revision: v.Revision(), At: v.At(), Source: v.Source(), Deleted: v.Deleted(), Request: v.Request(),
		})
	}
	return out
}

// documentKey identifies a document.
type documentKey struct {
	kind prof.Kind
	name string
}

// Changes is the data that brings an entry host to a revision.
type Changes struct {
	revision ident.Revision
	deltas   []Delta
	snapshot []byte
}

// Revision returns the revision that the changes lead to.
func (c Changes) Revision() ident.Revision { return c.revision }

// Deltas returns the shared commands in order.
func (c Changes) Deltas() []Delta { return c.deltas }

// Snapshot returns the encoded configuration if the deltas do not reach back far
// enough, and nil otherwise.
func (c Changes) Snapshot() []byte { return c.snapshot }

type (
	// commandApplied carries a shared command that was applied. Shared commands
	// change the configuration that entry hosts hold.
	commandApplied struct {
		revision ident.Revision
		command  []byte
		config   *state.Config
		history  []state.History
	}
	// snapshotRestored replaces the configuration with that of a snapshot.
	snapshotRestored struct {
		config  *state.Config
		history []state.History
	}
	getHistory struct {
		key   documentKey
		reply tasks.Reply[[]state.Version]
	}
	// waitEnded reports that a wait has ended without a change.
	waitEnded struct{}
	getConfig struct {
		reply tasks.Reply[*state.Config]
	}
	waitNewer struct {
		revision ident.Revision
		ctx      context.Context
		reply    tasks.Reply[ident.Revision]
	}
	getChanges struct {
		revision ident.Revision
		reply    tasks.Reply[Changes]
	}
)

// configPublisherTask is the task behind ConfigPublisher.
type configPublisherTask struct {
	config *state.Config
	// deltas are the shared commands after revision base.
	deltas     []Delta
	base       ident.Revision
	waiting    []waitNewer
	endedWaits int
	listeners  []ConfigListener
	history    map[documentKey][]state.Version
	// encodedSnapshot is the encoded configuration as of encodedRevision.
	encodedSnapshot []byte
	encodedRevision ident.Revision
}

var _ tasks.Task = (*configPublisherTask)(nil)

// Handle implements tasks.Task.
func (t *configPublisherTask) Handle(message any) {
	switch m := message.(type) {
	case commandApplied:
		t.deltas = append(t.deltas, Delta{Revision: m.revision, Command: m.command})
		if over := len(t.deltas) - maxDeltas; over > 0 {
			t.base = t.deltas[over-1].Revision
			t.deltas = append([]Delta(nil), t.deltas[over:]...)
		}
		t.updateHistory(m.history)
		t.publish(m.config)
	case getHistory:
		m.reply.Send(t.history[m.key])
	case snapshotRestored:
		t.deltas, t.base = nil, m.config.Revision()
		t.history = make(map[documentKey][]state.Version)
		t.updateHistory(m.history)
		t.publish(m.config)
	case waitEnded:
		t.dropEndedWaits()
	case getConfig:
		m.reply.Send(t.config)
	case waitNewer:
		if t.config.Revision() > m.revision {
			m.reply.Send(t.config.Revision())
			return
		}
		t.waiting = append(t.waiting, m)
	case getChanges:
		m.reply.Send(t.changesSince(m.revision))
	}
}

func (t *configPublisherTask) updateHistory(histories []state.History) {
	for _, h := range histories {
		t.history[documentKey{kind: h.Kind(), name: h.Name()}] = h.Versions()
	}
}

// dropEndedWaits drops the waits that have ended. It scans all waits only once
// half of them may have ended, so that the amortised cost of each is constant.
func (t *configPublisherTask) dropEndedWaits() {
	t.endedWaits++
	if t.endedWaits < len(t.waiting)/2 {
		return
	}
	t.endedWaits = 0
	t.waiting = slices.DeleteFunc(t.waiting, func(w waitNewer) bool { return w.ctx.Err() != nil })
}

func (t *configPublisherTask) publish(config *state.Config) {
	t.config = config
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		switch {
		case w.ctx.Err() != nil:
		case config.Revision() > w.revision:
			w.reply.Send(config.Revision())
		default:
			kept = append(kept, w)
		}
	}
	t.waiting = kept
	for _, l := range t.listeners {
		l.ConfigChanged(config)
	}
}

func (t *configPublisherTask) changesSince(revision ident.Revision) Changes {
	latest := t.config.Revision()
	switch {
	case revision >= latest:
		return Changes{revision: latest}
	case revision < t.base || revision == 0:
		return t.fullSnapshot()
	}
	for i, d := range t.deltas {
		if d.Revision > revision {
			return Changes{revision: latest, deltas: t.deltas[i:len(t.deltas):len(t.deltas)]}
		}
	}
	return t.fullSnapshot()
}

// fullSnapshot returns the snapshot of the latest revision. It is encoded once
// per revision, since all hosts of a zone may request it at the same time.
func (t *configPublisherTask) fullSnapshot() Changes {
	latest := t.config.Revision()
	if t.encodedSnapshot == nil || t.encodedRevision != latest {
		data, err := codec.EncodeConfig(t.config)
		if err != nil {
			t.encodedSnapshot = nil
			return Changes{}
		}
		t.encodedSnapshot, t.encodedRevision = data, latest
	}
	return Changes{revision: latest, snapshot: t.encodedSnapshot}
}

// ReplicatedState is the state machine of the configuration and the claims. It
// applies committed commands and passes the shared ones on to the publisher. The
// task of the replica owns it.
type ReplicatedState struct {
	applier   *codec.Applier
	publisher *ConfigPublisher
}

var _ StateMachine = (*ReplicatedState)(nil)

// NewReplicatedState returns an empty state.
func NewReplicatedState(publisher *ConfigPublisher) *ReplicatedState {
	return &ReplicatedState{applier: codec.NewApplier(), publisher: publisher}
}

// Apply implements StateMachine. The result is a state.Outcome, or an error for
// a command that this version of the program does not know.
func (s *ReplicatedState) Apply(revision ident.Revision, data []byte) any {
	result := s.applier.Apply(revision, data)
	if outcome, ok := result.(state.Outcome); ok && outcome.Shared() {
		s.publisher.ref.Tell(commandApplied{
			revision: revision, command: data, config: s.applier.Machine().Config(), history: s.changedHistory(data),
		})
	}
	return result
}

// changedHistory returns the history of the document that a command changed.
func (s *ReplicatedState) changedHistory(data []byte) []state.History {
	command, err := codec.DecodeCommand(data)
	if err != nil {
		return nil
	}
	var key documentKey
	switch c := command.(type) {
	case state.PutDocument:
		key = documentKey{kind: c.Document().Kind(), name: c.Document().Name()}
	case state.DeleteDocument:
		key = documentKey{kind: c.DocumentKind(), name: c.DocumentName()}
	default:
		return nil
	}
	return []state.History{state.NewHistory(key.kind, key.name, s.applier.Machine().History(key.kind, key.name))}
}

// Snapshot implements StateMachine.
func (s *ReplicatedState) Snapshot() func() ([]byte, error) { return s.applier.Snapshot() }

// Restore implements StateMachine.
func (s *ReplicatedState) Restore(revision ident.Revision, data []byte) error {
	if err := s.applier.Restore(revision, data); err != nil {
		return fmt.Errorf("restore state: %w", err)
	}
	machine := s.applier.Machine()
	s.publisher.ref.Tell(snapshotRestored{config: machine.Config(), history: machine.Histories()})
	return nil
}
