package agree

import "rhubarbrack/ident"

// receive handles a message. Messages between other disks than those that
// the node knows are dropped.
func (n *Node) receive(m Message) {
	if m.to != n.host || m.toDisk != n.disk || !n.isKnownDisk(m) {
		return
	}
	if m.kind == MessagePreVote {
		n.onPreVote(m)
		return
	}
	if m.kind == MessageVote && n.hasLiveLeader() && !m.transfer {
		return
	}
	if m.term < n.term {
		n.refuseOldTerm(m)
		return
	}
	granted := m.kind == MessagePreVoteResponse && !m.reject
	if m.term > n.term && !granted {
		n.becomeFollower(m.term, "")
	}
	n.handle(m)
}

func (n *Node) handle(m Message) {
	switch m.kind {
	case MessagePreVoteResponse:
		n.onPreVoteAnswer(m)
	case MessageVote:
		n.onVote(m)
	case MessageVoteResponse:
		n.onVoteAnswer(m)
	case MessageAppend:
		n.onAppend(m)
	case MessageAppendResponse:
		n.onAppendAnswer(m)
	case MessageInstallSnapshot:
		n.onInstall(m)
	case MessageTimeoutNow:
		n.onCampaign()
	}
}

// isKnownDisk reports whether the sender's disk is the one in the
// membership. A sender that is no member is accepted: it may belong to a
// membership that the node has not seen yet.
func (n *Node) isKnownDisk(m Message) bool {
	member, ok := n.members().Find(m.from)
	return !ok || member.disk == m.fromDisk
}

// refuseOldTerm tells a sender in an old term about the current one. Without
// it, a leader in an old term would never step down for a node that has moved
// on.
func (n *Node) refuseOldTerm(m Message) {
	switch m.kind {
	case MessageAppend, MessageInstallSnapshot:
		n.hold(n.answer(MessageAppendResponse, m).WithFlags(true, false))
	case MessageVote:
		n.hold(n.answer(MessageVoteResponse, m).WithFlags(true, false))
	}
}

// follow records contact with the leader of the current term.
func (n *Node) follow(leader ident.Host) {
	if n.role == Leader {
		panic("agree: two leaders in one term")
	}
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.heard = n.now
	n.resetDeadline()
}

func (n *Node) onAppend(m Message) {
	n.follow(m.from)
	if m.revision >= n.commit {
		if term, ok := n.log.term(m.revision); !ok || term != m.logTerm {
			n.rejectAppend(m)
			return
		}
	}
	n.store(m.entries)
	last := max(m.revision+ident.Revision(len(m.entries)), n.commit)
	n.commit = max(n.commit, min(m.commit, last))
	answer := n.answer(MessageAppendResponse, m).WithProgress(0, 0, m.round)
	if len(m.entries) == 0 && n.saved.term == n.term {
		// A heartbeat is answered without waiting for a sync, so that a slow
		// disk does not end a leadership.
		n.send(answer.WithPosition(min(last, n.saved.last), 0))
		return
	}
	n.hold(answer.WithPosition(last, 0))
}

func (n *Node) rejectAppend(m Message) {
	var hint ident.Revision
	if m.revision > 0 {
		hint = m.revision - 1
	}
	hint, term := n.log.lastNotAfter(hint, m.logTerm)
	answer := n.answer(MessageAppendResponse, m).WithPosition(m.revision, term)
	n.hold(answer.WithProgress(0, hint, m.round).WithFlags(true, false))
}

// store appends the entries that the log lacks. Entries that conflict with
// the leader's are dropped first.
func (n *Node) store(entries []Entry) {
	for i, e := range entries {
		if e.revision <= n.commit {
			continue
		}
		term, ok := n.log.term(e.revision)
		if ok && term == e.term {
			continue
		}
		if ok {
			n.truncate(e.revision - 1)
		}
		n.append(entries[i:]...)
		return
	}
}

func (n *Node) onInstall(m Message) {
	n.follow(m.from)
	s := m.snapshot
	answer := n.answer(MessageAppendResponse, m).WithProgress(0, 0, m.round)
	if s.revision <= n.commit {
		n.hold(answer.WithPosition(n.commit, 0))
		return
	}
	if term, ok := n.log.term(s.revision); ok && term == s.term {
		n.commit = s.revision
		n.hold(answer.WithPosition(s.revision, 0))
		return
	}
	n.install(s)
	n.hold(answer.WithPosition(s.revision, 0))
}

// install replaces the whole log by a snapshot.
func (n *Node) install(s Snapshot) {
	n.snapshot = s
	n.log.reset(s)
	n.changes = []membership{{revision: s.revision, members: s.members}}
	n.commit, n.handed = s.revision, s.revision
	n.saved.last = 0
	for i := range n.saved.pending {
		n.saved.pending[i].last = 0
	}
	n.step.snapshot = ident.Some(s)
	n.step.out.install = ident.Some(s)
}
