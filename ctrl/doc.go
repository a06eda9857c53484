// Package ctrl is the peer package of control hosts. A Replica keeps one
// member of the replicated log: its task owns the agree.Node and the state
// machine, a goroutine owns the disk, and one sender per peer carries the
// messages of the protocol.
//
// The task never waits for the disk or a peer. The disk goroutine writes
// what has queued up, syncs once, and reports back by message; the node
// releases what depends on it only then.
//
// A cluster forms when every host of the initial list has reported an empty
// disk to every other. A host with an empty disk whose name already belongs
// to a formed cluster has lost its disk: it is refused, because it may have
// voted. It joins under a new name with AddMember.
package ctrl
