package ctrl

import (
	"context"
	"errors"
	"fmt"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// The messages of the replica task.
type (
	tick   struct{}
	synced struct{ write uint64 }
	// diskFailed ends the replica.
	diskFailed struct{ err error }
	// formed ends the formation of the cluster.
	formed struct{ members agree.Members }
	// formationFailed ends the replica.
	formationFailed struct{ err error }
	// flush commits the proposals that have gathered.
	flush   struct{}
	propose struct {
		data  []byte
		reply tasks.Reply[outcome]
	}
	barrier  struct{ reply tasks.Reply[outcome] }
	transfer struct {
		target ident.Host
		reply  tasks.Reply[outcome]
	}
	changeMember struct {
		kind   agree.ChangeKind
		member agree.Member
		reply  tasks.Reply[outcome]
	}
	askStatus   struct{ reply tasks.Reply[Status] }
	askIdentity struct{ reply tasks.Reply[identity] }
	// received holds messages of another replica and its address.
	received struct {
		from     ident.Host
		address  string
		session  uint64
		sequence uint64
		messages []agree.Message
	}
)

// outcome answers a request.
type outcome struct {
	revision ident.Revision
	value    any
	err      error
}

// position is a change in the log that somebody waits for.
type position struct {
	term  agree.Term
	reply tasks.Reply[outcome]
}

// replicaTask owns the node and the machine.
type replicaTask struct {
	self *tasks.Ref
	// encoding is true while a snapshot is being encoded.
	encoding  bool
	options   replicaOptions
	node      *agree.Node
	machine   StateMachine
	disk      *diskQueue
	peers     *peerSet
	order     *inOrder
	applied   ident.Revision
	snapshots snapshotTrigger
	nextTag   agree.Tag
	calls     map[agree.Tag]tasks.Reply[outcome]
	positions map[ident.Revision]position
	proposals []agree.Proposal
	transfers []agree.Tag
	assembly  assembly
	leading   ident.Option[agree.Term]
	fault     error
}

var (
	_ tasks.Task    = (*replicaTask)(nil)
	_ tasks.Stopper = (*replicaTask)(nil)
)

func newReplicaTask(
	ctx context.Context, system *tasks.System, host ident.Host, restored agree.PersistentState, machine StateMachine, o replicaOptions,
) *replicaTask {
	// The random identity of the disk makes the election timeouts of the
	// hosts differ.
	list := append([]agree.Option{agree.WithSeed(uint64(restored.DiskID()))}, o.node...)
	t := &replicaTask{
		options:   o,
		node:      agree.New(host, restored, list...),
		machine:   machine,
		disk:      newDiskQueue(),
		peers:     newPeerSet(ctx, system, host, o),
		order:     newInOrder(),
		calls:     map[agree.Tag]tasks.Reply[outcome]{},
		positions: map[ident.Revision]position{},
	}
	t.applied = t.node.SnapshotRevision()
	t.snapshots = newSnapshotTrigger(t.applied, o)
	return t
}

// begin gives the task its own address before any message is sent to it.
func (t *replicaTask) begin(self *tasks.Ref) { t.self = self }

// Handle implements tasks.Task.
func (t *replicaTask) Handle(message any) {
	if t.fault != nil {
		return
	}
	switch m := message.(type) {
	case tick:
		t.step(agree.Tick{})
		t.peers.prune(t.node.Members())
	case synced:
		t.step(agree.NewSynced(m.write))
	case diskFailed:
		t.fail(m.err)
	case received:
		t.receive(m)
	case chunk:
		t.receiveChunk(m)
	case snapshotReady:
		t.compact(m)
	case formed:
		t.step(agree.NewBootstrap(m.members))
	case formationFailed:
		t.fail(m.err)
	case askStatus:
		m.reply.Send(t.status())
	case askIdentity:
		m.reply.Send(identity{disk: t.node.DiskID(), formed: t.node.InitialMembers(), members: t.node.Members()})
	default:
		t.request(message)
	}
}

// Stop implements tasks.Stopper.
func (t *replicaTask) Stop() {
	if term, ok := t.leading.Get(); ok {
		t.endLeadership(term)
	}
}

// request handles the requests of users.
func (t *replicaTask) request(message any) {
	switch m := message.(type) {
	case propose:
		// Proposals that are already queued behind this one become one step,
		// so that they share messages and a sync.
		if len(t.proposals) == 0 {
			t.self.Tell(flush{})
		}
		t.proposals = append(t.proposals, agree.NewProposal(t.register(m.reply), m.data))
	case flush:
		proposals := t.proposals
		t.proposals = nil
		t.step(agree.NewPropose(proposals...))
	case barrier:
		t.step(agree.NewReadBarrier(t.register(m.reply)))
	case changeMember:
		t.step(agree.NewChangeMember(t.register(m.reply), m.kind, m.member))
	case transfer:
		tag := t.register(m.reply)
		t.transfers = append(t.transfers, tag)
		t.step(agree.NewTransferLeadership(tag, m.target))
	}
}

func (t *replicaTask) register(reply tasks.Reply[outcome]) agree.Tag {
	t.nextTag++
	t.calls[t.nextTag] = reply
	return t.nextTag
}

func (t *replicaTask) receive(m received) {
	t.peers.learn(m.from, m.address)
	for _, message := range t.order.take(m) {
		t.step(agree.NewReceive(message))
	}
}

func (t *replicaTask) step(input agree.Input) {
	if t.fault != nil {
		return
	}
	e := t.node.Step(t.options.clock.Now(), input)
	t.disk.push(e.Writes())
	for _, m := range e.Messages() {
		t.peers.send(m, t.node.Members())
	}
	for _, a := range e.Accepted() {
		t.accept(a)
	}
	if s, ok := e.InstallSnapshot().Get(); ok {
		t.install(s)
	}
	for _, entry := range e.Committed() {
		t.apply(entry)
	}
	for _, b := range e.Barriers() {
		t.answer(b.Tag(), outcome{revision: b.Revision()})
	}
	for _, r := range e.Refusals() {
		t.answer(r.Tag(), outcome{err: t.refusal(r.Err())})
	}
	if c, ok := e.RoleChange().Get(); ok {
		t.changeRole(c)
	}
	t.maybeSnapshot()
}

func (t *replicaTask) answer(tag agree.Tag, o outcome) {
	if reply, ok := t.calls[tag]; ok {
		delete(t.calls, tag)
		reply.Send(o)
	}
}

func (t *replicaTask) refusal(err error) error {
	if errors.Is(err, agree.ErrNotLeader) {
		leader := t.node.Leader()
		return &NotLeaderError{leader: leader, address: t.address(leader)}
	}
	return err
}

func (t *replicaTask) address(host ident.Host) string {
	if m, ok := t.node.Members().Find(host); ok {
		return m.Address()
	}
	return t.peers.address(host)
}

// accept notes at which position a caller's change stands. A position that
// now holds another change decides the earlier one's fate.
func (t *replicaTask) accept(a agree.Accepted) {
	if old, ok := t.positions[a.Revision()]; ok {
		old.reply.Send(outcome{err: ErrNotCommitted})
	}
	t.positions[a.Revision()] = position{term: a.Term(), reply: t.calls[a.Tag()]}
	delete(t.calls, a.Tag())
}

func (t *replicaTask) install(s agree.Snapshot) {
	if err := t.machine.Restore(s.Revision(), s.Data()); err != nil {
		t.fail(fmt.Errorf("restore snapshot %d: %w", s.Revision(), err))
		return
	}
	t.applied = s.Revision()
	t.snapshots.reset(t.applied)
	for revision, p := range t.positions {
		if revision <= s.Revision() {
			p.reply.Send(outcome{err: ErrUnknown})
			delete(t.positions, revision)
		}
	}
}

func (t *replicaTask) apply(e agree.Entry) {
	if t.fault != nil {
		return
	}
	var value any
	if e.Kind() == agree.EntryData {
		value = t.machine.Apply(e.Revision(), e.Data())
	}
	if err, ok := value.(error); ok {
		t.fail(fmt.Errorf("apply change: %w", err))
		return
	}
	t.applied = e.Revision()
	t.snapshots.add(e.Size())
	if p, ok := t.positions[e.Revision()]; ok {
		delete(t.positions, e.Revision())
		if p.term == e.Term() {
			p.reply.Send(outcome{revision: e.Revision(), value: value})
		} else {
			p.reply.Send(outcome{err: ErrNotCommitted})
		}
	}
	if e.Kind() == agree.EntryNoOp && t.node.Role() == agree.Leader && e.Term() == t.node.Term() {
		t.beginLeadership(e.Term())
	}
}

func (t *replicaTask) beginLeadership(term agree.Term) {
	t.leading = ident.Some(term)
	t.options.logger.Info("ctrl: leadership began", "host", t.node.Host(), "term", term)
	if t.options.observer != nil {
		t.options.observer.LeadershipBegan(term)
	}
}

func (t *replicaTask) endLeadership(term agree.Term) {
	t.leading = ident.None[agree.Term]()
	t.options.logger.Info("ctrl: leadership ended", "host", t.node.Host(), "term", term)
	if t.options.observer != nil {
		t.options.observer.LeadershipEnded(term)
	}
}

func (t *replicaTask) changeRole(c agree.RoleChange) {
	t.options.logger.Debug("ctrl: role changed",
		"host", t.node.Host(), "role", c.Role().String(), "term", c.Term(), "leader", c.Leader())
	if c.Role() == agree.Leader {
		return
	}
	if term, ok := t.leading.Get(); ok {
		t.endLeadership(term)
	}
	for _, tag := range t.transfers {
		t.answer(tag, outcome{})
	}
	t.transfers = nil
}

// fail ends the replica. The process must not go on with a disk or a machine
// whose state is unknown.
func (t *replicaTask) fail(err error) {
	t.fault = fmt.Errorf("replica %s: %w", t.node.Host(), err)
	t.options.logger.Error("ctrl: replica failed", "host", t.node.Host(), "error", err)
	t.self.Stop()
}
