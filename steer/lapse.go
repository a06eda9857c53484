package steer

import (
	"slices"
	"time"
)

// lapsedGrant is a grant of a process that has ended as far as the owner
// knows.
type lapsedGrant struct {
	*grant
	// lapsedAt is when the process ended, until when its request has ended.
	lapsedAt, until time.Time
}

// lapse keeps a grant counted while its request may still run.
func (p *Pool) lapse(now time.Time, g *grant) {
	timeout := g.target.service.timeout
	if until := g.since.Add(timeout + timeoutMargin); timeout > 0 && now.Before(until) {
		delete(p.holders[g.id.holder].grants, g.id.number)
		p.lapsed = append(p.lapsed, lapsedGrant{grant: g, lapsedAt: now, until: until})
		return
	}
	p.end(now, g, NewResult(OutcomeCancelled, 0))
}

// endLapsed frees the lapsed grants whose time has passed or whose target was
// idle after the lapse.
func (p *Pool) endLapsed(now time.Time) {
	p.lapsed = slices.DeleteFunc(p.lapsed, func(l lapsedGrant) bool {
		if now.Before(l.until) && !l.target.wasIdleAfter(l.lapsedAt) {
			return false
		}
		p.uncount(now, l.grant, NewResult(OutcomeCancelled, 0))
		return true
	})
}

// wasIdleAfter reports whether a report after the given time found the target
// without work.
func (t *target) wasIdleAfter(at time.Time) bool {
	return t.reported && t.report.idleAt.After(at)
}

// openDue opens the services whose timeout has passed since the take-over. An
// earlier owner gave its last grant before the take-over, to a request that
// had arrived before, and each request ends by the timeout of its service. A
// bound on the region's capacity is shared by all services, so that they open
// together then.
func (p *Pool) openDue(now time.Time) {
	if p.open || p.options.takenOver.IsZero() || len(p.order) == 0 {
		return
	}
	all := true
	for _, s := range p.order {
		due := s.timeout > 0 && !now.Before(p.options.takenOver.Add(s.timeout+timeoutMargin))
		s.open = due && p.capacity == 0
		all = all && due
	}
	p.open = all
}
