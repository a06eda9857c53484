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
	// bootstrapped carries the initial membership of the cluster.
	bootstrapped struct{ members agree.Members }
	// bootstrapFailed ends the replica.
	bootstrapFailed struct{ err error }
	// flushProposals passes the queued proposals to the node.
	flushProposals struct{}
	propose        struct {
		data  []byte
		reply tasks.Reply[requestResult]
	}
	barrier            struct{ reply tasks.Reply[requestResult] }
	transferLeadership struct {
		target ident.Host
		reply  tasks.Reply[requestResult]
	}
	changeMember struct {
		kind   agree.ChangeKind
		member agree.Member
		reply  tasks.Reply[requestResult]
	}
	getStatus   struct{ reply tasks.Reply[Status] }
	getIdentity struct{ reply tasks.Reply[identity] }
	// batchReceived carries messages of another replica and its address.
	batchReceived struct {
		from     ident.Host
		address  string
		session  uint64
		sequence uint64
		messages []agree.Message
	}
)

// requestResult is the result of a request.
type requestResult struct {
	revision ident.Revision
	value    any
	err      error
}

// pendingEntry is a log entry whose proposer waits for the result.
type pendingEntry struct {
	term  agree.Term
	reply tasks.Reply[requestResult]
}

// replicaTask owns the node and the state machine. pendingRequests holds the
// requests that the node has not accepted or refused yet, and pendingEntries
// those that wait for their entry to be committed.
type replicaTask struct {
	self *tasks.Ref
	// encoding is true while a snapshot is being encoded.
	encoding         bool
	options          replicaOptions
	node             *agree.Node
	machine          StateMachine
	disk             *diskQueue
	peers            *peerSet
	reorder          *reorderBuffer
	applied          ident.Revision
	members          agree.Members
	snapshotTrigger  snapshotTrigger
	nextTag          agree.Tag
	pendingRequests  map[agree.Tag]tasks.Reply[requestResult]
	pendingEntries   map[ident.Revision]pendingEntry
	proposals        []agree.Proposal
	pendingTransfers []agree.Tag
	partialSnapshot  partialSnapshot
	leadingTerm      ident.Option[agree.Term]
	failure          error
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
	list := append([]agree.Option{agree.WithSeed(uint64(restored.DiskID()))}, o.nodeOptions...)
	t := &replicaTask{
		options:         o,
		node:            agree.New(host, restored, list...),
		machine:         machine,
		disk:            newDiskQueue(),
		peers:           newPeerSet(ctx, system, host, o),
		reorder:         newReorderBuffer(),
		pendingRequests: map[agree.Tag]tasks.Reply[requestResult]{},
		pendingEntries:  map[ident.Revision]pendingEntry{},
	}
	t.applied = t.node.SnapshotRevision()
	t.logMembers()
	t.snapshotTrigger = newSnapshotTrigger(t.applied, o)
	return t
}

// setRef sets the reference of the task to itself. It must be called before any
// message is sent to the task.
func (t *replicaTask) setRef(self *tasks.Ref) { t.self = self }

// Handle implements tasks.Task.
func (t *replicaTask) Handle(message any) {
	if t.failure != nil {
		return
	}
	switch m := message.(type) {
	case tick:
		t.step(agree.Tick{})
		t.peers.prune(t.node.Members())
		if t.node.Leader() == "" {
			t.peers.connect(t.node.Members())
		}
	case synced:
		t.step(agree.NewSynced(m.write))
	case diskFailed:
		t.fail(m.err)
	case batchReceived:
		t.receive(m)
	case chunkReceived:
		t.receiveChunk(m)
	case snapshotEncoded:
		t.compact(m)
	case bootstrapped:
		t.step(agree.NewBootstrap(m.members))
	case bootstrapFailed:
		t.fail(m.err)
	case getStatus:
		m.reply.Send(t.status())
	case getIdentity:
		m.reply.Send(identity{disk: t.node.DiskID(), formed: t.node.InitialMembers(), members: t.node.Members()})
	default:
		t.handleRequest(message)
	}
}

// Stop implements tasks.Stopper.
func (t *replicaTask) Stop() {
	if term, ok := t.leadingTerm.Get(); ok {
		t.endLeadership(term)
	}
}

// handleRequest passes the requests of the callers of Replica to the node.
func (t *replicaTask) handleRequest(message any) {
	switch m := message.(type) {
	case propose:
		// Proposals that are already queued behind this one are combined into
		// one step, so that they share messages and a sync.
		if len(t.proposals) == 0 {
			t.self.Tell(flushProposals{})
		}
		t.proposals = append(t.proposals, agree.NewProposal(t.registerRequest(m.reply), m.data))
	case flushProposals:
		proposals := t.proposals
		t.proposals = nil
		t.step(agree.NewPropose(proposals...))
	case barrier:
		t.step(agree.NewReadBarrier(t.registerRequest(m.reply)))
	case changeMember:
		t.step(agree.NewChangeMember(t.registerRequest(m.reply), m.kind, m.member))
	case transferLeadership:
		tag := t.registerRequest(m.reply)
		t.pendingTransfers = append(t.pendingTransfers, tag)
		t.step(agree.NewTransferLeadership(tag, m.target))
	}
}

func (t *replicaTask) registerRequest(reply tasks.Reply[requestResult]) agree.Tag {
	t.nextTag++
	t.pendingRequests[t.nextTag] = reply
	return t.nextTag
}

