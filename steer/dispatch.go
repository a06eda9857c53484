package steer

import "time"

// Tick refuses the asks whose time has come and grants what time has freed:
// ramps, ended ejections and stale reports. Call it every few milliseconds
// while asks wait.
func (p *Pool) Tick(now time.Time) []Decision { return p.settle(now) }

// settle recomputes all scores and then decides on the waiting asks.
func (p *Pool) settle(now time.Time) []Decision {
	p.openDue(now)
	p.endLapsed(now)
	p.refresh(now)
	p.expire(now)
	p.refuseBanned(now)
	p.dispatchAll(now)
	return p.take()
}

func (p *Pool) refresh(now time.Time) {
	p.refreshed = now
	for _, s := range p.order {
		s.refresh(now, p.options)
	}
}

func (p *Pool) refreshIfDue(now time.Time) {
	if now.Sub(p.refreshed) >= refreshInterval {
		p.refresh(now)
	}
}

// take returns the decisions made since the last call.
func (p *Pool) take() []Decision {
	out := p.out
	p.out = nil
	return out
}

// expire refuses the asks that have waited long enough.
func (p *Pool) expire(now time.Time) {
	for len(p.expiries) > 0 && !now.Before(p.expiries[0].expiry) {
		w := p.expiries[0]
		reason := ReasonLongestWait
		if !now.Before(w.ask.deadline) {
			reason = ReasonDeadline
		}
		p.refuse(w, reason, w.service.wait(w.ask))
	}
}

func (p *Pool) refuse(w *waiter, reason Reason, retryAfter time.Duration) {
	p.dequeue(w)
	p.out = append(p.out, Refused{
		id: w.ask.id, reason: reason,
		retryAfter: min(greatestRetryAfter, max(leastRetryAfter, retryAfter)),
	})
}

// refuseBanned refuses asks whose fingerprint was banned while they waited,
// and asks for which no target is left.
func (p *Pool) refuseBanned(now time.Time) {
	var hopeless []*waiter
	for _, w := range p.expiries {
		_, banned := p.options.screen.Banned(now, w.ask.fingerprint)
		if banned || p.isOpen(w.service) && p.listed && !w.service.serves(w.ask) {
			hopeless = append(hopeless, w)
		}
	}
	for _, w := range hopeless {
		if until, banned := p.options.screen.Banned(now, w.ask.fingerprint); banned {
			p.dequeue(w)
			p.out = append(p.out, Refused{id: w.ask.id, reason: ReasonBanned, retryAfter: until.Sub(now)})
			continue
		}
		p.refuse(w, ReasonNoTarget, greatestRetryAfter)
	}
}

// dispatchFor grants freed slots of one service. When the region's capacity
// is the bound, the slot may go to any service.
func (p *Pool) dispatchFor(now time.Time, s *service) []Decision {
	if p.capacity > 0 {
		p.dispatchAll(now)
	} else if p.grants(s) {
		p.serve(now, s, s.urgent)
		p.serve(now, s, s.normal)
	}
	return p.take()
}

// dispatchAll grants to the urgent classes of all services first. The
// services take turns at the first place.
func (p *Pool) dispatchAll(now time.Time) {
	if p.paused || len(p.order) == 0 {
		return
	}
	p.turn = (p.turn + 1) % len(p.order)
	for _, urgent := range []bool{true, false} {
		for i := range p.order {
			s := p.order[(p.turn+i)%len(p.order)]
			p.serve(now, s, s.group(urgent))
		}
	}
}

// serve grants to a group of classes until no waiting ask fits.
func (p *Pool) serve(now time.Time, s *service, g *group) {
	for p.isOpen(s) && g.waiting() > 0 && s.hasRoom(g == s.urgent) {
		var t *target
		w := g.pick(func(w *waiter) bool {
			t = p.find(now, s, &w.ask)
			return t != nil
		})
		if w == nil {
			return
		}
		p.dequeue(w)
		p.out = append(p.out, granted(p.grant(now, p.holders[w.ask.id.holder], w.ask, t)))
	}
}
