// Package wire carries calls between the system's own processes over
// net/rpc on TCP, with mutual TLS when certificates are set.
//
// net/rpc has neither deadlines nor cancellation and accepts messages of any
// size. A Client gives every call a deadline, replaces a connection that has
// stopped answering, and bounds its calls in flight. Serve bounds the size of
// a message and the calls in flight of a connection.
package wire
