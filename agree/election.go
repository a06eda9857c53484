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
	if !n.now.Before(n.electionDeadline) {
		n.preCampaign()
	}
}

func (n *Node) isSoleVoter() bool {
	return n.members().Voters() == 1 && n.members().IsVoter(n.host)
}

// preCampaign asks the voters whether an election could succeed, without
// incrementing the term. A host that returns from a network partition
// therefore does not disrupt the leader.
func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, ""
	n.votes = map[ident.Host]bool{n.host: true}
	n.resetElectionTimer()
	n.requestVotes(MessagePreVote, n.term+1, false)
}

// campaign starts an election. The node sends its own vote as a message to
// itself, so that the vote counts only once it is durable.
func (n *Node) campaign(transfer bool) {
	n.role, n.leader = Candidate, ""
	n.term++
	n.vote = n.host
	n.votes = map[ident.Host]bool{}
	n.step.hardStateChanged = true
	n.resetElectionTimer()
	n.requestVotes(MessageVote, n.term, transfer)
	ownVote := NewMessage(MessageVoteResponse, n.term, n.host, n.host, n.diskID, n.diskID)
	n.sendAfterSync(ownVote)
}

func (n *Node) requestVotes(kind MessageKind, term Term, transfer bool) {
	for _, member := range n.members().list {
		if !member.voter || member.host == n.host {
			continue
		}
		m := n.newMessage(kind, member.host).WithPosition(n.log.last(), n.log.lastTerm()).WithFlags(false, transfer)
		m.term = term
		if kind == MessageVote {
			n.sendAfterSync(m)
		} else {
			n.send(m)
		}
	}
}

// becomeFollower makes the node a follower in the given term, which may be the
// current one.
func (n *Node) becomeFollower(term Term, leader ident.Host) {
	if n.role == Leader {
		n.stepDown()
	}
	if term > n.term {
		n.term, n.vote = term, ""
		n.step.hardStateChanged = true
	}
	if n.role != Follower {
		n.resetElectionTimer()
	}
	n.role, n.leader = Follower, leader
}

// hasLiveLeader reports whether the node leads, or received a message of the
// leader within the shortest election timeout. The node then ignores
// elections, so that a host that cannot reach the leader does not depose it.
func (n *Node) hasLiveLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.lastLeaderContact) < n.options.electionTimeout
}

func (n *Node) onPreVote(m Message) {
	response := n.response(MessagePreVoteResponse, m)
	if n.hasLiveLeader() || m.term <= n.term || !n.isUpToDate(m) {
		n.send(response.WithFlags(true, false))
		return
	}
	response.term = m.term
	n.send(response)
	n.deferElection(m)
}

// deferElection delays the own election after the node has granted a pre-vote,
// so that two elections at the same time do not prevent each other. Of two
// hosts that wait for pre-votes, the one with the newer log goes on, or else
// the one with the smaller name. The node defers to a host once in a term,
// since that host may be unable to receive the responses.
func (n *Node) deferElection(m Message) {
	if n.deferrals.hosts == nil || n.deferrals.term != n.term {
		n.deferrals = deferrals{term: n.term, hosts: map[ident.Host]bool{}}
	}
	if n.deferrals.hosts[m.from] || n.role == Candidate {
		return
	}
	isNewer := m.logTerm > n.log.lastTerm() || m.revision > n.log.last()
	if n.role == PreCandidate && !isNewer && n.host < m.from {
		return
	}
	n.deferrals.hosts[m.from] = true
	n.role = Follower
	n.resetElectionTimer()
}

// deferrals are the hosts for which the node has delayed its own election in a
// term.
type deferrals struct {
	term  Term
	hosts map[ident.Host]bool
}

func (n *Node) onPreVoteResponse(m Message) {
	if n.role != PreCandidate || m.reject || m.term != n.term+1 {
		return
	}
	n.votes[m.from] = true
	if n.members().hasMajority(n.hasVote) {
		n.campaign(false)
	}
}

func (n *Node) onVote(m Message) {
	canVote := n.vote == "" || n.vote == m.from
	grant := canVote && n.isUpToDate(m)
	if grant {
		if n.vote != m.from {
			n.vote = m.from
			n.step.hardStateChanged = true
		}
		n.resetElectionTimer()
	}
	n.sendAfterSync(n.response(MessageVoteResponse, m).WithFlags(!grant, false))
}

func (n *Node) onVoteResponse(m Message) {
	if n.role != Candidate || m.reject {
		return
	}
	n.votes[m.from] = true
	if n.members().hasMajority(n.hasVote) {
		n.becomeLeader()
	}
}

func (n *Node) hasVote(host ident.Host) bool { return n.votes[host] }

// isUpToDate reports whether the log of a candidate is at least as complete as
// that of the node.
func (n *Node) isUpToDate(m Message) bool {
	lastTerm := n.log.lastTerm()
	return m.logTerm > lastTerm || m.logTerm == lastTerm && m.revision >= n.log.last()
}

// onTimeoutNow starts an election at the request of the leader. The log is
// complete and the leader agrees, so no pre-vote is needed.
func (n *Node) onTimeoutNow() {
	if n.members().IsVoter(n.host) && n.role != Leader {
		n.campaign(true)
	}
}
