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
	// ErrBodyTooLarge is returned by Exchange.Body for a body over the limit.
	ErrBodyTooLarge = errors.ConstError("request body exceeds the limit")
	// ErrIdempotencyKeyReused is returned by Claims.Claim when the id was used before for
	// a different request.
	ErrIdempotencyKeyReused = errors.ConstError("request id was used for a different request")
	// ErrClaimsFull is returned by Claims.Claim when there is no room for
	// another claim.
	ErrClaimsFull = errors.ConstError("no room for another claim")
)

// Refusal is an error of a part that refused a request for a stated reason.
type Refusal interface {
	error
	// Reason returns the reason in kebab case.
	Reason() string
	// RetryAfter returns when a new attempt is worthwhile, or zero.
	RetryAfter() time.Duration
}

// View is the configuration that an entry host acts on and until when its
// lease lasts.
type View struct {
	config *state.Config
	fresh  time.Time
	acting time.Time
}

// NewView returns a view whose lease ends at fresh, by the local clock.
func NewView(config *state.Config, fresh time.Time) View {
	return View{config: config, fresh: fresh}
}

// WithRoleLease returns the view with the end of the lease for roles.
func (v View) WithRoleLease(t time.Time) View {
	v.acting = t
	return v
}

// RoleLeaseUntil returns until when the host may act for its roles.
func (v View) RoleLeaseUntil() time.Time { return v.acting }

// Config returns the configuration.
func (v View) Config() *state.Config { return v.config }

// FreshUntil returns the end of the lease.
func (v View) FreshUntil() time.Time { return v.fresh }

// Fresh reports whether the lease lasts at now.
func (v View) Fresh(now time.Time) bool { return now.Before(v.fresh) }

// Views gives the current view.
type Views interface {
	// View returns the latest view. It returns an error when there is none
	// yet.
	View(ctx context.Context) (View, error)
}

// RateLimiter takes requests from the rates of teams.
type RateLimiter interface {
	// Take admits one request of the team or returns a Refusal.
	Take(ctx context.Context, team ident.Team) error
}

// RegionPicker realises the planned shares.
type RegionPicker interface {
	// Pick returns the region that takes the next request of the service, or
	// a Refusal when the plan lets no region take it.
	Pick(ctx context.Context, service ident.Service, class ident.Class) (ident.Region, error)
}

// Slots grants slots of targets.
type Slots interface {
	// Acquire waits for a slot in the region, at most until the deadline of
	// ctx. It returns a Refusal when there is none.
	Acquire(ctx context.Context, region ident.Region, need SlotRequest) (Slot, error)
	// Release gives the slot back. After EndingCrashed it returns only when
	// the suspicion against the request is in force everywhere, or when ctx
	// ends.
	Release(ctx context.Context, slot Slot, ending steer.Outcome, latency time.Duration)
}

// Claims keeps non-idempotent requests from running twice.
type Claims interface {
	// Claim commits a claim. An error that matches ErrMismatch or
	// ErrClaimsFull is final; after any other error the implementation sees
	// to it that a claim which was committed all the same is freed.
	Claim(ctx context.Context, key once.Key, fingerprint ident.Fingerprint, attempt uint64) (once.ClaimStatus, error)
	// Resolve commits the end of a claim. It goes on trying in the
	// background when ctx ends first.
	Resolve(ctx context.Context, key once.Key, attempt uint64, resolution once.Resolution)
}

// RetryBudgets bounds the retries of each service.
type RetryBudgets interface {
	// Allow counts a retry against the budget and reports whether it may be
	// made. Share is the greatest share of requests that may be retried.
	Allow(ctx context.Context, service ident.Service, share float64) bool
}

// Exchange is one request as the front end holds it.
type Exchange interface {
	// Body reads the whole body, which may have up to limit bytes, keeps it
	// for Send and returns its SHA-256 digest. It returns ErrBodyTooLarge for
	// a longer one.
	Body(ctx context.Context, limit int64) ([32]byte, error)
	// Send sends the request to the target at address and passes the answer
	// on to the caller. When a part of an earlier answer has been passed on,
	// it continues that answer or changes nothing.
	Send(ctx context.Context, address string) AttemptResult
	// Replay passes a recorded answer on.
	Replay(ctx context.Context, result once.Result) error
	// RecordedResponse returns the answer that was passed on, for the claim.
	RecordedResponse() once.Result
}

// AttemptResult is the end of one Send.
type AttemptResult struct {
	ending    steer.Outcome
	whole     bool
	proved    bool
	started   bool
	resumable bool
	retry     time.Duration
}

// AttemptOption sets a property of Sent.
type AttemptOption func(*AttemptResult)

// AttemptNotRun states that the request certainly did not run.
func AttemptNotRun() AttemptOption { return func(s *AttemptResult) { s.proved = true } }

// AttemptComplete states that the whole answer was passed on.
func AttemptComplete() AttemptOption { return func(s *AttemptResult) { s.whole = true } }

// AttemptStarted states that a part of the answer was passed on, and whether
// another target can continue it.
func AttemptStarted(resumable bool) AttemptOption {
	return func(s *AttemptResult) { s.started, s.resumable = true, resumable }
}

// AttemptRetryAfter states when the target asks to be tried again.
func AttemptRetryAfter(d time.Duration) AttemptOption { return func(s *AttemptResult) { s.retry = d } }

// NewAttemptResult returns the end of a dispatch. The ending is what the target is held
// responsible for.
func NewAttemptResult(ending steer.Outcome, list ...AttemptOption) AttemptResult {
	s := AttemptResult{ending: ending}
	for _, apply := range list {
		apply(&s)
	}
	return s
}

// SlotRequest is what a request needs of a slot.
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

// Service returns the service whose target is needed.
func (n SlotRequest) Service() ident.Service { return n.service }

// Team returns the team, or nothing on open routes.
func (n SlotRequest) Team() ident.Team { return n.team }

// Class returns the request class.
func (n SlotRequest) Class() steer.Class { return n.class }

// Weight returns the weight of the team for fair queuing, at least 1.
func (n SlotRequest) Weight() int { return n.weight }

// Fingerprint returns the digest of the request.
func (n SlotRequest) Fingerprint() ident.Fingerprint { return n.fingerprint }

// Zone returns the caller's zone.
func (n SlotRequest) Zone() ident.Zone { return n.zone }

// Avoid returns the targets that earlier attempts used.
func (n SlotRequest) Avoid() []ident.Target { return n.avoid }

// Deadline returns until when the request may wait.
func (n SlotRequest) Deadline() time.Time { return n.deadline }

// Slot is a granted slot.
type Slot interface {
	// Target returns the target of the slot.
	Target() ident.Target
	// Address returns the IP address and port of the target.
	Address() string
}
