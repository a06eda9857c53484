package ctrl

import (
	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// Status is the status of a replica and its view of the cluster.
type Status struct {
	role     agree.Role
	term     agree.Term
	leader   ident.Host
	address  string
	commit   ident.Revision
	applied  ident.Revision
	last     ident.Revision
	snapshot ident.Revision
	entries  int
	bytes    int
	current  bool
	members  []agree.MemberStatus
}

// Role returns the Raft role of the replica.
func (s Status) Role() agree.Role { return s.role }

// Term returns the current term.
func (s Status) Term() agree.Term { return s.term }

// Leader returns the leader of the term, or "" when unknown.
func (s Status) Leader() ident.Host { return s.leader }

// LeaderAddress returns the address of the leader, or "" if unknown.
func (s Status) LeaderAddress() string { return s.address }

// CommitRevision returns the last revision known to be committed.
func (s Status) CommitRevision() ident.Revision { return s.commit }

// AppliedRevision returns the last revision that the state machine has applied.
func (s Status) AppliedRevision() ident.Revision { return s.applied }

// LastRevision returns the last revision of the log.
func (s Status) LastRevision() ident.Revision { return s.last }

// IsCurrent reports whether the state machine includes every command that was
// acknowledged before the leader of the term was elected, and all later ones that
// the leader has reported as committed.
func (s Status) IsCurrent() bool { return s.current }

// SnapshotRevision returns the last revision that the latest snapshot includes.
func (s Status) SnapshotRevision() ident.Revision { return s.snapshot }

// LogEntries returns the number of entries that the replica holds in memory.
func (s Status) LogEntries() int { return s.entries }

// LogBytes returns the approximate size of these entries.
func (s Status) LogBytes() int { return s.bytes }

// Members returns the members with the last revision that is known to match on
// their disks, and the time of the last contact. Only the leader knows both for
// all members.
func (s Status) Members() []agree.MemberStatus { return s.members }

func (t *replicaTask) status() Status {
	return Status{
		role:     t.node.Role(),
		term:     t.node.Term(),
		leader:   t.node.Leader(),
		address:  t.addressOf(t.node.Leader()),
		commit:   t.node.CommitRevision(),
		applied:  t.applied,
		last:     t.node.LastRevision(),
		snapshot: t.node.SnapshotRevision(),
		entries:  t.node.LogEntries(),
		bytes:    t.node.LogBytes(),
		current:  t.node.IsCurrent(),
		members:  t.node.MemberStatus(),
	}
}
