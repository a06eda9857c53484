package ctrl

import (
	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// Status is what a replica knows about itself and the cluster.
type Status struct {
	role     agree.Role
	term     agree.Term
	leader   ident.Host
	address  string
	commit   ident.Revision
	applied  ident.Revision
	last     ident.Revision
	snapshot ident.Revision
	members  []agree.MemberStatus
}

// Role returns the part that the replica plays.
func (s Status) Role() agree.Role { return s.role }

// Term returns the current term.
func (s Status) Term() agree.Term { return s.term }

// Leader returns the leader of the term, or "" when unknown.
func (s Status) Leader() ident.Host { return s.leader }

// LeaderAddress returns where the leader is reached, or "" when unknown.
func (s Status) LeaderAddress() string { return s.address }

// Commit returns the last revision known to be committed.
func (s Status) Commit() ident.Revision { return s.commit }

// Applied returns the last revision that the machine holds.
func (s Status) Applied() ident.Revision { return s.applied }

// Last returns the last revision of the log.
func (s Status) Last() ident.Revision { return s.last }

// Snapshot returns the last revision that the latest snapshot includes.
func (s Status) Snapshot() ident.Revision { return s.snapshot }

// Members returns the members with the revision up to which their disks
// match, and the time of the last contact. Both are complete on the leader
// only.
func (s Status) Members() []agree.MemberStatus { return s.members }

func (t *replicaTask) status() Status {
	return Status{
		role:     t.node.Role(),
		term:     t.node.Term(),
		leader:   t.node.Leader(),
		address:  t.address(t.node.Leader()),
		commit:   t.node.Commit(),
		applied:  t.applied,
		last:     t.node.Last(),
		snapshot: t.node.SnapshotRevision(),
		members:  t.node.MemberStatus(),
	}
}
