package route

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/steer"
)

// banThreshold is the number of crashes of targets after which a request is
// refused.
const banThreshold = 2

// fingerprint returns a digest that is equal for equal requests. A zero byte
// ends each part. Only the path can contain one, so different parts never yield
// the same input.
func fingerprint(team ident.Team, q Request, body [32]byte) ident.Fingerprint {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00%s\x00%s\x00", team, q.host, q.method, q.path, q.query)
	_, _ = h.Write(body[:])
	return ident.Fingerprint(h.Sum(nil))
}

// sendWithRetry acquires a slot and sends the request, and retries once on
// another target where that is safe.
func (h *requestHandler) sendWithRetry(ctx context.Context) Result {
	region, err := h.router.regions.Pick(ctx, h.serviceName(), h.class.Name())
	if err != nil {
		return h.finishWithError(ctx, err, ReasonNoRegion)
	}
	h.addStep("region", string(region))
	var avoid []ident.Target
	for attempt := 1; ; attempt++ {
		slot, err := h.router.slots.Acquire(ctx, region, h.slotRequest(avoid))
		if err != nil {
			return h.finishWithError(ctx, err, ReasonNoSlot)
		}
		if out, ok := h.recheckKey(ctx, slot); !ok {
			return out
		}
		result := h.sendTo(ctx, slot)
		out, retry := h.handleAttempt(ctx, result, attempt)
		if !retry {
			return out
		}
		avoid = append(avoid, slot.Target())
	}
}

func (h *requestHandler) slotRequest(avoid []ident.Target) SlotRequest {
	return SlotRequest{
		service: h.serviceName(), team: h.team, avoid: avoid,
		class:       steer.NewClass(h.class.Name(), h.class.Urgent(), h.class.QueueLength(), h.class.MaxWait()),
		weight:      relativeWeight(h.profile, h.team),
		fingerprint: h.fingerprint, zone: h.request.zone, deadline: h.request.deadline,
	}
}

// maxWeight limits how many requests of one team are served in a row.
const maxWeight = 100

// relativeWeight scales the weights of a profile so that the smallest one is
// 1. Teams that the profile does not list have weight 1 before scaling.
func relativeWeight(profile *prof.Profile, team ident.Team) int {
	smallest := 1.0
	for _, t := range profile.TeamPolicies() {
		smallest = min(smallest, t.Weight())
	}
	return int(min(maxWeight, max(1, math.Round(profile.TeamPolicy(team).Weight()/smallest))))
}

// recheckKey refuses a request whose key was withdrawn, or whose view lease
// expired, while it waited in a queue.
func (h *requestHandler) recheckKey(ctx context.Context, slot Slot) (Result, bool) {
	if h.route.Open() {
		return Result{}, true
	}
	view, err := h.router.views.View(ctx)
	reason := ReasonNoView
	if err == nil {
		reason = h.keyRefusal(view)
	}
	if reason == "" {
		return Result{}, true
	}
	h.release(ctx, slot, steer.OutcomeCancelled, 0)
	return h.finish(reason, "after the queue", 0), false
}

// keyRefusal returns the reason to refuse the key, or nothing.
func (h *requestHandler) keyRefusal(view View) Reason {
	if !view.Fresh(h.router.clock.Now()) {
		return ReasonStaleView
	}
	_, reason := checkKey(view.Config(), h.request.key)
	return reason
}

func (h *requestHandler) sendTo(ctx context.Context, slot Slot) AttemptResult {
	h.target = slot.Target()
	h.addStep("send", string(slot.Target()))
	began := h.router.clock.Now()
	result := h.exchange.Send(ctx, slot.Address())
	h.release(ctx, slot, result.outcome, h.router.clock.Now().Sub(began))
	if !result.notRun {
		h.mayHaveRun = true
	}
	h.responseStarted = h.responseStarted || result.started
	h.addStep("sent", string(result.outcome))
	return result
}

// release frees the slot, also after the caller has cancelled.
func (h *requestHandler) release(ctx context.Context, slot Slot, outcome steer.Outcome, latency time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	h.router.slots.Release(ctx, slot, outcome, latency)
}

// handleAttempt decides whether the request is finished or retried.
func (h *requestHandler) handleAttempt(ctx context.Context, result AttemptResult, attempt int) (Result, bool) {
	if result.complete {
		h.addStep(string(Ran), "")
		return Result{outcome: Ran, started: true}, false
	}
	if h.canRetry(ctx, result, attempt) {
		h.addStep("retry", string(result.outcome))
		return Result{}, true
	}
	if ctx.Err() != nil {
		return h.finishWithError(ctx, ctx.Err(), reasonOf(result.outcome)), false
	}
	return h.finish(reasonOf(result.outcome), "", result.retryAfter), false
}

// canRetry reports whether the request may be sent a second time: the first
// attempt certainly did not run, or the route is idempotent and the response
// has not started or can be resumed. The service's retry budget must allow it
// in both cases.
func (h *requestHandler) canRetry(ctx context.Context, result AttemptResult, attempt int) bool {
	if attempt >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if !result.notRun {
		if !h.route.Idempotent() || (result.started && !result.resumable) {
			return false
		}
	}
	return h.router.budgets.Allow(ctx, h.serviceName(), h.profile.RetryBudget())
}

func reasonOf(e steer.Outcome) Reason {
	switch e {
	case steer.OutcomeCrashed:
		return ReasonCrashed
	case steer.OutcomeUnreachable:
		return ReasonUnreachable
	case steer.OutcomeShed, steer.OutcomeLeaving:
		return ReasonShed
	case steer.OutcomeTimeout:
		return ReasonDeadline
	case steer.OutcomeCancelled:
		return ReasonCancelled
	default:
		return ReasonResponseLost
	}
}
