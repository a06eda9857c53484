package agree

import (
	"time"

	"rhubarbrack/ident"
)

// MemberStatus is what a node knows about a member.
type MemberStatus struct {
	member Member
	match  ident.Revision
	heard  time.Time
}

// Member returns the member.
func (m MemberStatus) Member() Member { return m.member }

// Match returns the last entry that the member is known to have on disk. It
// is known to the leader only.
func (m MemberStatus) Match() ident.Revision { return m.match }

// LastContact returns when the node last heard from the member, or the zero time.
// A follower hears from the leader only.
func (m MemberStatus) LastContact() time.Time { return m.heard }

// Host returns the name of the node's host.
func (n *Node) Host() ident.Host { return n.host }

// DiskID returns the identity of the node's disk.
func (n *Node) DiskID() DiskID { return n.disk }

// Role returns the part that the node plays.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() Term { return n.term }

// Leader returns the leader of the term, or "" when unknown.
func (n *Node) Leader() ident.Host { return n.leader }

// CommitRevision returns the last revision known to be committed.
func (n *Node) CommitRevision() ident.Revision { return n.commit }

// LastRevision returns the last revision of the log.
func (n *Node) LastRevision() ident.Revision { return n.log.last() }

// SnapshotRevision returns the last revision that the latest snapshot
// includes.
func (n *Node) SnapshotRevision() ident.Revision { return n.snapshot.revision }

// Members returns the membership in force.
func (n *Node) Members() Members { return n.members() }

// MemberStatus returns what the node knows about each member.
func (n *Node) MemberStatus() []MemberStatus {
	out := make([]MemberStatus, 0, n.members().Len())
	for _, m := range n.members().list {
		s := MemberStatus{member: m}
		p := n.lead.peers[m.host]
		switch {
		case m.host == n.host:
			s.match, s.heard = n.saved.last, n.now
		case p != nil:
			s.match, s.heard = p.match, p.heard
		case m.host == n.leader:
			s.heard = n.heard
		}
		out = append(out, s)
	}
	return out
}

// InitialMembers returns the membership at the formation of the cluster. It is empty
// before the formation and on a host that joined a running cluster.
func (n *Node) InitialMembers() Members { return n.formed }
