package agree

import (
	"time"

	"rhubarbrack/ident"
)

// Node is one participant of the protocol. It is not safe for concurrent
// use; its owner calls Step. Entries up to revision delivered have been returned
// as committed. leaderCommit is the greatest revision that a leader has reported
// as committed.
type Node struct {
	host              ident.Host
	diskID            DiskID
	options           options
	now               time.Time
	term              Term
	vote              ident.Host
	initialMembers    Members
	log               memoryLog
	snapshot          Snapshot
	memberships       []membership
	role              Role
	leader            ident.Host
	commit            ident.Revision
	delivered         ident.Revision
	lastLeaderContact time.Time
	leaderCommit      ident.Revision
	deferrals         deferrals
	electionDeadline  time.Time
	votes             map[ident.Host]bool
	leaderState       leaderState
	durable           durableState
	step              stepState
}

// durableState tracks which part of the state is durable. lastWrite is the
// number of the latest write.
type durableState struct {
	lastWrite     uint64
	lastRevision  ident.Revision
	term          Term
	pendingWrites []pendingWrite
}

// pendingWrite is a write that is not known to be durable, with the messages
// that depend on it and on earlier writes.
type pendingWrite struct {
	number       uint64
	lastRevision ident.Revision
	term         Term
	messages     []Message
}

// stepState collects the changes and the effects of one step. Deferred messages
// depend on the writes of the step or on earlier pending ones.
type stepState struct {
	effects          Effects
	hardStateChanged bool
	newEntries       []Entry
	snapshot         ident.Option[Snapshot]
	deferred         []Message
	selfMessages     []Message
}

// New returns a node that is restored from the content of its disk.
func New(host ident.Host, restored PersistentState, list ...Option) *Node {
	n := &Node{
		host:           host,
		diskID:         restored.diskID,
		options:        newOptions(list),
		term:           restored.hardState.term,
		vote:           restored.hardState.vote,
		initialMembers: restored.hardState.members,
		log:            restoreMemoryLog(restored),
	}
	n.snapshot, _ = restored.snapshot.Get()
	n.commit, n.delivered = n.snapshot.revision, n.snapshot.revision
	n.durable.lastRevision, n.durable.term = n.log.last(), n.term
	n.restoreMemberships()
	return n
}

// Step processes one input at the given time and returns its effects. Times
// must not decrease.
func (n *Node) Step(now time.Time, input Input) Effects {
	n.now = now
	n.step = stepState{}
	if n.electionDeadline.IsZero() {
		n.resetElectionTimer()
	}
	before := RoleChange{role: n.role, term: n.term, leader: n.leader}
	n.dispatch(input)
	n.deliverSelfMessages()
	if n.commit > n.delivered {
		n.step.effects.committed = n.log.entriesBetween(n.delivered, n.commit)
		n.delivered = n.commit
	}
	after := RoleChange{role: n.role, term: n.term, leader: n.leader}
	if after != before {
		n.step.effects.roleChange = ident.Some(after)
	}
	return n.step.effects
}

func (n *Node) dispatch(input Input) {
	switch i := input.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.receive(i.message)
	case Propose:
		n.propose(i.proposals)
	case ReadBarrier:
		n.readBarrier(i.tag)
	case Synced:
		n.synced(i.write)
	case ChangeMember:
		n.changeMember(i)
	case TransferLeadership:
		n.transferLeadership(i)
	case Compact:
		n.compact(i)
	case Bootstrap:
		n.bootstrap(i.members)
	}
}

// deliverSelfMessages turns the changes of the step into writes and processes
// the messages that the node sent to itself, until none is left.
func (n *Node) deliverSelfMessages() {
	n.flushWrites()
	for len(n.step.selfMessages) > 0 {
		m := n.step.selfMessages[0]
		n.step.selfMessages = n.step.selfMessages[1:]
		n.receive(m)
		n.flushWrites()
	}
}

// flushWrites emits a write when the step changed the persistent state. The
// deferred messages then wait for the latest pending write.
func (n *Node) flushWrites() {
	s := &n.step
	_, hasSnapshot := s.snapshot.Get()
	if s.hardStateChanged || hasSnapshot || len(s.newEntries) > 0 {
		n.durable.lastWrite++
		entries := s.newEntries
		if hasSnapshot {
			entries = n.log.entriesAfter(n.log.base, int(^uint(0)>>1))
		}
		hard := NewHardState(n.term, n.vote, n.initialMembers)
		s.effects.writes = append(s.effects.writes,
			Write{number: n.durable.lastWrite, hardState: hard, entries: entries, snapshot: s.snapshot})
		n.durable.pendingWrites = append(n.durable.pendingWrites,
			pendingWrite{number: n.durable.lastWrite, lastRevision: n.log.last(), term: n.term})
		s.hardStateChanged, s.newEntries, s.snapshot = false, nil, ident.None[Snapshot]()
	}
	deferred := s.deferred
	s.deferred = nil
	if last := len(n.durable.pendingWrites) - 1; last >= 0 {
		n.durable.pendingWrites[last].messages = append(n.durable.pendingWrites[last].messages, deferred...)
		return
	}
	n.emit(deferred)
}

