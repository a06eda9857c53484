package agree

import "rhubarbrack/ident"

// receive processes a message. It drops messages that are addressed to another
// disk or come from another disk than the membership records for the sender.
func (n *Node) receive(m Message) {
	if m.to != n.host || m.toDisk != n.diskID || !n.isKnownDisk(m) {
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
		n.rejectStaleTerm(m)
		return
	}
	isGrantedPreVote := m.kind == MessagePreVoteResponse && !m.reject
	if m.term > n.term && !isGrantedPreVote {
		n.becomeFollower(m.term, "")
	}
	n.handle(m)
}

func (n *Node) handle(m Message) {
	switch m.kind {
	case MessagePreVoteResponse:
		n.onPreVoteResponse(m)
	case MessageVote:
		n.onVote(m)
	case MessageVoteResponse:
		n.onVoteResponse(m)
	case MessageAppend:
		n.onAppend(m)
	case MessageAppendResponse:
		n.onAppendResponse(m)
	case MessageInstallSnapshot:
		n.onInstallSnapshot(m)
	case MessageTimeoutNow:
		n.onTimeoutNow()
	}
}

// isKnownDisk reports whether the sender's disk is the one in the membership.
// It accepts a sender that is no member, because the sender may belong to a
// membership that the node has not received yet.
func (n *Node) isKnownDisk(m Message) bool {
	member, ok := n.members().Find(m.from)
	return !ok || member.diskID == m.fromDisk
}

// rejectStaleTerm informs a sender in an earlier term of the current term.
// Otherwise a leader that sends to a node in a later term would never step down.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.kind {
	case MessageAppend, MessageInstallSnapshot:
		n.sendAfterSync(n.response(MessageAppendResponse, m).WithFlags(true, false))
	case MessageVote:
		n.sendAfterSync(n.response(MessageVoteResponse, m).WithFlags(true, false))
	}
}

// acceptLeader records a message from the leader of the current term.
func (n *Node) acceptLeader(leader ident.Host) {
	if n.role == Leader {
		panic("agree: two leaders in one term")
	}
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.lastLeaderContact = n.now
	n.resetElectionTimer()
}

func (n *Node) onAppend(m Message) {
	n.acceptLeader(m.from)
	n.leaderCommit = max(n.leaderCommit, m.commit)
	if m.revision >= n.commit {
		if term, ok := n.log.term(m.revision); !ok || term != m.logTerm {
			n.rejectAppend(m)
			return
		}
	}
	n.storeEntries(m.entries)
	last := max(m.revision+ident.Revision(len(m.entries)), n.commit)
	n.commit = max(n.commit, min(m.commit, last))
	response := n.response(MessageAppendResponse, m).WithProgress(0, 0, m.round)
	if len(m.entries) == 0 && n.durable.term == n.term {
		// The response to a heartbeat does not wait for a sync, so that a slow
		// disk does not end a leadership.
		n.send(response.WithPosition(min(last, n.durable.lastRevision), 0))
		return
	}
	n.sendAfterSync(response.WithPosition(last, 0))
}

func (n *Node) rejectAppend(m Message) {
	var hint ident.Revision
	if m.revision > 0 {
		hint = m.revision - 1
	}
	hint, term := n.log.findConflictByTerm(hint, m.logTerm)
	response := n.response(MessageAppendResponse, m).WithPosition(m.revision, term)
	n.sendAfterSync(response.WithProgress(0, hint, m.round).WithFlags(true, false))
}

// storeEntries appends the entries that the log lacks. It first drops entries
// that conflict with those of the leader.
func (n *Node) storeEntries(entries []Entry) {
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

func (n *Node) onInstallSnapshot(m Message) {
	n.acceptLeader(m.from)
	n.leaderCommit = max(n.leaderCommit, m.commit)
	s := m.snapshot
	response := n.response(MessageAppendResponse, m).WithProgress(0, 0, m.round)
	if s.revision <= n.commit {
		n.sendAfterSync(response.WithPosition(n.commit, 0))
		return
	}
	if term, ok := n.log.term(s.revision); ok && term == s.term {
		n.commit = s.revision
		n.sendAfterSync(response.WithPosition(s.revision, 0))
		return
	}
	n.installSnapshot(s)
	n.sendAfterSync(response.WithPosition(s.revision, 0))
}

// installSnapshot replaces the whole log with a snapshot.
func (n *Node) installSnapshot(s Snapshot) {
	n.snapshot = s
	n.log.reset(s)
	n.memberships = []membership{{revision: s.revision, members: s.members}}
	n.commit, n.delivered = s.revision, s.revision
	n.durable.lastRevision = 0
	for i := range n.durable.pendingWrites {
		n.durable.pendingWrites[i].lastRevision = 0
	}
	n.step.snapshot = ident.Some(s)
	n.step.effects.install = ident.Some(s)
}
