package steer

import "time"

// Tick refuses the slot requests that have expired, and grants the slots that
// became available with time: by slow start, at the end of an ejection, or
// when a report became stale. Call it every few milliseconds while slot
// requests wait.
func (p *Pool) Tick(now time.Time) []Decision { return p.reevaluate(now) }

// reevaluate recomputes all scores and then decides on the queued slot
// requests.
func (p *Pool) reevaluate(now time.Time) []Decision {
	p.openAfterTimeout(now)
	p.endOrphaned(now)
	p.refresh(now)
	p.refuseExpired(now)
	p.refuseUnservable(now)
	p.dispatchAll(now)
	return p.takeDecisions()
}

func (p *Pool) refresh(now time.Time) {
	p.refreshedAt = now
	for _, s := range p.serviceOrder {
		s.refresh(now, p.options)
	}
}

func (p *Pool) refreshIfDue(now time.Time) {
	if now.Sub(p.refreshedAt) >= refreshInterval {
		p.refresh(now)
	}
}

// takeDecisions returns the decisions made since the last call.
func (p *Pool) takeDecisions() []Decision {
	out := p.decisions
	p.decisions = nil
	return out
}

// refuseExpired refuses the slot requests that reached their maximum wait or
// their deadline.
func (p *Pool) refuseExpired(now time.Time) {
	for len(p.expiries) > 0 && !now.Before(p.expiries[0].expiry) {
		w := p.expiries[0]
		reason := ReasonMaxWait
		if !now.Before(w.request.deadline) {
			reason = ReasonDeadline
		}
		p.refuse(w, reason, w.service.estimateWait(w.request))
	}
}

func (p *Pool) refuse(w *waiter, reason Reason, retryAfter time.Duration) {
	p.dequeue(w)
	p.decisions = append(p.decisions, Refused{
		id: w.request.id, reason: reason,
		retryAfter: min(maxRetryAfter, max(minRetryAfter, retryAfter)),
	})
}

// refuseUnservable refuses slot requests whose fingerprint was banned while
// they waited, and those for which no target is left.
func (p *Pool) refuseUnservable(now time.Time) {
	var unservable []*waiter
	for _, w := range p.expiries {
		_, banned := p.options.guard.Banned(now, w.request.fingerprint)
		if banned || p.isOpen(w.service) && p.hasTargetList && !w.service.canServe(w.request) {
			unservable = append(unservable, w)
		}
	}
	for _, w := range unservable {
		if until, banned := p.options.guard.Banned(now, w.request.fingerprint); banned {
			p.dequeue(w)
			p.decisions = append(p.decisions, Refused{id: w.request.id, reason: ReasonBanned, retryAfter: until.Sub(now)})
			continue
		}
		p.refuse(w, ReasonNoTarget, maxRetryAfter)
	}
}

// dispatchFor grants freed slots of one service. When the capacity of the
// region is bounded, the freed slot may go to any service.
func (p *Pool) dispatchFor(now time.Time, s *service) []Decision {
	if p.capacity > 0 {
		p.dispatchAll(now)
	} else if p.canGrant(s) {
		p.dispatchGroup(now, s, s.urgent)
		p.dispatchGroup(now, s, s.normal)
	}
	return p.takeDecisions()
}

// dispatchAll serves the urgent classes of all services first. Each call
// starts with another service, so that none always comes first.
func (p *Pool) dispatchAll(now time.Time) {
	if p.suspended || len(p.serviceOrder) == 0 {
		return
	}
	p.rotation = (p.rotation + 1) % len(p.serviceOrder)
	for _, urgent := range []bool{true, false} {
		for i := range p.serviceOrder {
			s := p.serviceOrder[(p.rotation+i)%len(p.serviceOrder)]
			p.dispatchGroup(now, s, s.group(urgent))
		}
	}
}

// dispatchGroup grants slots to a priority group until no queued request of it
// can be served.
func (p *Pool) dispatchGroup(now time.Time, s *service, g *priorityGroup) {
	for p.isOpen(s) && g.waiting() > 0 && s.hasFreeSlot(g == s.urgent) {
		var t *target
		w := g.pick(func(w *waiter) bool {
			t = p.findTarget(now, s, &w.request)
			return t != nil
		})
		if w == nil {
			return
		}
		p.dequeue(w)
		p.decisions = append(p.decisions, granted(p.grant(now, p.holders[w.request.id.holder], w.request, t)))
	}
}
