package agree

import (
	"time"

	"rhubarbrack/ident"
)

// mode tells how a leader sends entries to a peer.
type mode uint8

const (
	// probing sends one append at a time until the peer confirms a position.
	probing mode = iota
	// streaming sends ahead of the confirmations.
	streaming
	// installing waits until the peer has a snapshot.
	installing
)

// progress is what a leader knows about the log of a peer.
type progress struct {
	mode      mode
	match     ident.Revision
	next      ident.Revision
	paused    bool
	inFlight  []ident.Revision
	heard     time.Time
	round     uint64
	installed time.Time
}

// leadership is the state of a leader. It is empty in other roles.
type leadership struct {
	peers    map[ident.Host]*progress
	started  ident.Revision
	nextBeat time.Time
	bytes    int
	reads    reads
	transfer transferState
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.host
	n.lead = leadership{peers: map[ident.Host]*progress{}}
	for _, e := range n.log.between(n.commit, n.log.last()) {
		n.lead.bytes += e.Size()
	}
	n.syncPeers()
	n.lead.started = n.log.last() + 1
	n.appendOwn(Entry{kind: EntryNoOp})
	n.lead.nextBeat = n.now.Add(n.options.heartbeat)
	n.broadcast()
}

// resign refuses what waits for the leadership that ends.
func (n *Node) resign() {
	n.refuseReads()
	if n.lead.transfer.active {
		n.lead.transfer.active = false
	}
	n.lead = leadership{}
}

// syncPeers makes the progress table follow the membership.
func (n *Node) syncPeers() {
	members := n.members()
	for host := range n.lead.peers {
		if _, ok := members.Find(host); !ok {
			delete(n.lead.peers, host)
		}
	}
	for _, m := range members.list {
		if n.lead.peers[m.host] == nil {
			n.lead.peers[m.host] = &progress{next: n.log.last() + 1, heard: n.now}
		}
	}
}

// appendOwn adds an entry in the leader's term and returns its revision.
func (n *Node) appendOwn(e Entry) ident.Revision {
	e.revision, e.term = n.log.last()+1, n.term
	n.lead.bytes += e.Size()
	n.append(e)
	return e.revision
}

func (n *Node) tickLeader() {
	if !n.members().hasMajority(n.isInContact) {
		n.becomeFollower(n.term, "")
		return
	}
	n.tickTransfer()
	if n.now.Before(n.lead.nextBeat) {
		return
	}
	n.lead.nextBeat = n.now.Add(n.options.heartbeat)
	n.beat()
}

// isInContact reports whether a host answered within one election timeout.
func (n *Node) isInContact(host ident.Host) bool {
	if host == n.host {
		return true
	}
	p := n.lead.peers[host]
	return p != nil && n.now.Sub(p.heard) < n.options.electionTimeout
}

// beat sends every peer a message, with entries where a probe is due.
func (n *Node) beat() {
	for _, m := range n.members().list {
		p := n.lead.peers[m.host]
		switch {
		case m.host == n.host:
		case p.mode == probing:
			p.paused = false
			n.replicate(m.host, p)
		case p.mode == installing:
			n.beatInstalling(m.host, p)
		default:
			n.sendAppend(m.host, p.next-1, nil)
		}
	}
}

func (n *Node) beatInstalling(host ident.Host, p *progress) {
	if n.now.Sub(p.installed) >= snapshotTimeouts*n.options.electionTimeout {
		n.sendSnapshot(host, p)
		return
	}
	// The position before the first entry is the only one that every log
	// agrees on.
	n.sendAppend(host, 0, nil)
}

func (n *Node) broadcast() {
	for _, m := range n.members().list {
		if m.host != n.host {
			n.replicate(m.host, n.lead.peers[m.host])
		}
	}
}

