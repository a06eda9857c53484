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
// half hours; older followers get a snapshot.
const maxDeltas = 2048

// ConfigPublisher is the task that hands changes of the configuration to entry hosts and
// to the tasks of the control host. The engine of the replica feeds it.
type ConfigPublisher struct {
	ref *tasks.Ref
}

// ConfigListener learns of every change of the configuration, in order.
type ConfigListener interface {
	// ConfigChanged receives the latest configuration. It must not block.
	ConfigChanged(config *state.Config)
}

// StartConfigPublisher starts the task. The sinks hear of each change.
func StartConfigPublisher(ctx context.Context, system *tasks.System, sinks ...ConfigListener) (*ConfigPublisher, error) {
	ref, err := tasks.Spawn(ctx, system, "ctrl-feed", &feed{
		config: state.NewConfig(), sinks: sinks, history: make(map[documentKey][]state.Version),
	})
	if err != nil {
		return nil, fmt.Errorf("start feed: %w", err)
	}
	return &ConfigPublisher{ref: ref}, nil
}

// Done returns a channel that is closed when the task has ended.
func (f *ConfigPublisher) Done() <-chan struct{} { return f.ref.Done() }

// Config returns the latest configuration.
func (f *ConfigPublisher) Config(ctx context.Context) (*state.Config, error) {
	config, err := tasks.Ask(ctx, f.ref, func(r tasks.Reply[*state.Config]) any { return configOf{reply: r} })
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return config, nil
}

// WaitNewer returns when the configuration is newer than the revision, or when ctx
// ends.
func (f *ConfigPublisher) WaitNewer(ctx context.Context, revision ident.Revision) {
	_, err := tasks.Ask(ctx, f.ref, func(r tasks.Reply[ident.Revision]) any {
		return waitFor{revision: revision, ctx: ctx, reply: r}
	})
	if err != nil {
		f.ref.Tell(dropEnded{})
	}
}

// ChangesSince returns what changed after the revision.
func (f *ConfigPublisher) ChangesSince(ctx context.Context, revision ident.Revision) (Changes, error) {
	changes, err := tasks.Ask(ctx, f.ref, func(r tasks.Reply[Changes]) any {
		return changesSince{revision: revision, reply: r}
	})
	if err != nil {
		return Changes{}, fmt.Errorf("read changes since revision %d: %w", revision, err)
	}
	return changes, nil
}

