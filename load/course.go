package load

import (
	"context"
	"errors"
	"slices"
	"time"

	"rhubarbrack/tasks"
)

// maxUnsent bounds the attempts that reach no host.
const maxUnsent = 8

// course is one request of a team from its scheduled arrival to its end.
type course struct {
	*runner
	team   Team
	route  Route
	bucket *bucket
	due    time.Time
	id     string

	avoid   []string
	resends int
	offered offering
}

// run makes attempts until an answer arrives, or no further attempt is
// allowed.
func (c *course) run(ctx context.Context) ended {
	started := c.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, c.due.Add(c.plan.timeout).Sub(started))
	defer cancel()
	v := c.attempt(ctx)
	for c.again(ctx, v) {
		v = c.attempt(ctx)
	}
	fate := fateOf(v)
	if fate == unsent && c.resends > 0 {
		// An earlier attempt may have run.
		fate = unknown
	}
	e := ended{
		team: c.team.name, class: c.route.class, fate: fate, status: v.status, reason: v.reason,
		resends: c.resends, lateness: started.Sub(c.due), latency: c.clock.Now().Sub(c.due),
	}
	if fate == refused && v.reason == reasonRate {
		e.offered = c.judge(ctx)
	}
	return e
}

// judge decides about a refusal by rate once the later offers that can have
// overtaken the request are known.
func (c *course) judge(ctx context.Context) conformity {
	waited := c.await(ctx, c.bucket.due(c.offered))
	got := c.bucket.judge(c.offered)
	if got == conforms && !waited {
		return disputed
	}
	return got
}

// attempt sends the request to one host.
func (c *course) attempt(ctx context.Context) verdict {
	p, err := tasks.Ask(ctx, c.finder, func(reply tasks.Reply[picked]) any {
		return pick{service: c.route.service, avoid: c.avoid, reply: reply}
	})
	if err == nil {
		err = p.err
	}
	if err != nil {
		return verdict{err: errors.Join(errUnsent, err)}
	}
	c.offered = c.bucket.offer(c.clock.Now())
	v := send(ctx, c.http, p.address, c.team.key, c.id, c.route)
	if errors.Is(v.err, errUnsent) {
		c.bucket.refund()
	}
	if v.err != nil {
		c.avoid = append(c.avoid, p.address)
	}
	return v
}

// again reports whether another attempt follows: at once on another host when
// nothing was sent, and after a pause, with the same Idempotency-Key, when
// the answer was lost or the first attempt still runs.
func (c *course) again(ctx context.Context, v verdict) bool {
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(v.err, errUnsent) {
		return c.elsewhere(ctx)
	}
	if (v.err == nil && v.reason != reasonRunning) || !c.route.keyed || c.resends >= c.plan.resends {
		return false
	}
	c.resends++
	return c.await(ctx, c.clock.Now().Add(c.plan.pause))
}

// elsewhere reports whether an attempt follows one that reached no host. The
// look-up yields a host a second time only when all others failed as well.
func (c *course) elsewhere(ctx context.Context) bool {
	last := len(c.avoid) - 1
	if last < 0 || last >= maxUnsent {
		return false
	}
	if slices.Contains(c.avoid[:last], c.avoid[last]) {
		return c.await(ctx, c.clock.Now().Add(c.plan.pause))
	}
	return true
}
