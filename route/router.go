package route

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/prof"
)

const (
	// maxAttempts is how often a request is sent: once, and a second time to
	// another target where that is safe.
	maxAttempts = 2
	// maxIdempotencyKey is the longest idempotency key, in bytes.
	maxIdempotencyKey = 128
	// cleanupTimeout bounds the work that remains after the caller has
	// cancelled, such as recording the result of a claim.
	cleanupTimeout = 5 * time.Second
)

// Router handles requests. It is safe for concurrent use; all state is behind
// its interfaces.
type Router struct {
	views       Views
	rates       RateLimiter
	regions     RegionPicker
	slots       Slots
	claims      Claims
	budgets     RetryBudgets
	clock       clock.Clock
	nextAttempt func() uint64
}

// Option changes a default of New.
type Option func(*Router)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(r *Router) { r.clock = c } }

// WithAttemptNumbers sets the source of the numbers that distinguish the
// claims of one process. It must never return a number twice.
func WithAttemptNumbers(next func() uint64) Option { return func(r *Router) { r.nextAttempt = next } }

// New returns a router that uses the given tasks.
func New(views Views, rates RateLimiter, regions RegionPicker, slots Slots, claims Claims, budgets RetryBudgets, list ...Option) *Router {
	r := &Router{
		views: views, rates: rates, regions: regions, slots: slots, claims: claims,
		budgets: budgets, clock: clock.Wall(), nextAttempt: counter(),
	}
	for _, apply := range list {
		apply(r)
	}
	return r
}

// counter returns a source of increasing numbers that is safe for concurrent
// use.
func counter() func() uint64 {
	numbers := make(chan uint64, 1)
	numbers <- 0
	return func() uint64 {
		n := <-numbers + 1
		numbers <- n
		return n
	}
}

// Run handles a request and returns its result. When the outcome is Ran, the
// response has been passed on through the exchange. Otherwise the front end
// reports the outcome to the caller, unless the response has started.
func (r *Router) Run(ctx context.Context, q Request, x Exchange) Result {
	h := &requestHandler{router: r, request: q, exchange: x}
	out := h.run(ctx)
	out.service, out.team, out.class = h.serviceName(), h.team, h.class.Name()
	out.target, out.steps = h.target, h.steps
	return out
}

// requestHandler is the state of one request while it is handled.
type requestHandler struct {
	router        *Router
	request       Request
	exchange      Exchange
	service       *prof.Service
	profile       *prof.Profile
	route         prof.Route
	class         prof.Class
	team          ident.Team
	fingerprint   ident.Fingerprint
	attemptNumber uint64
	claimed       bool
	target        ident.Target
	steps         []Step
	// mayHaveRun is true once the request may have reached a target without
	// proof that it did not run.
	mayHaveRun      bool
	responseStarted bool
}

func (h *requestHandler) serviceName() ident.Service {
	if h.service == nil {
		return ""
	}
	return h.service.Service()
}

func (h *requestHandler) addStep(name, detail string) {
	h.steps = append(h.steps, Step{at: h.router.clock.Now(), name: name, detail: detail})
}

// finish returns the result for a reason. The outcome is NotRun only when no
// target can have run the request.
func (h *requestHandler) finish(reason Reason, detail string, retryAfter time.Duration) Result {
	outcome := NotRun
	if h.mayHaveRun {
		outcome = Unknown
	}
	h.addStep(string(outcome), string(reason))
	return Result{outcome: outcome, reason: reason, detail: detail, retryAfter: retryAfter, started: h.responseStarted}
}

// finishWithError returns the result for an error of one of the router's
// interfaces.
func (h *requestHandler) finishWithError(ctx context.Context, err error, fallback Reason) Result {
	var refusal Refusal
	if errors.As(err, &refusal) {
		return h.finish(fallback, refusal.Reason(), refusal.RetryAfter())
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return h.finish(ReasonDeadline, string(fallback), 0)
	case ctx.Err() != nil:
		return h.finish(ReasonCancelled, string(fallback), 0)
	}
	return h.finish(fallback, err.Error(), 0)
}

func (h *requestHandler) run(ctx context.Context) Result {
	view, err := h.router.views.View(ctx)
	if err != nil {
		return h.finishWithError(ctx, err, ReasonNoView)
	}
	if out, ok := h.matchRoute(view); !ok {
		return out
	}
	ctx, cancel := h.applyDeadline(ctx)
	defer cancel()
	if out, ok := h.authorise(view); !ok {
		return out
	}
	if out, ok := h.admit(ctx); !ok {
		return out
	}
	if out, ok := h.readBody(ctx, view); !ok {
		return out
	}
	if out, ok := h.claim(ctx); !ok {
		return out
	}
	out := h.sendWithRetry(ctx)
	h.resolveClaim(ctx, out)
	return out
}

// matchRoute finds the service, the route and the class.
func (h *requestHandler) matchRoute(view View) (Result, bool) {
	service, route, match := view.Config().Match(h.request.host, h.request.method, h.request.path)
	switch match {
	case prof.NoRoute:
		return h.finish(ReasonNoRoute, "", 0), false
	case prof.NoMethod:
		return h.finish(ReasonMethodNotAllowed, "", 0), false
	}
	profile, ok := view.Config().Profile(service.Profile())
	if !ok {
		return h.finish(ReasonNoRoute, "profile missing", 0), false
	}
	h.service, h.route, h.profile = service, route, profile
	h.class = profile.ClassFor(route, "")
	h.addStep("route", string(service.Service())+" "+route.Prefix())
	return Result{}, true
}