// history returns the versions of a document, oldest first.
func (f *ConfigPublisher) history(ctx context.Context, kind prof.Kind, name string) []VersionRecord {
	versions, err := tasks.Ask(ctx, f.ref, func(r tasks.Reply[[]state.Version]) any {
		return historyOf{key: documentKey{kind: kind, name: name}, reply: r}
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

// documentKey names a document.
type documentKey struct {
	kind prof.Kind
	name string
}

// Changes is what an entry host needs to reach a revision.
type Changes struct {
	revision ident.Revision
	deltas   []Delta
	snapshot []byte
}

// Revision returns the revision that the changes lead to.
func (c Changes) Revision() ident.Revision { return c.revision }

// Deltas returns the shared commands in order.
func (c Changes) Deltas() []Delta { return c.deltas }

// Snapshot returns the encoded configuration when the deltas do not reach back
// far enough, and nothing otherwise.
func (c Changes) Snapshot() []byte { return c.snapshot }

type (
	// changed carries an applied shared command.
	changed struct {
		revision ident.Revision
		command  []byte
		config   *state.Config
		history  []state.History
	}
	// restored replaces the configuration by that of a snapshot.
	restored struct {
		config  *state.Config
		history []state.History
	}
	historyOf struct {
		key   documentKey
		reply tasks.Reply[[]state.Version]
	}
	// dropEnded tells that a wait has ended without a change.
	dropEnded struct{}
	configOf  struct {
		reply tasks.Reply[*state.Config]
	}
	waitFor struct {
		revision ident.Revision
		ctx      context.Context
		reply    tasks.Reply[ident.Revision]
	}
	changesSince struct {
		revision ident.Revision
		reply    tasks.Reply[Changes]
	}
)

// feed is the task behind Feed.
type feed struct {
	config *state.Config
	// deltas lead from revision base to the latest one.
	deltas  []Delta
	base    ident.Revision
	waiting []waitFor
	ended   int
	sinks   []ConfigListener
	history map[documentKey][]state.Version
	// encoded is the snapshot of revision encodedAt.
	encoded   []byte
	encodedAt ident.Revision
}

var _ tasks.Task = (*feed)(nil)

// Handle implements tasks.Task.
func (f *feed) Handle(message any) {
	switch m := message.(type) {
	case changed:
		f.deltas = append(f.deltas, Delta{Revision: m.revision, Command: m.command})
		if over := len(f.deltas) - maxDeltas; over > 0 {
			f.base = f.deltas[over-1].Revision
			f.deltas = append([]Delta(nil), f.deltas[over:]...)
		}
		f.keep(m.history)
		f.publish(m.config)
	case historyOf:
		m.reply.Send(f.history[m.key])
	case restored:
		f.deltas, f.base = nil, m.config.Revision()
		f.history = make(map[documentKey][]state.Version)
		f.keep(m.history)
		f.publish(m.config)
	case dropEnded:
		f.dropEnded()
	case configOf:
		m.reply.Send(f.config)
	case waitFor:
		if f.config.Revision() > m.revision {
			m.reply.Send(f.config.Revision())
			return
		}
		f.waiting = append(f.waiting, m)
	case changesSince:
		m.reply.Send(f.since(m.revision))
	}
}

func (f *feed) keep(histories []state.History) {
	for _, h := range histories {
		f.history[documentKey{kind: h.Kind(), name: h.Name()}] = h.Versions()
	}
}

// dropEnded forgets the waits that have ended. It looks at all of them once
// half may have ended, so that each wait costs little.
func (f *feed) dropEnded() {
	f.ended++
	if f.ended < len(f.waiting)/2 {
		return
	}
	f.ended = 0
	f.waiting = slices.DeleteFunc(f.waiting, func(w waitFor) bool { return w.ctx.Err() != nil })
}

func (f *feed) publish(config *state.Config) {
	f.config = config
	kept := f.waiting[:0]
	for _, w := range f.waiting {
		switch {
		case w.ctx.Err() != nil:
		case config.Revision() > w.revision:
			w.reply.Send(config.Revision())
		default:
			kept = append(kept, w)
		}
	}
	f.waiting = kept
	for _, s := range f.sinks {
		s.ConfigChanged(config)
	}
}

func (f *feed) since(revision ident.Revision) Changes {
	latest := f.config.Revision()
	switch {
	case revision >= latest:
		return Changes{revision: latest}
	case revision < f.base || revision == 0:
		return f.whole()
	}
	for i, d := range f.deltas {
		if d.Revision > revision {
			return Changes{revision: latest, deltas: f.deltas[i:len(f.deltas):len(f.deltas)]}
		}
	}
	return f.whole()
}

// whole returns the snapshot of the latest revision. It is encoded once per
// revision, since the hosts of a zone may all ask for it at the same time.
func (f *feed) whole() Changes {
	latest := f.config.Revision()
	if f.encoded == nil || f.encodedAt != latest {
		data, err := codec.EncodeConfig(f.config)
		if err != nil {
			f.encoded = nil
			return Changes{}
		}
		f.encoded, f.encodedAt = data, latest
	}
	return Changes{revision: latest, snapshot: f.encoded}
}

// ReplicatedState applies committed commands to the replicated state and passes the
// shared ones on to the feed. The replica's task owns it.
type ReplicatedState struct {
	applier *codec.Applier
	feed    *ConfigPublisher
}

var _ StateMachine = (*ReplicatedState)(nil)

// NewReplicatedState returns an engine with an empty state.
func NewReplicatedState(feed *ConfigPublisher) *ReplicatedState {
	return &ReplicatedState{applier: codec.NewApplier(), feed: feed}
}

// Apply implements Machine. The result is a state.Outcome, or an error for a
// command that this program does not know.
func (e *ReplicatedState) Apply(revision ident.Revision, data []byte) any {
	result := e.applier.Apply(revision, data)
	if outcome, ok := result.(state.Outcome); ok && outcome.Shared() {
		e.feed.ref.Tell(changed{
			revision: revision, command: data, config: e.applier.Machine().Config(), history: e.historyOf(data),
		})
	}
	return result
}

// historyOf returns the history of the document that a command changed.
func (e *ReplicatedState) historyOf(data []byte) []state.History {
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
	return []state.History{state.NewHistory(key.kind, key.name, e.applier.Machine().History(key.kind, key.name))}
}

// Snapshot implements Machine.
func (e *ReplicatedState) Snapshot() func() ([]byte, error) { return e.applier.Snapshot() }

// Restore implements Machine.
func (e *ReplicatedState) Restore(revision ident.Revision, data []byte) error {
	if err := e.applier.Restore(revision, data); err != nil {
		return fmt.Errorf("restore state: %w", err)
	}
	machine := e.applier.Machine()
	e.feed.ref.Tell(restored{config: machine.Config(), history: machine.Histories()})
	return nil
}
