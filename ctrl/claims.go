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

// settleTimeout bounds one try to settle a claim.
const settleTimeout = 10 * time.Second

// Claims commits the claims of non-idempotent requests for the processes of an
// entry host. What could not be settled while the caller waited is settled by
// its task later.
type Claims struct {
	ref    *tasks.Ref
	client *Client
	member state.Member
}

var _ route.Claims = (*Claims)(nil)

// StartClaims starts the task.
func StartClaims(ctx context.Context, system *tasks.System, client *Client, self Self, log *slog.Logger) (*Claims, error) {
	t := &settler{ctx: ctx, client: client, log: log}
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

// Claim implements route.Claims. A repeated proposal of the same attempt finds
// its own claim, so lost answers do no harm.
func (c *Claims) Claim(ctx context.Context, key once.Key, fingerprint ident.Fingerprint, attempt uint64) (once.ClaimStatus, error) {
	claim := state.NewClaim(key, fingerprint, c.holder(attempt))
	outcome, err := c.client.Propose(ctx, claim)
	if errors.Is(err, ErrUnknown) {
		c.ref.Tell(unsettled{claim: claim})
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
		c.ref.Tell(unresolved{resolve: resolve})
	}
}

type (
	// unsettled is a claim that may be committed although nobody will run
	// its request.
	unsettled struct{ claim state.Claim }
	// unresolved is the end of a claim that is not committed yet.
	unresolved struct{ resolve state.Resolve }
	// settled tells that the work on the first pending entry has ended.
	settled struct{ err error }
)

// settler is the task that works off what is left, one entry at a time.
type settler struct {
	ctx     context.Context
	client  *Client
	log     *slog.Logger
	ref     *tasks.Ref
	pending []any
	busy    bool
}

var _ tasks.Task = (*settler)(nil)

// Handle implements tasks.Task.
func (s *settler) Handle(message any) {
	switch m := message.(type) {
	case unsettled, unresolved:
		s.pending = append(s.pending, m)
	case settled:
		s.busy = false
		if m.err == nil {
			s.pending = s.pending[1:]
		} else {
			s.log.Warn("ctrl: claim is not settled yet", "pending", len(s.pending), "error", m.err)
		}
	}
	s.work()
}

// work starts on the first pending entry.
func (s *settler) work() {
	if s.busy || len(s.pending) == 0 || s.ctx.Err() != nil {
		return
	}
	s.busy = true
	entry := s.pending[0]
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, settleTimeout)
		defer cancel()
		s.ref.Tell(settled{err: s.settle(ctx, entry)})
	}()
}

// settle commits one entry. A claim that nobody runs is committed first, so
// that a late copy of its first proposal changes nothing, and then freed.
func (s *settler) settle(ctx context.Context, entry any) error {
	var resolve state.Resolve
	switch e := entry.(type) {
	case unresolved:
		resolve = e.resolve
	case unsettled:
		outcome, err := s.client.Propose(ctx, e.claim)
		if err != nil {
			return fmt.Errorf("repeat claim: %w", err)
		}
		if outcome.Status() != state.Accepted || outcome.Claim().State() != once.Claimed {
			return nil
		}
		resolve = state.NewResolve(e.claim.Key(), e.claim.Holder(), once.NotRun())
	}
	if _, err := s.client.Propose(ctx, resolve); err != nil {
		return fmt.Errorf("resolve claim: %w", err)
	}
	return nil
}
