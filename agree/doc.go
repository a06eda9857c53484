// Package agree implements the Raft consensus protocol for the control hosts.
// It is a deterministic state machine without I/O: Node.Step takes the time and
// one input and returns the effects that its caller must carry out. The package
// has no goroutines, clocks, sockets or files.
//
// Besides basic Raft it implements pre-vote, check quorum, read barriers
// confirmed by a majority (ReadIndex), learners, membership changes of one
// member at a time, leadership transfer and catch-up by snapshot. A position
// in the log, the index of Raft, is called a revision.
//
// Writes are asynchronous. Every Write in the effects has a number, and the
// caller reports with Synced that all writes up to a number are durable. The
// node emits messages that depend on a write only after that report, and a
// leader counts its own copy of an entry only then.
//
// A host is identified by its name together with the random identity of its
// disk. Messages carry the disk identities of sender and recipient, and a node
// drops messages for another disk. A host that lost its disk therefore cannot
// vote under its old name; it joins again under a new one.
package agree
