// Package oper is the HTTP API for operators and its client.
//
// A control host serves the API for documents, keys, drains, control hosts,
// status and events, whichever control host leads. An entry host serves
// explain. Every request carries an operator token as a bearer token. Changes
// carry a request id, so that a resend gets the first outcome, and the revision
// that the operator has seen, so that the second of two equal versions gets a
// conflict that shows the current one.
package oper
