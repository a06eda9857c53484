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
	// maxSends is how often a request is sent: once, and once more on
	// another target where that is safe.
	maxSends = 2
	// maxIdempotencyKey is the longest idempotency key, in bytes.
	maxIdempotencyKey = 128
	// settleTimeout bounds the work that remains when the caller is gone,
	// such as recording the result of a claim.
	settleTimeout = 5 * time.Second
)

// Router runs requests. It is safe for concurrent use; all state is behind its
// interfaces.
type Router struct {
	views   Views
	rates   RateLimiter
	regions RegionPicker
	slots   Slots
	claims  Claims
	budgets RetryBudgets
	clock   clock.Clock
	next    func() uint64
}

// Option sets a part of a router.
type Option func(*Router)

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(c clock.Clock) Option { return func(r *Router) { r.clock = c } }

// WithAttemptNumbers sets the source of the numbers that tell the claims of one
// process apart. It must never return a number twice.
func WithAttemptNumbers(next func() uint64) Option { return func(r *Router) { r.next = next } }

// New returns a router on top of the tasks that own the state.
func New(views Views, rates RateLimiter, regions RegionPicker, slots Slots, claims Claims, budgets RetryBudgets, list ...Option) *Router {
	r := &Router{
		views: views, rates: rates, regions: regions, slots: slots, claims: claims,
		budgets: budgets, clock: clock.Wall(), next: counter(),
	}
	for _, apply := range list {
		apply(r)
	}
	return r
}

// counter returns a source of ascending numbers that is safe for concurrent
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

// Run takes a request to its end. It passes the answer on through the
// exchange when the outcome is Ran; otherwise the front end tells the caller
// the outcome, unless the result has started.
func (r *Router) Run(ctx context.Context, q Request, x Exchange) Result {
	c := &course{router: r, request: q, exchange: x}
	out := c.run(ctx)
	out.service, out.team, out.class = c.serviceName(), c.team, c.class.Name()
	out.target, out.steps = c.target, c.steps
	return out
}

// course is the state of one request on its way.
type course struct {
	router      *Router
	request     Request
	exchange    Exchange
	service     *prof.Service
	profile     *prof.Profile
	route       prof.Route
	class       prof.Class
	team        ident.Team
	fingerprint ident.Fingerprint
	attempt     uint64
	claimed     bool
	target      ident.Target
	steps       []Step
	// written is true once a request may have reached a target without being
	// proved not to have run.
	written bool
	started bool
}

func (c *course) serviceName() ident.Service {
	if c.service == nil {
		return ""
	}
	return c.service.Service()
}

func (c *course) note(name, detail string) {
	c.steps = append(c.steps, Step{at: c.router.clock.Now(), name: name, detail: detail})
}

// end returns the result for a reason. The outcome is NotRun only when no
// target can have run the request.
func (c *course) end(reason Reason, detail string, retryAfter time.Duration) Result {
	outcome := NotRun
	if c.written {
		outcome = Unknown
	}
	c.note(string(outcome), string(reason))
	return Result{outcome: outcome, reason: reason, detail: detail, retryAfter: retryAfter, started: c.started}
}

// refused returns the result for an error of a part.
func (c *course) refused(ctx context.Context, err error, fallback Reason) Result {
	var refusal Refusal
	if errors.As(err, &refusal) {
		return c.end(fallback, refusal.Reason(), refusal.RetryAfter())
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return c.end(ReasonDeadline, string(fallback), 0)
	case ctx.Err() != nil:
		return c.end(ReasonCancelled, string(fallback), 0)
	}
	return c.end(fallback, err.Error(), 0)
}

func (c *course) run(ctx context.Context) Result {
	view, err := c.router.views.View(ctx)
	if err != nil {
		return c.refused(ctx, err, ReasonNoView)
	}
	if out, ok := c.match(view); !ok {
		return out
	}
	ctx, cancel := c.limit(ctx)
	defer cancel()
	if out, ok := c.authorise(view); !ok {
		return out
	}
	if out, ok := c.admit(ctx); !ok {
		return out
	}
	if out, ok := c.readBody(ctx, view); !ok {
		return out
	}
	if out, ok := c.claim(ctx); !ok {
		return out
	}
	out := c.send(ctx)
	c.settle(ctx, out)
	return out
}

// match finds the service, the route and the class.
func (c *course) match(view View) (Result, bool) {
	service, route, match := view.Config().Match(c.request.host, c.request.method, c.request.path)
	switch match {
	case prof.NoRoute:
		return c.end(ReasonNoRoute, "", 0), false
	case prof.NoMethod:
		return c.end(ReasonMethodNotAllowed, "", 0), false
	}
	profile, ok := view.Config().Profile(service.Profile())
	if !ok {
		return c.end(ReasonNoRoute, "profile missing", 0), false
	}
	c.service, c.route, c.profile = service, route, profile
	c.class = profile.ClassFor(route, "")
	c.note("route", string(service.Service())+" "+route.Prefix())
	return Result{}, true
}

