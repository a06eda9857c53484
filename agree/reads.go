package agree

import "rhubarbrack/ident"

// reads are the barriers of a leader. One round of confirmations is open at
// a time; barriers that arrive meanwhile share the next one.
type reads struct {
	round    uint64
	open     bool
	revision ident.Revision
	asked    []Tag
	waiting  []Tag
}

func (n *Node) readBarrier(tag Tag) {
	if n.role != Leader {
		n.refuse(tag, ErrNotLeader)
		return
	}
	n.lead.reads.waiting = append(n.lead.reads.waiting, tag)
	n.startRound()
}

// startRound opens a round. The commit revision of a new leader may lag until
// an entry of its own term is committed, so barriers wait for that.
func (n *Node) startRound() {
	r := &n.lead.reads
	if r.open || len(r.waiting) == 0 || n.commit < n.lead.started {
		return
	}
	r.open, r.round, r.revision = true, r.round+1, n.commit
	r.asked, r.waiting = r.waiting, nil
	for _, m := range n.members().list {
		if m.host == n.host {
			continue
		}
		p := n.lead.peers[m.host]
		if p.mode == streaming {
			n.sendAppend(m.host, p.next-1, nil)
		} else {
			n.sendAppend(m.host, 0, nil)
		}
	}
	n.confirmReads()
}

// confirmReads answers the barriers of the open round once a majority has
// answered a message of the round or a later one.
func (n *Node) confirmReads() {
	r := &n.lead.reads
	if !r.open || !n.members().hasMajority(n.hasRound) {
		return
	}
	r.open = false
	for _, tag := range r.asked {
		n.step.out.barriers = append(n.step.out.barriers, Barrier{tag: tag, revision: r.revision})
	}
	r.asked = nil
	n.startRound()
}

func (n *Node) hasRound(host ident.Host) bool {
	return host == n.host || n.lead.peers[host].round >= n.lead.reads.round
}

func (n *Node) refuseReads() {
	for _, tag := range n.lead.reads.asked {
		n.refuse(tag, ErrNotLeader)
	}
	for _, tag := range n.lead.reads.waiting {
		n.refuse(tag, ErrNotLeader)
	}
}
