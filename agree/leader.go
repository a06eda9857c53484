package agree

import (
	"time"

	"rhubarbrack/ident"
)

// progressMode is the way in which a leader replicates entries to a peer.
type progressMode uint8

const (
	// probing sends one append at a time until the peer confirms that its log
	// matches.
	probing progressMode = iota
	// streaming pipelines appends without waiting for the responses.
	streaming
	// installingSnapshot sends no entries until the peer has the snapshot.
	installingSnapshot
)

// progress is what a leader knows about the log of a peer: match is the last
// revision known to be on its disk, next the first one to send. In probing mode,
// paused is set while an append is unacknowledged. inFlight holds the
// unacknowledged appends.
type progress struct {
	mode           progressMode
	match          ident.Revision
	next           ident.Revision
	paused         bool
	inFlight       inFlightAppends
	lastContact    time.Time
	confirmedRound uint64
	snapshotSentAt time.Time
}

// inFlightAppend is an unacknowledged append: its last revision and the size of
// its entries.
type inFlightAppend struct {
	last  ident.Revision
	bytes int
}

// inFlightAppends are the unacknowledged appends to a peer, the oldest first.
type inFlightAppends []inFlightAppend

// isFull reports whether no further append may be sent.
func (list inFlightAppends) isFull(o options) bool {
	bytes := 0
	for _, a := range list {
		bytes += a.bytes
	}
	return len(list) >= o.maxInFlight || bytes >= o.maxInFlightBytes
}

// leaderState is the volatile state of a leader. It is empty in other roles.
// termStart is the revision of the no-op entry that started the term, and
// uncommittedBytes the size of the uncommitted entries.
type leaderState struct {
	peers            map[ident.Host]*progress
	termStart        ident.Revision
	nextHeartbeat    time.Time
	uncommittedBytes int
	reads            readBarriers
	transfer         transferState
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.host
	n.leaderState = leaderState{peers: map[ident.Host]*progress{}}
	for _, e := range n.log.entriesBetween(n.commit, n.log.last()) {
		n.leaderState.uncommittedBytes += e.Size()
	}
	n.reconcilePeers()
	n.leaderState.termStart = n.log.last() + 1
	n.appendAsLeader(Entry{kind: EntryNoOp})
	n.leaderState.nextHeartbeat = n.now.Add(n.options.heartbeatInterval)
	n.broadcast()
}

// stepDown refuses the pending read barriers and drops the leader state. A
// transfer in progress ends without a refusal.
func (n *Node) stepDown() {
	n.refuseReads()
	if n.leaderState.transfer.active {
		n.leaderState.transfer.active = false
	}
	n.leaderState = leaderState{}
}

// reconcilePeers adds and removes progress records so that they match the
// membership.
func (n *Node) reconcilePeers() {
	members := n.members()
	for host := range n.leaderState.peers {
		if _, ok := members.Find(host); !ok {
			delete(n.leaderState.peers, host)
		}
	}
	for _, m := range members.list {
		if n.leaderState.peers[m.host] == nil {
			n.leaderState.peers[m.host] = &progress{next: n.log.last() + 1, lastContact: n.now}
		}
	}
}

// appendAsLeader appends an entry of the current term and returns its revision.
func (n *Node) appendAsLeader(e Entry) ident.Revision {
	e.revision, e.term = n.log.last()+1, n.term
	n.leaderState.uncommittedBytes += e.Size()
	n.append(e)
	return e.revision
}

func (n *Node) tickLeader() {
	if !n.members().hasMajority(n.isInContact) {
		n.becomeFollower(n.term, "")
		return
	}
	n.expireTransfer()
	if n.now.Before(n.leaderState.nextHeartbeat) {
		return
	}
	n.leaderState.nextHeartbeat = n.now.Add(n.options.heartbeatInterval)
	n.sendHeartbeats()
}

// isInContact reports whether a host responded within the last election
// timeout.
func (n *Node) isInContact(host ident.Host) bool {
	if host == n.host {
		return true
	}
	p := n.leaderState.peers[host]
	return p != nil && n.now.Sub(p.lastContact) < n.options.electionTimeout
}

// sendHeartbeats sends a message to every peer. Peers in probing mode get the
// next probe, which may carry entries.
func (n *Node) sendHeartbeats() {
	for _, m := range n.members().list {
		p := n.leaderState.peers[m.host]
		switch {
		case m.host == n.host:
		case p.mode == probing:
			p.paused = false
			n.replicate(m.host, p)
		case p.mode == installingSnapshot:
			n.heartbeatDuringSnapshot(m.host, p)
		default:
			n.sendAppend(m.host, p.next-1, nil)
		}
	}
}

func (n *Node) heartbeatDuringSnapshot(host ident.Host, p *progress) {
	if n.now.Sub(p.snapshotSentAt) >= snapshotResendTimeouts*n.options.electionTimeout {
		n.sendSnapshot(host, p)
		return
	}
	// Revision 0, before the first entry, is the only position that matches
	// every log.
	n.sendAppend(host, 0, nil)
}

func (n *Node) broadcast() {
	for _, m := range n.members().list {
		if m.host != n.host {
			n.replicate(m.host, n.leaderState.peers[m.host])
		}
	}
}

