package agree

import (
	"time"

	"rhubarbrack/ident"
)

// Node is one participant of the protocol. It is not safe for concurrent
// use; its owner calls Step.
type Node struct {
	host     ident.Host
	disk     DiskID
	options  options
	now      time.Time
	term     Term
	vote     ident.Host
	formed   Members
	log      history
	snapshot Snapshot
	changes  []membership
	role     Role
	leader   ident.Host
	commit   ident.Revision
	handed   ident.Revision
	heard    time.Time
	deadline time.Time
	votes    map[ident.Host]bool
	lead     leadership
	saved    saved
	step     stepState
}

// saved tracks which part of the state is durable.
type saved struct {
	number  uint64
	last    ident.Revision
	term    Term
	pending []pendingWrite
}

// pendingWrite is a write that is not known to be durable, with the messages
// that depend on it and on those before it.
type pendingWrite struct {
	number   uint64
	last     ident.Revision
	term     Term
	messages []Message
}

// stepState collects what one step changes.
type stepState struct {
	out      Effects
	hard     bool
	unsaved  []Entry
	snapshot ident.Option[Snapshot]
	held     []Message
	toSelf   []Message
}

// New returns a node with the state of a disk.
func New(host ident.Host, restored PersistentState, list ...Option) *Node {
	n := &Node{
		host:    host,
		disk:    restored.disk,
		options: newOptions(list),
		term:    restored.hard.term,
		vote:    restored.hard.vote,
		formed:  restored.hard.members,
		log:     restoreHistory(restored),
	}
	n.snapshot, _ = restored.snapshot.Get()
	n.commit, n.handed = n.snapshot.revision, n.snapshot.revision
	n.saved.last, n.saved.term = n.log.last(), n.term
	n.restoreMembers()
	return n
}

// Step processes one input at the given time and returns its effects. Times
// must not decrease.
func (n *Node) Step(now time.Time, input Input) Effects {
	n.now = now
	n.step = stepState{}
	if n.deadline.IsZero() {
		n.resetDeadline()
	}
	before := RoleChange{role: n.role, term: n.term, leader: n.leader}
	n.dispatch(input)
	n.settle()
	if n.commit > n.handed {
		n.step.out.committed = n.log.between(n.handed, n.commit)
		n.handed = n.commit
	}
	after := RoleChange{role: n.role, term: n.term, leader: n.leader}
	if after != before {
		n.step.out.change = ident.Some(after)
	}
	return n.step.out
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
		n.transfer(i)
	case Compact:
		n.compact(i)
	case Bootstrap:
		n.form(i.members)
	}
}

// settle turns the changes of the step into writes and handles the messages
// that the node sent to itself, until none is left.
func (n *Node) settle() {
	n.flush()
	for len(n.step.toSelf) > 0 {
		m := n.step.toSelf[0]
		n.step.toSelf = n.step.toSelf[1:]
		n.receive(m)
		n.flush()
	}
}

func (n *Node) flush() {
	s := &n.step
	_, install := s.snapshot.Get()
	if s.hard || install || len(s.unsaved) > 0 {
		n.saved.number++
		entries := s.unsaved
		if install {
			entries = n.log.after(n.log.base, int(^uint(0)>>1))
		}
		hard := NewHardState(n.term, n.vote, n.formed)
		s.out.writes = append(s.out.writes,
			Write{number: n.saved.number, hard: hard, entries: entries, snapshot: s.snapshot})
		n.saved.pending = append(n.saved.pending,
			pendingWrite{number: n.saved.number, last: n.log.last(), term: n.term})
		s.hard, s.unsaved, s.snapshot = false, nil, ident.None[Snapshot]()
	}
	held := s.held
	s.held = nil
	if last := len(n.saved.pending) - 1; last >= 0 {
		n.saved.pending[last].messages = append(n.saved.pending[last].messages, held...)
		return
	}
	n.release(held)
}

func (n *Node) release(messages []Message) {
	for _, m := range messages {
		if m.to == n.host {
			n.step.toSelf = append(n.step.toSelf, m)
		} else {
			n.step.out.messages = append(n.step.out.messages, m)
		}
	}
}

// synced records that all writes up to a number are durable and releases
// the messages that waited for them.
func (n *Node) synced(number uint64) {
	for len(n.saved.pending) > 0 && n.saved.pending[0].number <= number {
		w := n.saved.pending[0]
		n.saved.pending = n.saved.pending[1:]
		n.saved.last, n.saved.term = w.last, w.term
		n.release(w.messages)
	}
	if n.role == Leader {
		n.advanceSelf()
	}
}

// newMessage returns a message in the current term. The disk of an unknown
// recipient is that of the message being answered; see answer.
func (n *Node) newMessage(kind MessageKind, to ident.Host) Message {
	member, _ := n.members().Find(to)
	return NewMessage(kind, n.term, n.host, to, n.disk, member.disk)
}

// answer returns an answer to a message in the current term.
func (n *Node) answer(kind MessageKind, m Message) Message {
	return NewMessage(kind, n.term, n.host, m.from, n.disk, m.fromDisk)
}

// send sends a message that depends on no write.
func (n *Node) send(m Message) { n.release([]Message{m}) }

// hold sends a message when the writes up to now are durable.
func (n *Node) hold(m Message) { n.step.held = append(n.step.held, m) }

// append adds entries to the log and to the next write.
func (n *Node) append(entries ...Entry) {
	n.log.append(entries...)
	n.step.unsaved = append(n.step.unsaved, entries...)
	for _, e := range entries {
		if e.kind == EntryMembers {
			n.changes = append(n.changes, membership{revision: e.revision, members: e.members})
		}
	}
}

// truncate drops the entries after a revision. Outstanding writes no longer
// vouch for them.
func (n *Node) truncate(after ident.Revision) {
	if after < n.commit {
		panic("agree: a committed entry would be overwritten")
	}
	n.log.truncate(after)
	n.saved.last = min(n.saved.last, after)
	for i := range n.saved.pending {
		n.saved.pending[i].last = min(n.saved.pending[i].last, after)
	}
	n.dropChanges(after)
}

func (n *Node) resetDeadline() {
	spread := time.Duration(n.options.random.Int64N(int64(n.options.electionTimeout)))
	n.deadline = n.now.Add(n.options.electionTimeout + spread)
}

// compact replaces the log up to a revision by a snapshot, except for the
// entries that are retained for members that lag a little.
func (n *Node) compact(c Compact) {
	if c.revision <= n.snapshot.revision || c.revision > n.handed {
		return
	}
	members := n.membersAt(c.revision)
	if members.Len() == 0 {
		// A learner that has not reached the first membership in the log
		// cannot tell others who the members are.
		return
	}
	term, _ := n.log.term(c.revision)
	n.snapshot = NewSnapshot(c.revision, term, members, c.data)
	n.step.snapshot = ident.Some(n.snapshot)
	if retained := ident.Revision(n.options.retained); c.revision > retained {
		n.log.compact(c.revision - retained)
	}
	n.compactChanges()
}

// form gives the cluster its first membership.
func (n *Node) form(members Members) {
	if n.members().Len() > 0 || members.Len() == 0 {
		return
	}
	n.formed = members
	n.changes = append([]membership{{members: members}}, n.changes...)
	n.step.hard = true
	n.resetDeadline()
}
