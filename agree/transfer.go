package agree

import (
	"time"

	"rhubarbrack/ident"
)

// transferState is a hand-over of leadership in progress. Proposals are
// refused meanwhile, so that the target can catch up.
type transferState struct {
	active bool
	tag    Tag
	target ident.Host
	until  time.Time
}

func (n *Node) transfer(t TransferLeadership) {
	if n.role != Leader {
		n.refuse(t.tag, ErrNotLeader)
		return
	}
	if n.lead.transfer.active {
		n.refuse(t.tag, ErrTransferring)
		return
	}
	target := t.target
	if target == "" {
		target = n.mostComplete()
	}
	if target == n.host || !n.members().IsVoter(target) || !n.isInContact(target) {
		n.refuse(t.tag, ErrNoTransferTarget)
		return
	}
	until := n.now.Add(n.options.electionTimeout)
	n.lead.transfer = transferState{active: true, tag: t.tag, target: target, until: until}
	n.finishTransfer()
}

// mostComplete returns the other voter in contact with the longest log.
func (n *Node) mostComplete() ident.Host {
	best, host := ident.Revision(0), ident.Host("")
	for _, m := range n.members().list {
		if m.host == n.host || !m.voter || !n.isInContact(m.host) {
			continue
		}
		if p := n.lead.peers[m.host]; host == "" || p.match > best {
			best, host = p.match, m.host
		}
	}
	return host
}

// finishTransfer tells the target to campaign once it has the whole log.
func (n *Node) finishTransfer() {
	t := &n.lead.transfer
	if n.role != Leader || !t.active {
		return
	}
	if p := n.lead.peers[t.target]; p != nil && p.match == n.log.last() {
		n.send(n.newMessage(MessageTimeoutNow, t.target))
	}
}

// tickTransfer gives up a transfer that takes longer than an election
// timeout.
func (n *Node) tickTransfer() {
	t := &n.lead.transfer
	if t.active && !n.now.Before(t.until) {
		t.active = false
		n.refuse(t.tag, ErrNoTransferTarget)
	}
}
