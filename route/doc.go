// Package route handles one request from arrival to result: it finds the
// route, checks the key, applies the team's rate limit, claims a
// non-idempotent request, acquires a slot, sends the request, and retries
// where that is safe.
//
// The package knows neither sockets nor encodings. A front end implements
// Exchange for the protocol of its callers. The interfaces Views, RateLimiter,
// RegionPicker, Slots, Claims and RetryBudgets represent the tasks that own
// the state behind each step.
//
// Every request has one of the outcomes Ran, NotRun and Unknown. NotRun is
// reported only when it is certain that no byte of the request was written to
// a target, or when the target itself stated that it did not run the request.
package route
