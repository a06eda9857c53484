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

// banCrashes is the number of crashed targets after which a request is
// refused.
const banCrashes = 2

// fingerprint digests what makes two requests the same. The parts are
// separated by a byte that none of them contains.
func fingerprint(team ident.Team, q Request, body [32]byte) ident.Fingerprint {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00%s\x00%s\x00", team, q.host, q.method, q.path, q.query)
	_, _ = h.Write(body[:])
	return ident.Fingerprint(h.Sum(nil))
}

// send acquires a slot and sends the request, and does so a second time on
// another target where that is safe.
func (c *course) send(ctx context.Context) Result {
	region, err := c.router.regions.Pick(ctx, c.serviceName(), c.class.Name())
	if err != nil {
		return c.refused(ctx, err, ReasonNoRegion)
	}
	c.note("region", string(region))
	var avoid []ident.Target
	for sends := 1; ; sends++ {
		slot, err := c.router.slots.Acquire(ctx, region, c.need(avoid))
		if err != nil {
			return c.refused(ctx, err, ReasonNoSlot)
		}
		if out, ok := c.checkAgain(ctx, slot); !ok {
			return out
		}
		sent := c.sendTo(ctx, slot)
		out, again := c.judge(ctx, sent, sends)
		if !again {
			return out
		}
		avoid = append(avoid, slot.Target())
	}
}

func (c *course) need(avoid []ident.Target) SlotRequest {
	return SlotRequest{
		service: c.serviceName(), team: c.team, avoid: avoid,
		class:       steer.NewClass(c.class.Name(), c.class.Urgent(), c.class.QueueLength(), c.class.MaxWait()),
		weight:      relativeWeight(c.profile, c.team),
		fingerprint: c.fingerprint, zone: c.request.zone, deadline: c.request.deadline,
	}
}

// maxWeight bounds the requests of one team that are served in a row.
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

// checkAgain guards against a key that was withdrawn, or a lease that ended,
// while the request waited in a queue.
func (c *course) checkAgain(ctx context.Context, slot Slot) (Result, bool) {
	if c.route.Open() {
		return Result{}, true
	}
	view, err := c.router.views.View(ctx)
	reason := ReasonNoView
	if err == nil {
		reason = c.keyFault(view)
	}
	if reason == "" {
		return Result{}, true
	}
	c.release(ctx, slot, steer.OutcomeCancelled, 0)
	return c.end(reason, "after the queue", 0), false
}

func (c *course) keyFault(view View) Reason {
	if !view.Fresh(c.router.clock.Now()) {
		return ReasonStaleView
	}
	_, reason := checkKey(view.Config(), c.request.key)
	return reason
}

func (c *course) sendTo(ctx context.Context, slot Slot) AttemptResult {
	c.target = slot.Target()
	c.note("send", string(slot.Target()))
	began := c.router.clock.Now()
	sent := c.exchange.Send(ctx, slot.Address())
	c.release(ctx, slot, sent.ending, c.router.clock.Now().Sub(began))
	if !sent.proved {
		c.written = true
	}
	c.started = c.started || sent.started
	c.note("sent", string(sent.ending))
	return sent
}

// release gives the slot back even when the caller is gone.
func (c *course) release(ctx context.Context, slot Slot, ending steer.Outcome, latency time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	c.router.slots.Release(ctx, slot, ending, latency)
}

// judge decides whether the request has ended or is sent again.
func (c *course) judge(ctx context.Context, sent AttemptResult, sends int) (Result, bool) {
	if sent.whole {
		c.note(string(Ran), "")
		return Result{outcome: Ran, started: true}, false
	}
	if c.sendAgain(ctx, sent, sends) {
		c.note("retry", string(sent.ending))
		return Result{}, true
	}
	if ctx.Err() != nil {
		return c.refused(ctx, ctx.Err(), reasonOf(sent.ending)), false
	}
	return c.end(reasonOf(sent.ending), "", sent.retry), false
}

// sendAgain allows a second send when the first certainly did not run, or
// when the route is idempotent, the answer has not started or can be
// continued, and the service's retry budget is not used up.
func (c *course) sendAgain(ctx context.Context, sent AttemptResult, sends int) bool {
	if sends >= maxSends || ctx.Err() != nil {
		return false
	}
	if !sent.proved {
		if !c.route.Idempotent() || (sent.started && !sent.resumable) {
			return false
		}
	}
	return c.router.budgets.Allow(ctx, c.serviceName(), c.profile.RetryBudget())
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
