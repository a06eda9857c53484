// Package steer assigns requests to targets. A Pool manages the slots of one
// region: the targets, the grants in flight and the queues of waiting slot
// requests. It is a deterministic state machine without I/O; the caller passes
// the time.
//
// A target never has more grants in flight than slots, and a region never
// more than its capacity. Urgent classes have strict priority. Within a
// class, teams are served by deficit round robin. Targets are chosen by what
// the pool itself observes (grants in flight, errors, latencies); reported
// health and load can only exclude targets.
//
// Every slot request has a number that its holder never uses again. A retried
// call therefore gets the decision of the first one, and a holder's report of
// its open grants and waiting requests frees all others.
package steer
