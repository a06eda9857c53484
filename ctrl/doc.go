// Package ctrl implements the communication with and between control hosts. A
// Replica is one member of the replicated log: its task owns the agree.Node and
// the state machine, a goroutine owns the disk, and one sender per peer sends
// the messages of the protocol. On the leader, Leader manages the sessions of
// the entry hosts, which call the Service through Client and Follower.
//
// The task never waits for the disk or a peer. The disk goroutine writes the
// queued writes, syncs once, and reports back by message; only then does the
// node emit the messages that depend on them.
//
// A cluster is bootstrapped when every host of the initial list has reported an
// empty disk to every other. A host with an empty disk whose name already
// belongs to a running cluster has lost its disk. It is refused, because it may
// have voted, and must join under a new name with AddMember.
package ctrl
