package node

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/ctrl"
	"rhubarbrack/entry"
	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/limit"
	"rhubarbrack/route"
	"rhubarbrack/state"
	"rhubarbrack/steer"
)

// rateLimiter implements route.RateLimiter with the rate holder of the host.
type rateLimiter struct {
	holder *entry.RateHolder
}

var _ route.RateLimiter = rateLimiter{}

// Take implements route.RateLimiter.
func (r rateLimiter) Take(ctx context.Context, team ident.Team) error {
	admitted, retryAfter, reason, err := r.holder.Take(ctx, team)
	if err != nil {
		return fmt.Errorf("take from the rate of %s: %w", team, err)
	}
	if !admitted {
		return &rateRefusal{reason: reason, retryAfter: retryAfter}
	}
	return nil
}

// rateRefusal is a refusal by the rate holder.
type rateRefusal struct {
	reason     limit.Reason
	retryAfter time.Duration
}

var _ route.Refusal = (*rateRefusal)(nil)

// Error implements error.
func (r *rateRefusal) Error() string { return "rate: " + string(r.reason) }

// Reason implements route.Refusal.
func (r *rateRefusal) Reason() string { return string(r.reason) }

// RetryAfter implements route.Refusal.
func (r *rateRefusal) RetryAfter() time.Duration { return r.retryAfter }

// slotAcquirer implements route.Slots with the slot client of the host.
type slotAcquirer struct {
	client *entry.SlotClient
}

var _ route.Slots = slotAcquirer{}

// Acquire implements route.Slots.
func (s slotAcquirer) Acquire(ctx context.Context, region ident.Region, request route.SlotRequest) (route.Slot, error) {
	slotRequest := steer.NewSlotRequest(steer.SlotRequestID{}, request.Service(), request.Team(), request.Class(), request.Deadline(),
		steer.WithWeight(request.Weight()), steer.WithZone(request.Zone()),
		steer.WithFingerprint(request.Fingerprint()), steer.WithAvoid(request.Avoid()...))
	grant, err := s.client.Acquire(ctx, entry.NewSlotRequest(region, slotRequest))
	var refused *entry.SlotError
	if errors.As(err, &refused) {
		return nil, slotRefusal{err: refused}
	}
	if err != nil {
		return nil, fmt.Errorf("acquire slot in %s: %w", region, err)
	}
	return grant, nil
}

// Release implements route.Slots.
func (s slotAcquirer) Release(ctx context.Context, slot route.Slot, outcome steer.Outcome, latency time.Duration) {
	grant, ok := slot.(entry.SlotGrant)
	if !ok {
		return
	}
	result := steer.NewResult(outcome, latency)
	if outcome != steer.OutcomeCrashed {
		s.client.Release(grant, result)
		return
	}
	// An error means only that the suspect mark was not confirmed in time; the
	// client still completes the release.
	_ = s.client.ReleaseAndWait(ctx, grant, result)
}

// slotRefusal is a refusal by a slot owner.
type slotRefusal struct{ err *entry.SlotError }

var _ route.Refusal = slotRefusal{}

// Error implements error.
func (s slotRefusal) Error() string { return s.err.Error() }

// Reason implements route.Refusal.
func (s slotRefusal) Reason() string { return string(s.err.Reason()) }

// RetryAfter implements route.Refusal.
func (s slotRefusal) RetryAfter() time.Duration { return s.err.RetryAfter() }

// markReplicator replicates the marks of requests that are suspected of crashing
// targets, through the control hosts.
type markReplicator struct {
	client *ctrl.Client
}

var _ entry.MarkReplicator = markReplicator{}

// ReplicateMarks implements entry.MarkReplicator.
func (m markReplicator) ReplicateMarks(ctx context.Context, marks []guard.Mark) error {
	var last ident.Revision
	for _, mark := range marks {
		outcome, err := m.client.Propose(ctx, state.NewMarkSuspect(mark.Fingerprint(), mark.Crashes(), mark.Until()))
		if err != nil {
			return fmt.Errorf("propose suspect mark %s: %w", mark.Fingerprint(), err)
		}
		if err := outcome.Err(); err != nil {
			return fmt.Errorf("apply suspect mark %s: %w", mark.Fingerprint(), err)
		}
		last = max(last, outcome.Revision())
	}
	if err := m.client.InForce(ctx, last); err != nil {
		return fmt.Errorf("wait until suspect marks are in force: %w", err)
	}
	return nil
}