// replicate sends a peer what it lacks, within the bounds in flight.
func (n *Node) replicate(host ident.Host, p *progress) {
	for {
		switch {
		case p.mode == installing, p.mode == probing && p.paused:
			return
		case p.mode == streaming && (p.next > n.log.last() || len(p.inFlight) >= n.options.inFlight):
			return
		}
		if _, ok := n.log.term(p.next - 1); !ok {
			n.sendSnapshot(host, p)
			return
		}
		entries := n.log.after(p.next-1, n.options.messageBytes)
		n.sendAppend(host, p.next-1, entries)
		if p.mode == probing {
			p.paused = true
			return
		}
		p.next += ident.Revision(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

func (n *Node) sendAppend(host ident.Host, after ident.Revision, entries []Entry) {
	term, _ := n.log.term(after)
	m := n.newMessage(MessageAppend, host).WithPosition(after, term)
	n.send(m.WithProgress(n.commit, 0, n.lead.reads.round).WithEntries(entries))
}

func (n *Node) sendSnapshot(host ident.Host, p *progress) {
	p.mode, p.paused, p.inFlight, p.installed = installing, false, nil, n.now
	m := n.newMessage(MessageInstallSnapshot, host).WithSnapshot(n.snapshot)
	n.send(m.WithProgress(n.commit, 0, n.lead.reads.round))
}

func (n *Node) onAppendAnswer(m Message) {
	p := n.lead.peers[m.from]
	if n.role != Leader || p == nil {
		return
	}
	returned := !n.isInContact(m.from)
	p.heard = n.now
	p.round = max(p.round, m.round)
	if returned && p.mode == installing {
		// A snapshot sent while the peer was away is lost. Without it the peer
		// counts for no majority, so the leader does not wait for the timeout.
		n.sendSnapshot(m.from, p)
	}
	if m.reject {
		n.onRejected(m, p)
	} else {
		n.onConfirmed(m, p)
	}
	n.confirmReads()
	n.finishTransfer()
}

// onRejected goes back to the position that the peer hinted at. Rejections
// that arrive late or twice have no effect.
func (n *Node) onRejected(m Message, p *progress) {
	if m.revision <= p.match || p.mode == installing {
		return
	}
	if p.mode == probing && p.next-1 != m.revision {
		return
	}
	hint, _ := n.log.lastNotAfter(m.hint, m.logTerm)
	if m.hint < n.log.base {
		hint = m.hint
	}
	p.mode, p.paused, p.inFlight = probing, false, nil
	p.next = max(p.match, hint) + 1
	n.replicate(m.from, p)
}

func (n *Node) onConfirmed(m Message, p *progress) {
	if p.mode == installing && m.revision < n.log.base {
		return
	}
	if m.revision > p.match {
		p.match = m.revision
	}
	p.next = max(p.next, p.match+1)
	if p.mode == installing || p.mode == probing && m.revision >= p.next-1 {
		p.mode, p.paused, p.inFlight = streaming, false, nil
		p.next = p.match + 1
	}
	for len(p.inFlight) > 0 && p.inFlight[0] <= p.match {
		p.inFlight = p.inFlight[1:]
	}
	n.advanceCommit()
	n.replicate(m.from, p)
}

// advanceSelf counts the leader's own durable entries.
func (n *Node) advanceSelf() {
	if p := n.lead.peers[n.host]; p != nil && n.saved.last > p.match {
		p.match = n.saved.last
		n.advanceCommit()
	}
}

// advanceCommit commits the entries of the current term that a majority of
// voters has on disk, and with them all before.
func (n *Node) advanceCommit() {
	target := n.commit
	for _, m := range n.members().list {
		p := n.lead.peers[m.host]
		if !m.voter || p == nil || p.match <= target {
			continue
		}
		candidate := p.match
		if term, ok := n.log.term(candidate); !ok || term != n.term {
			continue
		}
		if n.members().hasMajority(func(h ident.Host) bool { return n.lead.peers[h].match >= candidate }) {
			target = candidate
		}
	}
	if target == n.commit {
		return
	}
	for _, e := range n.log.between(n.commit, target) {
		n.lead.bytes -= e.Size()
	}
	n.commit = target
	n.startRound()
}

func (n *Node) propose(proposals []Proposal) {
	for _, p := range proposals {
		if err := n.refuseProposal(p); err != nil {
			n.refuse(p.tag, err)
			continue
		}
		revision := n.appendOwn(Entry{kind: EntryData, data: p.data})
		n.step.out.accepted = append(n.step.out.accepted, Accepted{tag: p.tag, revision: revision, term: n.term})
	}
	if n.role == Leader {
		n.broadcast()
	}
}

func (n *Node) refuseProposal(p Proposal) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.lead.transfer.active:
		return ErrTransferring
	case len(p.data)+entryOverhead > n.options.messageBytes:
		return ErrTooLarge
	case int(n.log.last()-n.commit) >= n.options.uncommittedEntries, n.lead.bytes >= n.options.uncommittedBytes:
		return ErrBusy
	case int(n.log.last()-n.saved.last) >= n.options.uncommittedEntries:
		// The others may commit without a leader whose disk hangs, but its
		// queue of writes must not grow without bound.
		return ErrBusy
	}
	return nil
}

func (n *Node) refuse(tag Tag, err error) {
	n.step.out.refusals = append(n.step.out.refusals, Refusal{tag: tag, err: err})
}
