package load

import (
	"context"
	"errors"
	"slices"
	"time"

	"rhubarbrack/tasks"
)

// maxUnsent bounds the number of failed attempts before a request that reaches
// no host is given up.
const maxUnsent = 8

// exchange is the lifecycle of one request of a team, from its scheduled
// arrival to its result.
type exchange struct {
	*runner
	team      Team
	route     Route
	bucket    *bucket
	scheduled time.Time
	requestID string

	avoid   []string
	resends int
	charged chargeResult
}

// run makes attempts until a response arrives or no further attempt is
// allowed.
func (x *exchange) run(ctx context.Context) requestResult {
	started := x.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, x.scheduled.Add(x.plan.timeout).Sub(started))
	defer cancel()
	last := x.attempt(ctx)
	for x.shouldRetry(ctx, last) {
		last = x.attempt(ctx)
	}
	outcome := outcomeOf(last)
	if outcome == unsent && x.resends > 0 {
		// An earlier attempt may have run.
		outcome = unknown
	}
	result := requestResult{
		team: x.team.name, class: x.route.class, outcome: outcome, status: last.status, reason: last.reason,
		resends: x.resends, lateness: started.Sub(x.scheduled), latency: x.clock.Now().Sub(x.scheduled),
	}
	if outcome == refused && last.reason == reasonRate {
		result.conformity = x.classifyRefusal(ctx)
	}
	return result
}

// classifyRefusal classifies a refusal by rate. It first waits until all later
// offers that can have overtaken the request are charged; if the context ends
// before that, a conforming request is classified as disputed.
func (x *exchange) classifyRefusal(ctx context.Context) conformity {
	waited := x.waitUntil(ctx, x.bucket.classifyAt(x.charged))
	got := x.bucket.classify(x.charged)
	if got == conforms && !waited {
		return disputed
	}
	return got
}

// attempt sends the request to one host.
func (x *exchange) attempt(ctx context.Context) attemptResult {
	host, err := tasks.Ask(ctx, x.resolver, func(reply tasks.Reply[resolvedHost]) any {
		return resolveRequest{service: x.route.service, avoid: x.avoid, reply: reply}
	})
	if err == nil {
		err = host.err
	}
	if err != nil {
		return attemptResult{err: errors.Join(errUnsent, err)}
	}
	x.charged = x.bucket.charge(x.clock.Now())
	result := send(ctx, x.http, host.address, x.team.apiKey, x.requestID, x.route)
	if errors.Is(result.err, errUnsent) {
		x.bucket.refund()
	}
	if result.err != nil {
		x.avoid = append(x.avoid, host.address)
	}
	return result
}

// shouldRetry reports whether another attempt follows. When nothing was sent,
// another host is tried at once. When the response was lost or the first
// attempt is still running, the request is resent after a pause with the same
// Idempotency-Key, if the route has one.
func (x *exchange) shouldRetry(ctx context.Context, last attemptResult) bool {
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(last.err, errUnsent) {
		return x.canTryOtherHost(ctx)
	}
	if (last.err == nil && last.reason != reasonRunning) || !x.route.hasIdempotencyKey || x.resends >= x.plan.resends {
		return false
	}
	x.resends++
	return x.waitUntil(ctx, x.clock.Now().Add(x.plan.resendPause))
}

// canTryOtherHost reports whether to retry after an attempt that reached no
// host. The resolver returns a failed host again only when all others failed
// too; the retry then waits for the resend pause.
func (x *exchange) canTryOtherHost(ctx context.Context) bool {
	last := len(x.avoid) - 1
	if last < 0 || last >= maxUnsent {
		return false
	}
	if slices.Contains(x.avoid[:last], x.avoid[last]) {
		return x.waitUntil(ctx, x.clock.Now().Add(x.plan.resendPause))
	}
	return true
}
