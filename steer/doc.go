// Package steer decides which target answers a request. A Pool holds the
// slots of one region: the targets, the grants in flight and the queues of
// requests that wait. It is a pure state machine; times are passed in.
//
// A target never has more grants in flight than slots, and a region never
// more than its capacity. Urgent classes are served strictly first. Within a
// class, teams are served by deficit round robin. What the pool itself
// observes (grants in flight, errors, latencies) decides; reported health and
// load only narrow the choice.
//
// Every ask has a number that its holder never uses again. A repeated call
// therefore finds its first outcome, and a report of what a holder knows
// frees what it does not know.
package steer
