// Package guard restricts requests that are suspected of crashing targets. It
// is a deterministic state machine without I/O; the caller passes the time.
//
// When a target crashes, the fingerprints of all requests in flight there
// become suspects. Only one copy of a suspect runs at a time, at a target that
// runs no other suspect. A run that gets a response clears the suspect. A second
// crash with the fingerprint in flight bans it for the ban period. Marks are
// replicated, so that the slot owners of all regions apply them.
//
// At most two targets crash per crashing request and ban period, retries
// included, provided that its caller gets a response only after the mark of the
// crash is in force at every owner, and that it has one copy in flight at a
// time. With more copies in flight when the first target crashes, each of
// them can crash the target that it runs on.
//
// Guard serves hosts that own the slots of targets and see all requests there.
// Suspects and Losses serve entry hosts that choose targets by themselves: each
// of them sees few of the crashes, so that they exchange reports, count only
// processes that have ended, and refuse a request from the third crash on that
// no response came between.
package guard
