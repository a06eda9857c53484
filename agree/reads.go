package agree

import "rhubarbrack/ident"

// readBarriers holds the pending read barriers of a leader. One round of
// confirmations is open at a time. The barriers in confirming belong to it;
// those in queued arrived later and share the next round.
type readBarriers struct {
	round      uint64
	roundOpen  bool
	revision   ident.Revision
	confirming []Tag
	queued     []Tag
}

func (n *Node) readBarrier(tag Tag) {
	if n.role != Leader {
		n.refuse(tag, ErrNotLeader)
		return
	}
	n.leaderState.reads.queued = append(n.leaderState.reads.queued, tag)
	n.startReadRound()
}

// startReadRound opens a round if barriers are queued. The commit revision of a
// new leader may be outdated until an entry of its own term is committed, so
// barriers wait for that.
func (n *Node) startReadRound() {
	r := &n.leaderState.reads
	if r.roundOpen || len(r.queued) == 0 || n.commit < n.leaderState.termStart {
		return
	}
	r.roundOpen, r.round, r.revision = true, r.round+1, n.commit
	r.confirming, r.queued = r.queued, nil
	for _, m := range n.members().list {
		if m.host == n.host {
			continue
		}
		p := n.leaderState.peers[m.host]
		if p.mode == streaming {
			n.sendAppend(m.host, p.next-1, nil)
		} else {
			n.sendAppend(m.host, 0, nil)
		}
	}
	n.confirmReads()
}

// confirmReads confirms the barriers of the open round once a majority has
// responded to a message of this round or a later one.
func (n *Node) confirmReads() {
	r := &n.leaderState.reads
	if !r.roundOpen || !n.members().hasMajority(n.hasConfirmedRound) {
		return
	}
	r.roundOpen = false
	for _, tag := range r.confirming {
		n.step.effects.barriers = append(n.step.effects.barriers, Barrier{tag: tag, revision: r.revision})
	}
	r.confirming = nil
	n.startReadRound()
}

func (n *Node) hasConfirmedRound(host ident.Host) bool {
	return host == n.host || n.leaderState.peers[host].confirmedRound >= n.leaderState.reads.round
}

func (n *Node) refuseReads() {
	for _, tag := range n.leaderState.reads.confirming {
		n.refuse(tag, ErrNotLeader)
	}
	for _, tag := range n.leaderState.reads.queued {
		n.refuse(tag, ErrNotLeader)
	}
}
