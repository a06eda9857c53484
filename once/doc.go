// Package once holds the at-most-once table: for each team and request id of
// a non-idempotent request, who runs it and what came of it. A claim is made
// before the request is sent to a target and resolved after it, so that a
// resend learns the first outcome and never runs a second time.
//
// The table is pure: times are passed in, and equal calls in equal order give
// equal tables on every host.
package once
