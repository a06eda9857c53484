// Package fetch decides which pieces of a document a host requests, from which
// peer and how many at a time. It is a deterministic state machine without
// I/O; the caller passes the time and carries out the orders.
//
// A transfer keeps what has arrived: a lost piece is requested again, from
// another peer if there is one, and no deadline applies to the whole. Few
// pieces are in flight at a time, so that other traffic of a slow link waits
// for little. Pieces become smaller while they are lost.
package fetch
