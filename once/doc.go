// Package once implements at-most-once execution of non-idempotent requests.
// For each team and request ID, a Table records which process executes the
// request and with which result. A request is claimed before it is sent to a
// target and resolved afterwards. A retry gets the result of the first
// execution and is never executed a second time.
//
// The table is deterministic: it reads no clock, and the same calls in the
// same order yield the same table on every host.
package once