// emit adds messages to the effects of the step, or to the messages to the node
// itself.
func (n *Node) emit(messages []Message) {
	for _, m := range messages {
		if m.to == n.host {
			n.step.selfMessages = append(n.step.selfMessages, m)
		} else {
			n.step.effects.messages = append(n.step.effects.messages, m)
		}
	}
}

// synced records that all writes up to a number are durable and emits the
// messages that waited for them.
func (n *Node) synced(number uint64) {
	for len(n.durable.pendingWrites) > 0 && n.durable.pendingWrites[0].number <= number {
		w := n.durable.pendingWrites[0]
		n.durable.pendingWrites = n.durable.pendingWrites[1:]
		n.durable.lastRevision, n.durable.term = w.lastRevision, w.term
		n.emit(w.messages)
	}
	if n.role == Leader {
		n.advanceOwnMatch()
	}
}

// newMessage returns a message in the current term. The disk of a recipient
// that is no member is unknown here; response takes it from the request.
func (n *Node) newMessage(kind MessageKind, to ident.Host) Message {
	member, _ := n.members().Find(to)
	return NewMessage(kind, n.term, n.host, to, n.diskID, member.diskID)
}

// response returns a response to a message in the current term.
func (n *Node) response(kind MessageKind, m Message) Message {
	return NewMessage(kind, n.term, n.host, m.from, n.diskID, m.fromDisk)
}

// send emits a message that depends on no write.
func (n *Node) send(m Message) { n.emit([]Message{m}) }

// sendAfterSync emits a message once all writes up to now are durable.
func (n *Node) sendAfterSync(m Message) { n.step.deferred = append(n.step.deferred, m) }

// append appends entries to the log and adds them to the next write.
func (n *Node) append(entries ...Entry) {
	n.log.append(entries...)
	n.step.newEntries = append(n.step.newEntries, entries...)
	for _, e := range entries {
		if e.kind == EntryMembers {
			n.memberships = append(n.memberships, membership{revision: e.revision, members: e.members})
		}
	}
}

// truncate drops the entries after a revision. The completion of pending writes
// no longer makes these entries durable.
func (n *Node) truncate(after ident.Revision) {
	if after < n.commit {
		panic("agree: a committed entry would be overwritten")
	}
	n.log.truncate(after)
	n.durable.lastRevision = min(n.durable.lastRevision, after)
	for i := range n.durable.pendingWrites {
		n.durable.pendingWrites[i].lastRevision = min(n.durable.pendingWrites[i].lastRevision, after)
	}
	n.truncateMemberships(after)
}

func (n *Node) resetElectionTimer() {
	jitter := time.Duration(n.options.random.Int64N(int64(n.options.electionTimeout)))
	n.electionDeadline = n.now.Add(n.options.electionTimeout + jitter)
}

// compact replaces the log up to a revision with a snapshot. It retains some
// entries before the revision for members that lag slightly behind.
func (n *Node) compact(c Compact) {
	if c.revision <= n.snapshot.revision || c.revision > n.delivered {
		return
	}
	members := n.membersAt(c.revision)
	if members.Len() == 0 {
		// A learner that has not reached the first membership in the log does
		// not know the members, which a snapshot must include.
		return
	}
	term, _ := n.log.term(c.revision)
	n.snapshot = NewSnapshot(c.revision, term, members, c.data)
	n.step.snapshot = ident.Some(n.snapshot)
	n.log.compact(n.log.retainedFrom(c.revision, n.options.retainedEntries, n.options.retainedBytes))
	n.compactMemberships()
}

// bootstrap sets the initial membership of the cluster.
func (n *Node) bootstrap(members Members) {
	if n.members().Len() > 0 || members.Len() == 0 {
		return
	}
	n.initialMembers = members
	n.memberships = append([]membership{{members: members}}, n.memberships...)
	n.step.hardStateChanged = true
	n.resetElectionTimer()
}
