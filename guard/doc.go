// Package guard decides how requests run that are suspected of crashing
// targets. It is a pure state machine; times are passed in.
//
// When a target crashes, the fingerprints of all requests in flight there
// become suspects. A suspect runs once at a time, on a target that runs no
// other suspect. A run that ends well clears it. A second crash with the
// fingerprint in flight bans it for a while. Marks are replicated, so that
// the owners of other regions know them.
//
// At most two targets crash per crashing request and ban period, resends
// included, provided that its caller is answered only after the mark of the
// crash is in force at every owner, and that it has one copy in flight at a
// time. With more copies in flight when the first target crashes, each of
// them can crash the target that it runs on.
package guard
