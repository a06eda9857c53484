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

// rateLimiter lets the router take from the rateLimiter of teams.
type rateLimiter struct {
	holder *entry.RateHolder
}

var _ route.RateLimiter = rateLimiter{}

// Take implements route.Rates.
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

// rateRefusal is the refusal of a rate holder.
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

// slotAcquirer lets the router ask for slotAcquirer.
type slotAcquirer struct {
	client *entry.SlotClient
}

var _ route.Slots = slotAcquirer{}

// Acquire implements route.Slots.
func (s slotAcquirer) Acquire(ctx context.Context, region ident.Region, need route.SlotRequest) (route.Slot, error) {
	ask := steer.NewSlotRequest(steer.SlotRequestID{}, need.Service(), need.Team(), need.Class(), need.Deadline(),
		steer.WithWeight(need.Weight()), steer.WithZone(need.Zone()),
		steer.WithFingerprint(need.Fingerprint()), steer.WithAvoid(need.Avoid()...))
	grant, err := s.client.Acquire(ctx, entry.NewSlotRequest(region, ask))
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
func (s slotAcquirer) Release(ctx context.Context, slot route.Slot, ending steer.Outcome, latency time.Duration) {
	grant, ok := slot.(entry.SlotGrant)
	if !ok {
		return
	}
	result := steer.NewResult(ending, latency)
	if ending != steer.OutcomeCrashed {
		s.client.Release(grant, result)
		return
	}
	// The error only tells that the suspicion is not known to be in force in
	// time; the client goes on with the release.
	_ = s.client.ReleaseAndWait(ctx, grant, result)
}

// slotRefusal is a refusal of a slot owner.
type slotRefusal struct{ err *entry.SlotError }

var _ route.Refusal = slotRefusal{}

// Error implements error.
func (s slotRefusal) Error() string { return s.err.Error() }

// Reason implements route.Refusal.
func (s slotRefusal) Reason() string { return string(s.err.Reason()) }

// RetryAfter implements route.Refusal.
func (s slotRefusal) RetryAfter() time.Duration { return s.err.RetryAfter() }

// markReplicator replicates suspicions against requests through the control hosts.
type markReplicator struct {
	client *ctrl.Client
}

var _ entry.MarkReplicator = markReplicator{}

// ReplicateMarks implements entry.SlotMarker.
func (m markReplicator) ReplicateMarks(ctx context.Context, marks []guard.Mark) error {
	var last ident.Revision
	for _, k := range marks {
		outcome, err := m.client.Propose(ctx, state.NewMarkSuspect(k.Fingerprint(), k.Crashes(), k.Until()))
		if err != nil {
			return fmt.Errorf("mark %s: %w", k.Fingerprint(), err)
		}
		if err := outcome.Err(); err != nil {
			return fmt.Errorf("mark %s: %w", k.Fingerprint(), err)
		}
		last = max(last, outcome.Revision())
	}
	if err := m.client.InForce(ctx, last); err != nil {
		return fmt.Errorf("put marks in force: %w", err)
	}
	return nil
}
