// Package agree keeps a replicated log in agreement among the voters of a
// control cluster. It is a pure step function: Node.Step takes the time and
// one input and returns the effects that its caller must carry out. It has
// no goroutine, no clock, no socket and no file.
//
// The protocol is Raft with pre-vote, check quorum, read barriers confirmed
// by a majority, learners, membership changes of one member at a time,
// leadership transfer and catch-up by snapshot.
//
// Writes are asynchronous. Every Write in the effects has a number, and the
// caller reports with Synced that all writes up to a number are durable.
// Messages that depend on a write leave the node only after that report, and
// a leader counts its own copy of an entry only then.
//
// A host is identified by its name together with the identity of its disk.
// Messages carry the disk identities of sender and recipient, and a node
// drops messages for another disk. A host that lost its disk therefore cannot
// vote under its old name; it joins again under a new one.
package agree