// limit bounds the request by the caller's deadline and the service's timeout.
func (c *course) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	now := c.router.clock.Now()
	deadline := now.Add(c.service.Timeout())
	if !c.request.deadline.IsZero() && c.request.deadline.Before(deadline) {
		deadline = c.request.deadline
	}
	c.request.deadline = deadline
	return context.WithTimeout(ctx, deadline.Sub(now))
}

// authorise checks the key, except on open routes. A view whose lease has
// ended may miss a withdrawal, so it admits no key.
func (c *course) authorise(view View) (Result, bool) {
	if c.route.Open() {
		return Result{}, true
	}
	if !view.Fresh(c.router.clock.Now()) {
		return c.end(ReasonStaleView, "", time.Second), false
	}
	team, reason := checkKey(view.Config(), c.request.key)
	if reason != "" {
		return c.end(reason, "", 0), false
	}
	c.team = team
	c.class = c.profile.ClassFor(c.route, team)
	c.note("key", string(team))
	return Result{}, true
}

// admit takes the request from the team's rate.
func (c *course) admit(ctx context.Context) (Result, bool) {
	if c.route.Open() {
		return Result{}, true
	}
	err := c.router.rates.Take(ctx, c.team)
	var refusal Refusal
	if errors.As(err, &refusal) && Reason(refusal.Reason()) == ReasonRateExceeded {
		return c.end(ReasonRateExceeded, "", refusal.RetryAfter()), false
	}
	if err != nil {
		return c.refused(ctx, err, ReasonRateUnavailable), false
	}
	c.note("rate", "admitted")
	return Result{}, true
}

// readBody reads the body and refuses a request that is known to crash
// targets.
func (c *course) readBody(ctx context.Context, view View) (Result, bool) {
	digest, err := c.exchange.Body(ctx, c.service.MaxBodyBytes())
	if errors.Is(err, ErrBodyTooLarge) {
		return c.end(ReasonBodyTooLarge, "", 0), false
	}
	if err != nil {
		return c.refused(ctx, err, ReasonBodyIncomplete), false
	}
	c.fingerprint = fingerprint(c.team, c.request, digest)
	suspect, ok := view.Config().Suspect(c.fingerprint)
	now := c.router.clock.Now()
	if ok && suspect.Crashes() >= banCrashes && now.Before(suspect.Until()) {
		return c.end(ReasonBanned, "", suspect.Until().Sub(now)), false
	}
	return Result{}, true
}

// claim commits a claim for a non-idempotent request with an id.
func (c *course) claim(ctx context.Context) (Result, bool) {
	if c.route.Idempotent() || c.request.once == "" {
		return Result{}, true
	}
	if len(c.request.once) > maxIdempotencyKey {
		return c.end(ReasonIdempotencyKey, "", 0), false
	}
	c.attempt = c.router.next()
	key := once.NewKey(c.team, c.request.once)
	answer, err := c.router.claims.Claim(ctx, key, c.fingerprint, c.attempt)
	switch {
	case errors.Is(err, ErrIdempotencyKeyReused):
		return c.end(ReasonIdempotencyKeyReused, "", 0), false
	case errors.Is(err, ErrClaimsFull):
		return c.end(ReasonClaimsFull, err.Error(), time.Minute), false
	case err != nil:
		return c.refused(ctx, err, ReasonClaimUnavailable), false
	}
	return c.claimAnswer(ctx, answer)
}

// claimAnswer goes on with a request whose claim is new, and answers a resend
// with what is known of the first one.
func (c *course) claimAnswer(ctx context.Context, answer once.ClaimStatus) (Result, bool) {
	c.note("claim", answer.State().String())
	switch answer.State() {
	case once.Claimed:
		c.claimed = true
		return Result{}, true
	case once.Recorded:
		return c.replay(ctx, answer.Result()), false
	case once.Running:
		// The first request is still under way: this one did not run, but
		// the caller must not take that for the end of the first.
		return Result{outcome: Unknown, reason: ReasonRunning, retryAfter: time.Second}, false
	default:
		return Result{outcome: Unknown, reason: ReasonNotRetried}, false
	}
}

func (c *course) replay(ctx context.Context, result once.Result) Result {
	if result.IsTooLarge() {
		return Result{outcome: Ran, reason: ReasonResponseNotStored}
	}
	if err := c.exchange.Replay(ctx, result); err != nil {
		return Result{outcome: Ran, reason: ReasonReplayed, detail: err.Error(), started: true}
	}
	return Result{outcome: Ran, reason: ReasonReplayed, started: true}
}

// settle records the end of a claim. It outlives the caller.
func (c *course) settle(ctx context.Context, out Result) {
	if !c.claimed {
		return
	}
	resolution := once.Unknown()
	switch out.outcome {
	case Ran:
		resolution = once.Ran(c.exchange.RecordedResponse())
	case NotRun:
		resolution = once.NotRun()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	c.router.claims.Resolve(ctx, once.NewKey(c.team, c.request.once), c.attempt, resolution)
}
