// Package intact tells whole and well-formed HTTP/1.x responses from broken ones. Every
// reader of responses in this project uses it, because net/http accepts more than
// HTTP/1.x allows, and because the end of a connection, which may be the end of a
// response, also follows some failures.
//
// Conn checks the header of each response and how a connection ended, for clients that
// read responses themselves; Transport does so for net/http. GuardEnd is for servers: it
// keeps a response that breaks off from looking whole. IsJoined finds the header of a
// response that an earlier one has run into.
package intact