func (t *replicaTask) receive(m batchReceived) {
	t.peers.learnAddress(m.from, m.address)
	for _, message := range t.reorder.add(m) {
		t.step(agree.NewReceive(message))
	}
}

func (t *replicaTask) step(input agree.Input) {
	if t.failure != nil {
		return
	}
	effects := t.node.Step(t.options.clock.Now(), input)
	t.disk.push(effects.Writes())
	for _, m := range effects.Messages() {
		t.peers.send(m, t.node.Members())
	}
	for _, a := range effects.Accepted() {
		t.trackEntry(a)
	}
	if s, ok := effects.InstallSnapshot().Get(); ok {
		t.installSnapshot(s)
	}
	for _, entry := range effects.Committed() {
		t.apply(entry)
	}
	for _, b := range effects.Barriers() {
		t.sendResult(b.Tag(), requestResult{revision: b.Revision()})
	}
	for _, r := range effects.Refusals() {
		t.sendResult(r.Tag(), requestResult{err: t.refusalError(r.Err())})
	}
	if c, ok := effects.RoleChange().Get(); ok {
		t.onRoleChange(c)
	}
	t.logMembers()
	t.snapshotIfDue()
}

// logMembers logs the latest membership in the log of this host if it changed.
func (t *replicaTask) logMembers() {
	members := t.node.Members()
	if members.Equal(t.members) {
		return
	}
	t.members = members
	var voters, learners []ident.Host
	for _, m := range members.List() {
		if m.IsVoter() {
			voters = append(voters, m.Host())
		} else {
			learners = append(learners, m.Host())
		}
	}
	t.options.logger.Info("ctrl: members changed", "host", t.node.Host(), "voters", voters, "learners", learners,
		"revision", t.node.LastRevision())
}

func (t *replicaTask) sendResult(tag agree.Tag, result requestResult) {
	if reply, ok := t.pendingRequests[tag]; ok {
		delete(t.pendingRequests, tag)
		reply.Send(result)
	}
}

func (t *replicaTask) refusalError(err error) error {
	if errors.Is(err, agree.ErrNotLeader) {
		leader := t.node.Leader()
		return &NotLeaderError{leader: leader, address: t.addressOf(leader)}
	}
	return err
}

func (t *replicaTask) addressOf(host ident.Host) string {
	if m, ok := t.node.Members().Find(host); ok {
		return m.Address()
	}
	return t.peers.address(host)
}

// trackEntry records the revision at which a request was appended. An earlier
// request at the same revision was replaced in the log and cannot be committed.
func (t *replicaTask) trackEntry(a agree.Accepted) {
	if old, ok := t.pendingEntries[a.Revision()]; ok {
		old.reply.Send(requestResult{err: ErrNotCommitted})
	}
	t.pendingEntries[a.Revision()] = pendingEntry{term: a.Term(), reply: t.pendingRequests[a.Tag()]}
	delete(t.pendingRequests, a.Tag())
}

func (t *replicaTask) installSnapshot(s agree.Snapshot) {
	if err := t.machine.Restore(s.Revision(), s.Data()); err != nil {
		t.fail(fmt.Errorf("restore snapshot %d: %w", s.Revision(), err))
		return
	}
	t.applied = s.Revision()
	t.snapshotTrigger.reset(t.applied)
	for revision, p := range t.pendingEntries {
		if revision <= s.Revision() {
			p.reply.Send(requestResult{err: ErrUnknown})
			delete(t.pendingEntries, revision)
		}
	}
}

func (t *replicaTask) apply(e agree.Entry) {
	if t.failure != nil {
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
	t.snapshotTrigger.add(e.Size())
	if p, ok := t.pendingEntries[e.Revision()]; ok {
		delete(t.pendingEntries, e.Revision())
		if p.term == e.Term() {
			p.reply.Send(requestResult{revision: e.Revision(), value: value})
		} else {
			p.reply.Send(requestResult{err: ErrNotCommitted})
		}
	}
	if e.Kind() == agree.EntryNoOp && t.node.Role() == agree.Leader && e.Term() == t.node.Term() {
		t.beginLeadership(e.Term())
	}
}

func (t *replicaTask) beginLeadership(term agree.Term) {
	t.leadingTerm = ident.Some(term)
	t.options.logger.Info("ctrl: leadership began", "host", t.node.Host(), "term", term)
	if t.options.observer != nil {
		t.options.observer.LeadershipBegan(term)
	}
}

func (t *replicaTask) endLeadership(term agree.Term) {
	t.leadingTerm = ident.None[agree.Term]()
	t.options.logger.Info("ctrl: leadership ended", "host", t.node.Host(), "term", term)
	if t.options.observer != nil {
		t.options.observer.LeadershipEnded(term)
	}
}

func (t *replicaTask) onRoleChange(c agree.RoleChange) {
	t.options.logger.Info("ctrl: role changed",
		"host", t.node.Host(), "role", c.Role().String(), "term", c.Term(), "leader", c.Leader())
	if c.Role() == agree.Leader {
		return
	}
	if term, ok := t.leadingTerm.Get(); ok {
		t.endLeadership(term)
	}
	for _, tag := range t.pendingTransfers {
		t.sendResult(tag, requestResult{})
	}
	t.pendingTransfers = nil
}

// fail ends the replica. The process must not continue with a disk or a state
// machine whose state is unknown.
func (t *replicaTask) fail(err error) {
	t.failure = fmt.Errorf("replica %s: %w", t.node.Host(), err)
	t.options.logger.Error("ctrl: replica failed", "host", t.node.Host(), "error", err)
	t.self.Stop()
}
