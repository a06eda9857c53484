package agree

import (
	"slices"

	"rhubarbrack/ident"
)

// promotionLag is how many entries a learner may lack when it becomes a
// voter. With a greater lag, a failure right after the promotion could leave
// no majority until the new voter has caught up.
const promotionLag = 256

// membership is the set of members from a revision on. It is in force as
// soon as it is in the log.
type membership struct {
	revision ident.Revision
	members  Members
}

// members returns the membership in force.
func (n *Node) members() Members {
	if len(n.changes) == 0 {
		return Members{}
	}
	return n.changes[len(n.changes)-1].members
}

func (n *Node) membersAt(revision ident.Revision) Members {
	for _, c := range slices.Backward(n.changes) {
		if c.revision <= revision {
			return c.members
		}
	}
	return Members{}
}

func (n *Node) restoreMembers() {
	if n.formed.Len() > 0 {
		n.changes = append(n.changes, membership{members: n.formed})
	}
	if n.snapshot.revision > 0 {
		n.changes = []membership{{revision: n.snapshot.revision, members: n.snapshot.members}}
	}
	for _, e := range n.log.entries {
		if e.kind == EntryMembers && e.revision > n.snapshot.revision {
			n.changes = append(n.changes, membership{revision: e.revision, members: e.members})
		}
	}
}

func (n *Node) dropChanges(after ident.Revision) {
	for len(n.changes) > 0 && n.changes[len(n.changes)-1].revision > after {
		n.changes = n.changes[:len(n.changes)-1]
	}
}

// compactChanges keeps the memberships from the snapshot on.
func (n *Node) compactChanges() {
	for len(n.changes) > 1 && n.changes[1].revision <= n.snapshot.revision {
		n.changes = n.changes[1:]
	}
}

func (n *Node) changeMember(c ChangeMember) {
	if err := n.refuseChange(); err != nil {
		n.refuse(c.tag, err)
		return
	}
	members, err := n.changed(c)
	if err != nil {
		n.refuse(c.tag, err)
		return
	}
	revision := n.appendOwn(Entry{kind: EntryMembers, members: members})
	n.step.out.accepted = append(n.step.out.accepted, Accepted{tag: c.tag, revision: revision, term: n.term})
	n.syncPeers()
	// A smaller majority may already have what was waited for.
	n.advanceCommit()
	n.confirmReads()
	n.broadcast()
}

// refuseChange allows one change at a time. Before an entry of the current
// term is committed, an uncommitted change of an earlier leader could still
// come into force and share no majority with the new one.
func (n *Node) refuseChange() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.lead.transfer.active:
		return ErrTransferring
	case n.commit < n.lead.started, n.changes[len(n.changes)-1].revision > n.commit:
		return ErrChangePending
	}
	return nil
}

// changed returns the membership after a change.
func (n *Node) changed(c ChangeMember) (Members, error) {
	current := n.members()
	member, known := current.Find(c.member.host)
	switch {
	case c.kind == ChangeAdd && !known && c.member.host != "":
		return current.With(NewMember(c.member.host, c.member.address, c.member.disk, false)), nil
	case c.kind == ChangePromote && known && !member.voter:
		p := n.lead.peers[member.host]
		if p.match+promotionLag < n.log.last() || !n.isInContact(member.host) {
			return Members{}, ErrNotCaughtUp
		}
		member.voter = true
		return n.keepsMajority(current.With(member))
	case c.kind == ChangeRemove && known && member.host != n.host:
		return n.keepsMajority(current.Without(member.host))
	}
	return Members{}, ErrInvalidChange
}

// keepsMajority refuses a membership whose majority has not answered lately,
// because no later change could be committed.
func (n *Node) keepsMajority(members Members) (Members, error) {
	if !members.hasMajority(n.isInContact) {
		return Members{}, ErrNotCaughtUp
	}
	return members, nil
}
