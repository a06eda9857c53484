package agree

import (
	"time"

	"rhubarbrack/ident"
)

// MemberStatus is the status of a member as a node knows it.
type MemberStatus struct {
	member      Member
	match       ident.Revision
	lastContact time.Time
}

// Member returns the member.
func (m MemberStatus) Member() Member { return m.member }

// Match returns the revision of the last entry that is known to be on the
// member's disk and to match the log. Only the leader knows it.
func (m MemberStatus) Match() ident.Revision { return m.match }

// LastContact returns when the node last received a message from the member, or
// the zero time. A follower records only messages of the leader.
func (m MemberStatus) LastContact() time.Time { return m.lastContact }

// Host returns the name of the node's host.
func (n *Node) Host() ident.Host { return n.host }

// DiskID returns the identity of the node's disk.
func (n *Node) DiskID() DiskID { return n.diskID }

// Role returns the Raft role of the node.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() Term { return n.term }

// Leader returns the leader of the term, or "" when unknown.
func (n *Node) Leader() ident.Host { return n.leader }

// CommitRevision returns the last revision known to be committed.
func (n *Node) CommitRevision() ident.Revision { return n.commit }

// LastRevision returns the last revision of the log.
func (n *Node) LastRevision() ident.Revision { return n.log.last() }

// LogEntries returns the number of entries that are held in memory.
func (n *Node) LogEntries() int { return len(n.log.entries) }

// LogBytes returns the approximate size of these entries.
func (n *Node) LogBytes() int { return n.log.bytes }

// SnapshotRevision returns the last revision that the latest snapshot
// includes.
func (n *Node) SnapshotRevision() ident.Revision { return n.snapshot.revision }

// Members returns the latest membership in the log.
func (n *Node) Members() Members { return n.members() }

// MemberStatus returns the status of each member as far as the node knows it.
func (n *Node) MemberStatus() []MemberStatus {
	statuses := make([]MemberStatus, 0, n.members().Len())
	for _, m := range n.members().list {
		s := MemberStatus{member: m}
		p := n.leaderState.peers[m.host]
		switch {
		case m.host == n.host:
			s.match, s.lastContact = n.durable.lastRevision, n.now
		case p != nil:
			s.match, s.lastContact = p.match, p.lastContact
		case m.host == n.leader:
			s.lastContact = n.lastLeaderContact
		}
		statuses = append(statuses, s)
	}
	return statuses
}

// IsCurrent reports whether the committed entries include every command that was
// acknowledged before the leader of the term was elected, and all that the leader
// has reported as committed since. They need not after a restart, until a leader
// has committed an entry of its own term, and on a node that has lost contact.
func (n *Node) IsCurrent() bool {
	term, ok := n.log.term(n.commit)
	return n.hasLiveLeader() && ok && term == n.term && n.commit >= n.leaderCommit
}

// InitialMembers returns the membership that the cluster was bootstrapped with.
// It is empty before the bootstrap and on a host that joined a running cluster.
func (n *Node) InitialMembers() Members { return n.initialMembers }
