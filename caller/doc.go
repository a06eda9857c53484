// Package caller is the HTTP front end of an entry host for callers. It serves
// lookups and passes all other requests to a router.
//
// The Host header of a request selects its service. The request presents its
// key as a bearer token and, when it is not idempotent, its ID in
// Idempotency-Key. Every response states the outcome in Rhubarbrack-Outcome
// (ran, not-run or unknown), the reason of a refusal in Rhubarbrack-Reason,
// and the ID for explain in Rhubarbrack-Request. When a response cannot be
// passed on completely, the connection is aborted.
package caller
