// Package wire carries calls between the processes of the system over net/rpc
// on TCP, with mutual TLS when certificates are set.
//
// net/rpc has neither deadlines nor cancellation and accepts messages of any
// size. A Client gives every call a deadline, replaces a connection that has
// stopped responding, and limits its calls in flight. Serve limits the message
// size and the calls in flight of each connection.
package wire
