package agree

import "rhubarbrack/ident"

func (n *Node) tick() {
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !n.members().IsVoter(n.host) {
		return
	}
	if n.isSoleVoter() {
		if n.role == Follower {
			n.campaign(false)
		}
		return
	}
	if !n.now.Before(n.deadline) {
		n.preCampaign()
	}
}

func (n *Node) isSoleVoter() bool {
	return n.members().Voters() == 1 && n.members().IsVoter(n.host)
}

// preCampaign asks the voters whether an election could succeed, without
// raising the term. A host that was cut off thus does not disturb the
// leader when it comes back.
func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, ""
	n.votes = map[ident.Host]bool{n.host: true}
	n.resetDeadline()
	n.askVoters(MessagePreVote, n.term+1, false)
}

// campaign starts an election. The node's own vote is a message to itself,
// so that it counts only when it is durable.
func (n *Node) campaign(transfer bool) {
	n.role, n.leader = Candidate, ""
	n.term++
	n.vote = n.host
	n.votes = map[ident.Host]bool{}
	n.step.hard = true
	n.resetDeadline()
	n.askVoters(MessageVote, n.term, transfer)
	self := NewMessage(MessageVoteResponse, n.term, n.host, n.host, n.disk, n.disk)
	n.hold(self)
}

func (n *Node) askVoters(kind MessageKind, term Term, transfer bool) {
	for _, member := range n.members().list {
		if !member.voter || member.host == n.host {
			continue
		}
		m := n.newMessage(kind, member.host).WithPosition(n.log.last(), n.log.lastTerm()).WithFlags(false, transfer)
		m.term = term
		if kind == MessageVote {
			n.hold(m)
		} else {
			n.send(m)
		}
	}
}

// becomeFollower enters a term, or leaves another role in the same term.
func (n *Node) becomeFollower(term Term, leader ident.Host) {
	if n.role == Leader {
		n.resign()
	}
	if term > n.term {
		n.term, n.vote = term, ""
		n.step.hard = true
	}
	if n.role != Follower {
		n.resetDeadline()
	}
	n.role, n.leader = Follower, leader
}

// hasLiveLeader reports whether the node leads or heard from a leader within
// the shortest election timeout. It then takes no part in elections, so that
// a host that cannot hear the leader does not end its term.
func (n *Node) hasLiveLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.heard) < n.options.electionTimeout
}

func (n *Node) onPreVote(m Message) {
	answer := n.answer(MessagePreVoteResponse, m)
	if n.hasLiveLeader() || m.term <= n.term || !n.isUpToDate(m) {
		n.send(answer.WithFlags(true, false))
		return
	}
	answer.term = m.term
	n.send(answer)
}

func (n *Node) onPreVoteAnswer(m Message) {
	if n.role != PreCandidate || m.reject || m.term != n.term+1 {
		return
	}
	n.votes[m.from] = true
	if n.members().hasMajority(n.hasVote) {
		n.campaign(false)
	}
}

func (n *Node) onVote(m Message) {
	free := n.vote == "" || n.vote == m.from
	grant := free && n.isUpToDate(m)
	if grant {
		if n.vote != m.from {
			n.vote = m.from
			n.step.hard = true
		}
		n.resetDeadline()
	}
	n.hold(n.answer(MessageVoteResponse, m).WithFlags(!grant, false))
}

func (n *Node) onVoteAnswer(m Message) {
	if n.role != Candidate || m.reject {
		return
	}
	n.votes[m.from] = true
	if n.members().hasMajority(n.hasVote) {
		n.becomeLeader()
	}
}

func (n *Node) hasVote(host ident.Host) bool { return n.votes[host] }

// isUpToDate reports whether a candidate's log is at least as complete as
// the node's own.
func (n *Node) isUpToDate(m Message) bool {
	last := n.log.lastTerm()
	return m.logTerm > last || m.logTerm == last && m.revision >= n.log.last()
}

// onCampaign starts an election at the request of the leader. Its log is
// complete, and the leader agrees, so no pre-vote is needed.
func (n *Node) onCampaign() {
	if n.members().IsVoter(n.host) && n.role != Leader {
		n.campaign(true)
	}
}
