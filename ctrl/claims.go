package ctrl

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/route"
	"rhubarbrack/state"
	"rhubarbrack/tasks"
)

// resolveTimeout bounds one attempt to resolve a claim.
const resolveTimeout = 10 * time.Second

// Claims commits the claims of non-idempotent requests of an entry host. Claims
// that could not be resolved while the caller waited are resolved later by its
// task.
type Claims struct {
	ref    *tasks.Ref
	client *Client
	member state.Member
}

var _ route.Claims = (*Claims)(nil)

// StartClaims starts the task.
func StartClaims(ctx context.Context, system *tasks.System, client *Client, self Self, log *slog.Logger) (*Claims, error) {
	t := &claimResolver{ctx: ctx, client: client, log: log}
	ref, err := tasks.Spawn(ctx, system, "ctrl-claims", t)
	if err != nil {
		return nil, fmt.Errorf("start claims: %w", err)
	}
	t.ref = ref
	return &Claims{ref: ref, client: client, member: self.Member()}, nil
}

// Done returns a channel that is closed when the task has ended.
func (c *Claims) Done() <-chan struct{} { return c.ref.Done() }

func (c *Claims) holder(attempt uint64) once.Holder {
	return once.NewHolder(c.member.Host(), c.member.Incarnation(), attempt)
}

// Claim implements route.Claims. A retried proposal of the same attempt finds
// its own claim, so a lost reply does no harm.
func (c *Claims) Claim(ctx context.Context, key once.Key, fingerprint ident.Fingerprint, attempt uint64) (once.ClaimStatus, error) {
	claim := state.NewClaim(key, fingerprint, c.holder(attempt))
	outcome, err := c.client.Propose(ctx, claim)
	if errors.Is(err, ErrUnknown) {
		c.ref.Tell(uncertainClaim{claim: claim})
	}
	if err != nil {
		return once.ClaimStatus{}, fmt.Errorf("claim %s of team %s: %w", key.Request(), key.Team(), err)
	}
	if err := claimError(outcome); err != nil {
		return once.ClaimStatus{}, fmt.Errorf("claim %s of team %s: %w", key.Request(), key.Team(), err)
	}
	return outcome.Claim(), nil
}

// claimError returns the typed error of a refused claim.
func claimError(outcome state.Outcome) error {
	switch {
	case outcome.Status() == state.Accepted:
		return nil
	case outcome.Reason() == state.ReasonClaimMismatch:
		return route.ErrIdempotencyKeyReused
	case outcome.Reason() == state.ReasonClaimsFull:
		return fmt.Errorf("%w: %s", route.ErrClaimsFull, outcome.Detail())
	}
	return fmt.Errorf("claim refused: %w", outcome.Err())
}

// Resolve implements route.Claims.
func (c *Claims) Resolve(ctx context.Context, key once.Key, attempt uint64, resolution once.Resolution) {
	resolve := state.NewResolve(key, c.holder(attempt), resolution)
	if _, err := c.client.Propose(ctx, resolve); err != nil {
		c.ref.Tell(pendingResolution{resolve: resolve})
	}
}

type (
	// uncertainClaim is a claim that may be committed although its request will
	// not be run.
	uncertainClaim struct{ claim state.Claim }
	// pendingResolution is the resolution of a claim that could not be
	// committed yet.
	pendingResolution struct{ resolve state.Resolve }
	// resolveFinished reports the result for the first pending entry.
	resolveFinished struct{ err error }
)

// claimResolver is the task that resolves the pending claims, one at a time.
type claimResolver struct {
	ctx       context.Context
	client    *Client
	log       *slog.Logger
	ref       *tasks.Ref
	pending   []any
	resolving bool
}

var _ tasks.Task = (*claimResolver)(nil)

// Handle implements tasks.Task.
func (r *claimResolver) Handle(message any) {
	switch m := message.(type) {
	case uncertainClaim, pendingResolution:
		r.pending = append(r.pending, m)
	case resolveFinished:
		r.resolving = false
		if m.err == nil {
			r.pending = r.pending[1:]
		} else {
			r.log.Warn("ctrl: claim is not resolved yet", "pending", len(r.pending), "error", m.err)
		}
	}
	r.startNext()
}

// startNext starts to resolve the first pending entry in a goroutine.
func (r *claimResolver) startNext() {
	if r.resolving || len(r.pending) == 0 || r.ctx.Err() != nil {
		return
	}
	r.resolving = true
	entry := r.pending[0]
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, resolveTimeout)
		defer cancel()
		r.ref.Tell(resolveFinished{err: r.resolvePending(ctx, entry)})
	}()
}

// resolvePending commits the resolution of one entry. It first proposes an
// uncertain claim again, so that a delayed copy of the first proposal has no
// effect, and then resolves it as not run.
func (r *claimResolver) resolvePending(ctx context.Context, entry any) error {
	var resolve state.Resolve
	switch e := entry.(type) {
	case pendingResolution:
		resolve = e.resolve
	case uncertainClaim:
		outcome, err := r.client.Propose(ctx, e.claim)
		if err != nil {
			return fmt.Errorf("retry claim: %w", err)
		}
		if outcome.Status() != state.Accepted || outcome.Claim().State() != once.Claimed {
			return nil
		}
		resolve = state.NewResolve(e.claim.Key(), e.claim.Holder(), once.NotRun())
	}
	if _, err := r.client.Propose(ctx, resolve); err != nil {
		return fmt.Errorf("resolve claim: %w", err)
	}
	return nil
}
