package agree

import (
	"slices"

	"rhubarbrack/ident"
)

// maxPromotionLag is the number of entries by which a learner may trail the
// log when it is promoted to a voter. With a greater lag, a failure right after
// the promotion could leave no majority until the new voter has caught up.
const maxPromotionLag = 256

// membership is the set of members from a revision on. It takes effect as soon
// as its entry is in the log, before the entry is committed.
type membership struct {
	revision ident.Revision
	members  Members
}

// members returns the latest membership in the log.
func (n *Node) members() Members {
	if len(n.memberships) == 0 {
		return Members{}
	}
	return n.memberships[len(n.memberships)-1].members
}

func (n *Node) membersAt(revision ident.Revision) Members {
	for _, c := range slices.Backward(n.memberships) {
		if c.revision <= revision {
			return c.members
		}
	}
	return Members{}
}

func (n *Node) restoreMemberships() {
	if n.initialMembers.Len() > 0 {
		n.memberships = append(n.memberships, membership{members: n.initialMembers})
	}
	if n.snapshot.revision > 0 {
		n.memberships = []membership{{revision: n.snapshot.revision, members: n.snapshot.members}}
	}
	for _, e := range n.log.entries {
		if e.kind == EntryMembers && e.revision > n.snapshot.revision {
			n.memberships = append(n.memberships, membership{revision: e.revision, members: e.members})
		}
	}
}

func (n *Node) truncateMemberships(after ident.Revision) {
	for len(n.memberships) > 0 && n.memberships[len(n.memberships)-1].revision > after {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships drops the memberships that were superseded before the
// snapshot.
func (n *Node) compactMemberships() {
	for len(n.memberships) > 1 && n.memberships[1].revision <= n.snapshot.revision {
		n.memberships = n.memberships[1:]
	}
}

func (n *Node) changeMember(c ChangeMember) {
	if err := n.checkMemberChange(); err != nil {
		n.refuse(c.tag, err)
		return
	}
	members, err := n.membersAfter(c)
	if err != nil {
		n.refuse(c.tag, err)
		return
	}
	revision := n.appendAsLeader(Entry{kind: EntryMembers, members: members})
	n.step.effects.accepted = append(n.step.effects.accepted, Accepted{tag: c.tag, revision: revision, term: n.term})
	n.reconcilePeers()
	// The majority of a smaller membership may already have acknowledged
	// pending entries and read barriers.
	n.advanceCommit()
	n.confirmReads()
	n.broadcast()
}

// checkMemberChange allows one uncommitted membership change at a time. Before
// an entry of the current term is committed, an uncommitted change of an
// earlier leader could still be committed, and its majorities need not overlap
// with those of the new one.
func (n *Node) checkMemberChange() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.leaderState.transfer.active:
		return ErrTransferring
	case n.commit < n.leaderState.termStart, n.memberships[len(n.memberships)-1].revision > n.commit:
		return ErrChangePending
	}
	return nil
}

// membersAfter returns the membership that results from a change.
func (n *Node) membersAfter(c ChangeMember) (Members, error) {
	current := n.members()
	member, known := current.Find(c.member.host)
	switch {
	case c.kind == ChangeAdd && !known && c.member.host != "":
		return current.With(NewMember(c.member.host, c.member.address, c.member.diskID, false)), nil
	case c.kind == ChangePromote && known && !member.voter:
		p := n.leaderState.peers[member.host]
		if p.match+maxPromotionLag < n.log.last() || !n.isInContact(member.host) {
			return Members{}, ErrNotCaughtUp
		}
		member.voter = true
		return n.requireReachableMajority(current.With(member))
	case c.kind == ChangeRemove && known && member.host != n.host:
		return n.requireReachableMajority(current.Without(member.host))
	}
	return Members{}, ErrInvalidChange
}

// requireReachableMajority refuses a membership of which no majority has
// responded within the last election timeout, because no later entry could be
// committed.
func (n *Node) requireReachableMajority(members Members) (Members, error) {
	if !members.hasMajority(n.isInContact) {
		return Members{}, ErrNotCaughtUp
	}
	return members, nil
}
