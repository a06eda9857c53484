// Package route decides the course of one request: it finds the route, checks
// the key, takes from the team's rate, claims a non-idempotent request, asks
// for a slot, sends the request, and retries where that is safe.
//
// The package knows neither sockets nor encodings. A front end implements
// Exchange for the protocol that its callers speak; the interfaces Views,
// Rates, Regions, Slots, Claims, Budgets and Suspects stand for the tasks that
// own the state behind each step.
//
// Every request ends with an outcome: Ran, NotRun or Unknown. NotRun is
// reported only when it is certain that no byte of the request was written to
// a target, or when the target itself stated that it did not run it.
package route
