// Package oper implements the HTTP API for operators and a client for it.
//
// Every control host, leader or not, serves the API for documents, keys, drains,
// control hosts, status and events. Entry hosts serve explain. Every request
// carries an operator token as a bearer token. A change carries a request ID, so
// that a retry returns the outcome of the first attempt, and the revision that it
// expects to replace: if two changes expect the same revision, the second one
// gets a conflict that shows the current one.
package oper
