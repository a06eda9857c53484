// Package caller is the HTTP front of an entry host towards callers. It
// answers look-ups and passes every other request to a router.
//
// A request names its service by the Host header, presents its key as a bearer
// token, and, when it is not idempotent, its id in Idempotency-Key. Every answer
// names the outcome in Rhubarbrack-Outcome (ran, not-run or unknown), the
// reason of a refusal in Rhubarbrack-Reason, and the id for explain in
// Rhubarbrack-Request. An answer that cannot be passed on whole ends in an
// aborted connection.
package caller