// applyDeadline limits the request by the caller's deadline and the service's
// timeout.
func (h *requestHandler) applyDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	now := h.router.clock.Now()
	deadline := now.Add(h.service.Timeout())
	if !h.request.deadline.IsZero() && h.request.deadline.Before(deadline) {
		deadline = h.request.deadline
	}
	h.request.deadline = deadline
	return context.WithTimeout(ctx, deadline.Sub(now))
}

// authorise checks the key, except on open routes. A view whose lease has
// expired may lack a withdrawal, so no key is accepted with it.
func (h *requestHandler) authorise(view View) (Result, bool) {
	if h.route.Open() {
		return Result{}, true
	}
	if !view.Fresh(h.router.clock.Now()) {
		return h.finish(ReasonStaleView, "", time.Second), false
	}
	team, reason := checkKey(view.Config(), h.request.key)
	if reason != "" {
		return h.finish(reason, "", 0), false
	}
	h.team = team
	h.class = h.profile.ClassFor(h.route, team)
	h.addStep("key", string(team))
	return Result{}, true
}

// admit applies the team's rate limit.
func (h *requestHandler) admit(ctx context.Context) (Result, bool) {
	if h.route.Open() {
		return Result{}, true
	}
	err := h.router.rates.Take(ctx, h.team)
	var refusal Refusal
	if errors.As(err, &refusal) && Reason(refusal.Reason()) == ReasonRateExceeded {
		return h.finish(ReasonRateExceeded, "", refusal.RetryAfter()), false
	}
	if err != nil {
		return h.finishWithError(ctx, err, ReasonRateUnavailable), false
	}
	h.addStep("rate", "admitted")
	return Result{}, true
}

// readBody reads the body and refuses a request that is known to crash
// targets.
func (h *requestHandler) readBody(ctx context.Context, view View) (Result, bool) {
	digest, err := h.exchange.Body(ctx, h.service.MaxBodyBytes())
	if errors.Is(err, ErrBodyTooLarge) {
		return h.finish(ReasonBodyTooLarge, "", 0), false
	}
	if err != nil {
		return h.finishWithError(ctx, err, ReasonBodyIncomplete), false
	}
	h.fingerprint = fingerprint(h.team, h.request, digest)
	suspect, ok := view.Config().Suspect(h.fingerprint)
	now := h.router.clock.Now()
	if ok && suspect.Crashes() >= banThreshold && now.Before(suspect.Until()) {
		return h.finish(ReasonBanned, "", suspect.Until().Sub(now)), false
	}
	return Result{}, true
}

// claim commits a claim for a non-idempotent request with an idempotency key.
func (h *requestHandler) claim(ctx context.Context) (Result, bool) {
	if h.route.Idempotent() || h.request.idempotencyKey == "" {
		return Result{}, true
	}
	if len(h.request.idempotencyKey) > maxIdempotencyKey {
		return h.finish(ReasonIdempotencyKey, "", 0), false
	}
	h.attemptNumber = h.router.nextAttempt()
	key := once.NewKey(h.team, h.request.idempotencyKey)
	status, err := h.router.claims.Claim(ctx, key, h.fingerprint, h.attemptNumber)
	switch {
	case errors.Is(err, ErrIdempotencyKeyReused):
		return h.finish(ReasonIdempotencyKeyReused, "", 0), false
	case errors.Is(err, ErrClaimsFull):
		return h.finish(ReasonClaimsFull, err.Error(), time.Minute), false
	case err != nil:
		return h.finishWithError(ctx, err, ReasonClaimUnavailable), false
	}
	return h.handleClaim(ctx, status)
}

// handleClaim continues with a request whose claim is new, and responds to a
// resent request with what is known of the first one.
func (h *requestHandler) handleClaim(ctx context.Context, status once.ClaimStatus) (Result, bool) {
	h.addStep("claim", status.State().String())
	switch status.State() {
	case once.Claimed:
		h.claimed = true
		return Result{}, true
	case once.Recorded:
		return h.replay(ctx, status.Result()), false
	case once.Running:
		// The first request is still in flight. This one did not run, but the
		// caller must not conclude that the first one did not.
		return Result{outcome: Unknown, reason: ReasonRunning, retryAfter: time.Second}, false
	default:
		return Result{outcome: Unknown, reason: ReasonNotRetried}, false
	}
}

func (h *requestHandler) replay(ctx context.Context, result once.Result) Result {
	if result.IsTooLarge() {
		return Result{outcome: Ran, reason: ReasonResponseNotStored}
	}
	if err := h.exchange.Replay(ctx, result); err != nil {
		return Result{outcome: Ran, reason: ReasonReplayed, detail: err.Error(), started: true}
	}
	return Result{outcome: Ran, reason: ReasonReplayed, started: true}
}

// resolveClaim records the result of a claim, also after the caller has
// cancelled.
func (h *requestHandler) resolveClaim(ctx context.Context, out Result) {
	if !h.claimed {
		return
	}
	resolution := once.Unknown()
	switch out.outcome {
	case Ran:
		resolution = once.Ran(h.exchange.RecordedResponse())
	case NotRun:
		resolution = once.NotRun()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	h.router.claims.Resolve(ctx, once.NewKey(h.team, h.request.idempotencyKey), h.attemptNumber, resolution)
}
