package agree

import (
	"time"

	"rhubarbrack/ident"
)

// transferState is a leadership transfer in progress. Proposals are refused
// until it ends, so that the target can catch up.
type transferState struct {
	active   bool
	tag      Tag
	target   ident.Host
	deadline time.Time
}

func (n *Node) transferLeadership(t TransferLeadership) {
	if n.role != Leader {
		n.refuse(t.tag, ErrNotLeader)
		return
	}
	if n.leaderState.transfer.active {
		n.refuse(t.tag, ErrTransferring)
		return
	}
	target := t.target
	if target == "" {
		target = n.mostCompleteVoter()
	}
	if target == n.host || !n.members().IsVoter(target) || !n.isInContact(target) {
		n.refuse(t.tag, ErrNoTransferTarget)
		return
	}
	deadline := n.now.Add(n.options.electionTimeout)
	n.leaderState.transfer = transferState{active: true, tag: t.tag, target: target, deadline: deadline}
	n.sendTimeoutNow()
}

// mostCompleteVoter returns the voter whose log matches the furthest, among the
// others that are in contact with the leader.
func (n *Node) mostCompleteVoter() ident.Host {
	best, host := ident.Revision(0), ident.Host("")
	for _, m := range n.members().list {
		if m.host == n.host || !m.voter || !n.isInContact(m.host) {
			continue
		}
		if p := n.leaderState.peers[m.host]; host == "" || p.match > best {
			best, host = p.match, m.host
		}
	}
	return host
}

// sendTimeoutNow tells the target to start an election once it has the whole
// log.
func (n *Node) sendTimeoutNow() {
	t := &n.leaderState.transfer
	if n.role != Leader || !t.active {
		return
	}
	if p := n.leaderState.peers[t.target]; p != nil && p.match == n.log.last() {
		n.send(n.newMessage(MessageTimeoutNow, t.target))
	}
}

// expireTransfer aborts a transfer that takes longer than an election timeout.
func (n *Node) expireTransfer() {
	t := &n.leaderState.transfer
	if t.active && !n.now.Before(t.deadline) {
		t.active = false
		n.refuse(t.tag, ErrNoTransferTarget)
	}
}
