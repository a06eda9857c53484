package route

import (
	"time"

	"rhubarbrack/ident"
)

// Outcome tells whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	// Ran means that a target ran the request and that its response, or the
	// recorded response of an earlier run, was passed on completely.
	Ran Outcome = "ran"
	// NotRun means that the request certainly did not run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason tells why a request ended as it did.
type Reason string

// The reasons of outcomes other than Ran, and of replayed responses.
const (
	ReasonNoView               Reason = "view-missing"
	ReasonStaleView            Reason = "view-stale"
	ReasonNoRoute              Reason = "route-unknown"
	ReasonMethodNotAllowed     Reason = "method-not-allowed"
	ReasonNoKey                Reason = "key-missing"
	ReasonBadKey               Reason = "key-invalid"
	ReasonWithdrawnKey         Reason = "key-withdrawn"
	ReasonRateExceeded         Reason = "rate-exceeded"
	ReasonRateUnavailable      Reason = "rate-unavailable"
	ReasonBodyIncomplete       Reason = "body-incomplete"
	ReasonBodyTooLarge         Reason = "body-too-large"
	ReasonIdempotencyKey       Reason = "idempotency-key-invalid"
	ReasonBanned               Reason = "request-crashes-targets"
	ReasonReplayed             Reason = "replayed"
	ReasonRunning              Reason = "already-running"
	ReasonNotRetried           Reason = "unknown-not-repeated"
	ReasonIdempotencyKeyReused Reason = "idempotency-key-reused"
	ReasonClaimUnavailable     Reason = "claim-unavailable"
	ReasonClaimsFull           Reason = "claims-full"
	ReasonNoRegion             Reason = "no-region"
	ReasonNoSlot               Reason = "no-slot"
	ReasonShed                 Reason = "target-shed"
	ReasonUnreachable          Reason = "target-unreachable"
	ReasonResponseLost         Reason = "answer-lost"
	ReasonCrashed              Reason = "target-crashed"
	ReasonResponseNotStored    Reason = "answer-not-kept"
	ReasonCancelled            Reason = "cancelled"
	ReasonDeadline             Reason = "deadline"
)

// Step is one decision made while handling a request.
type Step struct {
	at     time.Time
	name   string
	detail string
}

// At returns when the decision was made.
func (s Step) At() time.Time { return s.at }

// Name returns the kind of decision in kebab case.
func (s Step) Name() string { return s.name }

// Detail returns what was decided, such as the target.
func (s Step) Detail() string { return s.detail }

// Result is the result of a request.
type Result struct {
	outcome    Outcome
	reason     Reason
	detail     string
	retryAfter time.Duration
	started    bool
	service    ident.Service
	team       ident.Team
	class      ident.Class
	target     ident.Target
	steps      []Step
}

// Outcome returns whether the request ran.
func (r Result) Outcome() Outcome { return r.outcome }

// Reason returns the reason of the outcome. It is empty for an ordinary
// response.
func (r Result) Reason() Reason { return r.reason }

// Detail returns a more specific reason, or nothing.
func (r Result) Detail() string { return r.detail }

// RetryAfter returns how long to wait before a retry, or zero.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Started reports whether a part of a response was passed on. If the outcome
// is then not Ran, the front end must abort the connection, so that the caller
// does not mistake the part for the whole response.
func (r Result) Started() bool { return r.started }

// Service returns the service of the request, empty without a route.
func (r Result) Service() ident.Service { return r.service }

// Team returns the team that the request ran for, empty on open routes.
func (r Result) Team() ident.Team { return r.team }

// Class returns the request class, empty without a route.
func (r Result) Class() ident.Class { return r.class }

// Target returns the target of the last attempt, or nothing.
func (r Result) Target() ident.Target { return r.target }

// Steps returns the decisions in order.
func (r Result) Steps() []Step { return r.steps }

// Refuse returns the result of a request that a front end refuses itself.
func Refuse(reason Reason, detail string, retryAfter time.Duration) Result {
	return Result{outcome: NotRun, reason: reason, detail: detail, retryAfter: retryAfter}
}

// ResultOfAttempt returns the result of a request that a front end sent itself
// in a single attempt.
func ResultOfAttempt(a AttemptResult) Result {
	if a.complete {
		return Result{outcome: Ran, started: a.started}
	}
	if a.notRun {
		return Result{outcome: NotRun, reason: reasonOf(a.outcome)}
	}
	return Result{outcome: Unknown, reason: reasonOf(a.outcome), started: a.started}
}
