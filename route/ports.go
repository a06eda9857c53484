package route

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/state"
	"rhubarbrack/steer"
)

const (
	// ErrBodyTooLarge is returned by Exchange.Body for a body above the limit.
	ErrBodyTooLarge = errors.ConstError("request body exceeds the limit")
	// ErrIdempotencyKeyReused is returned by Claims.Claim when the key was
	// used before for a different request.
	ErrIdempotencyKeyReused = errors.ConstError("request id was used for a different request")
	// ErrClaimsFull is returned by Claims.Claim when no further claim can be
	// stored.
	ErrClaimsFull = errors.ConstError("no room for another claim")
)

// Refusal is an error that states why a request was refused.
type Refusal interface {
	error
	// Reason returns the reason in kebab case.
	Reason() string
	// RetryAfter returns how long to wait before a retry, or zero.
	RetryAfter() time.Duration
}

// View is the configuration that an entry host uses, with the expiry of its
// leases.
type View struct {
	config         *state.Config
	freshUntil     time.Time
	roleLeaseUntil time.Time
}

// NewView returns a view whose lease expires at freshUntil, by the local
// clock.
func NewView(config *state.Config, freshUntil time.Time) View {
	return View{config: config, freshUntil: freshUntil}
}

// WithRoleLease returns a copy with the given expiry of the role lease.
func (v View) WithRoleLease(t time.Time) View {
	v.roleLeaseUntil = t
	return v
}

// RoleLeaseUntil returns the time until which the host may act in its roles.
func (v View) RoleLeaseUntil() time.Time { return v.roleLeaseUntil }

// Config returns the configuration.
func (v View) Config() *state.Config { return v.config }

// FreshUntil returns the expiry of the view lease.
func (v View) FreshUntil() time.Time { return v.freshUntil }

// Fresh reports whether the view lease is still valid at now.
func (v View) Fresh(now time.Time) bool { return now.Before(v.freshUntil) }

// Views returns the current view.
type Views interface {
	// View returns the latest view, or an error when there is none yet.
	View(ctx context.Context) (View, error)
}

// RateLimiter enforces the rate limits of teams.
type RateLimiter interface {
	// Take admits one request of the team or returns a Refusal.
	Take(ctx context.Context, team ident.Team) error
}

// RegionPicker distributes requests over regions according to the planned
// shares.
type RegionPicker interface {
	// Pick returns the region for the next request of the service, or a
	// Refusal when the plan allows no region.
	Pick(ctx context.Context, service ident.Service, class ident.Class) (ident.Region, error)
}

// Slots grants slots of targets.
type Slots interface {
	// Acquire waits for a slot in the region, at most until the deadline of
	// ctx. It returns a Refusal when no slot is granted.
	Acquire(ctx context.Context, region ident.Region, request SlotRequest) (Slot, error)
	// Release frees the slot. After steer.OutcomeCrashed it returns only when the
	// suspicion against the request is in force everywhere, or when ctx ends.
	Release(ctx context.Context, slot Slot, outcome steer.Outcome, latency time.Duration)
}

// Claims prevents non-idempotent requests from running twice.
type Claims interface {
	// Claim commits a claim. An error that matches ErrIdempotencyKeyReused or
	// ErrClaimsFull is final. After any other error the implementation frees
	// the claim in case it was committed.
	Claim(ctx context.Context, key once.Key, fingerprint ident.Fingerprint, attempt uint64) (once.ClaimStatus, error)
	// Resolve commits the result of a claim. It continues in the background
	// when ctx ends first.
	Resolve(ctx context.Context, key once.Key, attempt uint64, resolution once.Resolution)
}

// RetryBudgets limits the retries of each service.
type RetryBudgets interface {
	// Allow counts a retry against the budget and reports whether it is
	// allowed. Share is the maximum share of requests that may be retried.
	Allow(ctx context.Context, service ident.Service, share float64) bool
}

// Exchange is one request as the front end holds it.
type Exchange interface {
	// Body reads the whole body, keeps it for Send and returns its SHA-256
	// digest. It returns ErrBodyTooLarge when the body has more than limit
	// bytes.
	Body(ctx context.Context, limit int64) ([32]byte, error)
	// Send sends the request to the target at address and passes the response
	// on to the caller. When a part of an earlier response has been passed on,
	// it resumes that response or passes on nothing.
	Send(ctx context.Context, address string) AttemptResult
	// Replay passes on a recorded response.
	Replay(ctx context.Context, result once.Result) error
	// RecordedResponse returns the response that was passed on, for the claim.
	RecordedResponse() once.Result
}

// AttemptResult is the result of one attempt to send a request.
type AttemptResult struct {
	outcome    steer.Outcome
	complete   bool
	notRun     bool
	started    bool
	resumable  bool
	retryAfter time.Duration
}

// AttemptOption sets a property of an AttemptResult.
type AttemptOption func(*AttemptResult)

// AttemptNotRun states that the request certainly did not run.
func AttemptNotRun() AttemptOption { return func(r *AttemptResult) { r.notRun = true } }

// AttemptComplete states that the whole response was passed on.
func AttemptComplete() AttemptOption { return func(r *AttemptResult) { r.complete = true } }

// AttemptStarted states that a part of the response was passed on, and whether
// another target can resume it.
func AttemptStarted(resumable bool) AttemptOption {
	return func(r *AttemptResult) { r.started, r.resumable = true, resumable }
}

// AttemptRetryAfter states how long the target asked callers to wait before a
// retry.
func AttemptRetryAfter(d time.Duration) AttemptOption {
	return func(r *AttemptResult) { r.retryAfter = d }
}

// NewAttemptResult returns the result of an attempt. The outcome is what the
// target is held responsible for.
func NewAttemptResult(outcome steer.Outcome, list ...AttemptOption) AttemptResult {
	r := AttemptResult{outcome: outcome}
	for _, apply := range list {
		apply(&r)
	}
	return r
}

// SlotRequest states the requirements of a request for a slot.
type SlotRequest struct {
	service     ident.Service
	team        ident.Team
	class       steer.Class
	weight      int
	fingerprint ident.Fingerprint
	zone        ident.Zone
	avoid       []ident.Target
	deadline    time.Time
}

// Service returns the service that the target must belong to.
func (r SlotRequest) Service() ident.Service { return r.service }

// Team returns the team, empty on open routes.
func (r SlotRequest) Team() ident.Team { return r.team }

// Class returns the request class.
func (r SlotRequest) Class() steer.Class { return r.class }

// Weight returns the weight of the team for fair queuing, at least 1.
func (r SlotRequest) Weight() int { return r.weight }

// Fingerprint returns the digest of the request.
func (r SlotRequest) Fingerprint() ident.Fingerprint { return r.fingerprint }

// Zone returns the caller's zone.
func (r SlotRequest) Zone() ident.Zone { return r.zone }

// Avoid returns the targets that earlier attempts used.
func (r SlotRequest) Avoid() []ident.Target { return r.avoid }

// Deadline returns the time until which the request may wait.
func (r SlotRequest) Deadline() time.Time { return r.deadline }

// Slot is a granted slot.
type Slot interface {
	// Target returns the target of the slot.
	Target() ident.Target
	// Address returns the IP address and port of the target.
	Address() string
}
