package steer

import (
	"slices"
	"time"
)

// orphanedGrant is a grant of a process that the owner has declared ended.
type orphanedGrant struct {
	*grant
	// processEndedAt is when the process was declared ended, and endsBy when
	// the request has certainly ended.
	processEndedAt, endsBy time.Time
}

// orphan keeps a grant counted while its request may still run.
func (p *Pool) orphan(now time.Time, g *grant) {
	timeout := g.target.service.timeout
	if until := g.since.Add(timeout + timeoutMargin); timeout > 0 && now.Before(until) {
		delete(p.holders[g.id.holder].grants, g.id.number)
		p.orphaned = append(p.orphaned, orphanedGrant{grant: g, processEndedAt: now, endsBy: until})
		return
	}
	p.endGrant(now, g, NewResult(OutcomeCancelled, 0))
}

// endOrphaned frees the orphaned grants whose requests must have ended, and
// those whose target was idle after the end of the process.
func (p *Pool) endOrphaned(now time.Time) {
	p.orphaned = slices.DeleteFunc(p.orphaned, func(o orphanedGrant) bool {
		if now.Before(o.endsBy) && !o.target.wasIdleAfter(o.processEndedAt) {
			return false
		}
		p.uncountGrant(now, o.grant, NewResult(OutcomeCancelled, 0))
		return true
	})
}

// wasIdleAfter reports whether the target was found idle after the given time.
func (t *target) wasIdleAfter(at time.Time) bool {
	return t.hasReport && t.report.idleAt.After(at)
}

// openAfterTimeout opens the services whose timeout has passed since the
// takeover. An earlier owner made its last grant before the takeover, for a
// request that had already arrived, and each request ends by the timeout of its
// service. When the region's capacity is bounded, all services share it and
// therefore open together.
func (p *Pool) openAfterTimeout(now time.Time) {
	if p.open || p.options.takeoverTime.IsZero() || len(p.serviceOrder) == 0 {
		return
	}
	all := true
	for _, s := range p.serviceOrder {
		due := s.timeout > 0 && !now.Before(p.options.takeoverTime.Add(s.timeout+timeoutMargin))
		s.open = due && p.capacity == 0
		all = all && due
	}
	p.open = all
}