// replicate sends a peer the entries that it lacks, up to the bound on
// unacknowledged appends.
func (n *Node) replicate(host ident.Host, p *progress) {
	for {
		switch {
		case p.mode == installingSnapshot, p.mode == probing && p.paused:
			return
		case p.mode == streaming && (p.next > n.log.last() || p.inFlight.isFull(n.options)):
			return
		}
		if _, ok := n.log.term(p.next - 1); !ok {
			n.sendSnapshot(host, p)
			return
		}
		entries := n.log.entriesAfter(p.next-1, n.options.maxMessageBytes)
		n.sendAppend(host, p.next-1, entries)
		if p.mode == probing {
			p.paused = true
			return
		}
		p.next += ident.Revision(len(entries))
		p.inFlight = append(p.inFlight, inFlightAppend{last: p.next - 1, bytes: sizeOf(entries)})
	}
}

func (n *Node) sendAppend(host ident.Host, after ident.Revision, entries []Entry) {
	term, _ := n.log.term(after)
	m := n.newMessage(MessageAppend, host).WithPosition(after, term)
	n.send(m.WithProgress(n.commit, 0, n.leaderState.reads.round).WithEntries(entries))
}

func (n *Node) sendSnapshot(host ident.Host, p *progress) {
	p.mode, p.paused, p.inFlight, p.snapshotSentAt = installingSnapshot, false, nil, n.now
	m := n.newMessage(MessageInstallSnapshot, host).WithSnapshot(n.snapshot)
	n.send(m.WithProgress(n.commit, 0, n.leaderState.reads.round))
}

func (n *Node) onAppendResponse(m Message) {
	p := n.leaderState.peers[m.from]
	if n.role != Leader || p == nil {
		return
	}
	reconnected := !n.isInContact(m.from)
	p.lastContact = n.now
	p.confirmedRound = max(p.confirmedRound, m.round)
	if reconnected && p.mode == installingSnapshot {
		// A snapshot sent while the peer was unreachable is lost. The peer
		// counts towards no majority without it, so the leader sends it again
		// without waiting for the timeout.
		n.sendSnapshot(m.from, p)
	}
	if m.reject {
		n.onRejected(m, p)
	} else {
		n.onConfirmed(m, p)
	}
	n.confirmReads()
	n.sendTimeoutNow()
}

// onRejected falls back to the position that the peer hinted at. Late or
// duplicate rejections have no effect.
func (n *Node) onRejected(m Message, p *progress) {
	if m.revision <= p.match || p.mode == installingSnapshot {
		return
	}
	if p.mode == probing && p.next-1 != m.revision {
		return
	}
	hint, _ := n.log.findConflictByTerm(m.hint, m.logTerm)
	if m.hint < n.log.base {
		hint = m.hint
	}
	p.mode, p.paused, p.inFlight = probing, false, nil
	p.next = max(p.match, hint) + 1
	n.replicate(m.from, p)
}

func (n *Node) onConfirmed(m Message, p *progress) {
	if p.mode == installingSnapshot && m.revision < n.log.base {
		return
	}
	if m.revision > p.match {
		p.match = m.revision
	}
	p.next = max(p.next, p.match+1)
	if p.mode == installingSnapshot || p.mode == probing && m.revision >= p.next-1 {
		p.mode, p.paused, p.inFlight = streaming, false, nil
		p.next = p.match + 1
	}
	for len(p.inFlight) > 0 && p.inFlight[0].last <= p.match {
		p.inFlight = p.inFlight[1:]
	}
	n.advanceCommit()
	n.replicate(m.from, p)
}

// advanceOwnMatch updates the leader's own progress to its durable entries.
func (n *Node) advanceOwnMatch() {
	if p := n.leaderState.peers[n.host]; p != nil && n.durable.lastRevision > p.match {
		p.match = n.durable.lastRevision
		n.advanceCommit()
	}
}

// advanceCommit commits the entries of the current term that a majority of the
// voters has on disk, and with them all earlier entries.
func (n *Node) advanceCommit() {
	target := n.commit
	for _, m := range n.members().list {
		p := n.leaderState.peers[m.host]
		if !m.voter || p == nil || p.match <= target {
			continue
		}
		candidate := p.match
		if term, ok := n.log.term(candidate); !ok || term != n.term {
			continue
		}
		if n.members().hasMajority(func(h ident.Host) bool { return n.leaderState.peers[h].match >= candidate }) {
			target = candidate
		}
	}
	if target == n.commit {
		return
	}
	for _, e := range n.log.entriesBetween(n.commit, target) {
		n.leaderState.uncommittedBytes -= e.Size()
	}
	n.commit = target
	n.startReadRound()
}

func (n *Node) propose(proposals []Proposal) {
	for _, p := range proposals {
		if err := n.checkProposal(p); err != nil {
			n.refuse(p.tag, err)
			continue
		}
		revision := n.appendAsLeader(Entry{kind: EntryData, data: p.data})
		n.step.effects.accepted = append(n.step.effects.accepted, Accepted{tag: p.tag, revision: revision, term: n.term})
	}
	if n.role == Leader {
		n.broadcast()
	}
}

func (n *Node) checkProposal(p Proposal) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.leaderState.transfer.active:
		return ErrTransferring
	case len(p.data)+entryOverhead > n.options.maxProposalBytes:
		return ErrTooLarge
	case int(n.log.last()-n.commit) >= n.options.maxUncommittedEntries, n.leaderState.uncommittedBytes >= n.options.maxUncommittedBytes:
		return ErrBusy
	case int(n.log.last()-n.durable.lastRevision) >= n.options.maxUncommittedEntries:
		// The other voters can commit entries without the leader's disk. If that
		// disk stalls, its queue of writes must not grow without bound.
		return ErrBusy
	}
	return nil
}

func (n *Node) refuse(tag Tag, err error) {
	n.step.effects.refusals = append(n.step.effects.refusals, Refusal{tag: tag, err: err})
}
