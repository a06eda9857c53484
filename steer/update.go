package steer

import (
	"time"

	"rhubarbrack/ident"
)

// SetTargets replaces the list of targets. A target that is not listed any
// more is leaving. The targets of the first list count as warm unless they
// are marked as cold, because a pool is also new when its owner was
// replaced; later ones start slowly.
func (p *Pool) SetTargets(now time.Time, list []Target) []Decision {
	for _, t := range p.targets {
		t.listed = false
	}
	for _, e := range list {
		p.setTarget(now, e)
	}
	for id, t := range p.targets {
		if !t.listed && t.inFlight == 0 {
			delete(p.targets, id)
		}
	}
	for _, s := range p.order {
		p.relist(now, s)
	}
	p.listed = true
	return p.settle(now)
}

func (p *Pool) setTarget(now time.Time, e Target) {
	t, known := p.targets[e.id]
	if !known {
		t = &target{}
		p.targets[e.id] = t
		t.drained = p.drains.Has(e.id)
		if p.listed {
			t.startRamp(now)
		}
	}
	wasCold := t.entry.cold
	t.entry, t.listed = e, true
	t.service = p.service(e.service)
	t.zone = p.zones.of(e.zone)
	if !e.cold.IsZero() && !e.cold.Equal(wasCold) {
		t.startRamp(e.cold)
	}
}

// Observe takes reports of probes into account. A report that is older than
// the last one is ignored. A target that said it was leaving gets new work
// only after a later report says that it is not.
func (p *Pool) Observe(now time.Time, reports ...ProbeReport) []Decision {
	for _, r := range reports {
		t, ok := p.targets[r.target]
		if !ok || t.reported && !r.at.After(t.report.at) {
			continue
		}
		t.report, t.reported = r, true
		if r.leaving {
			t.saidLeaving, t.saidAt = true, r.at
		} else if t.saidLeaving && r.at.After(t.saidAt) {
			t.saidLeaving = false
		}
	}
	return p.settle(now)
}

// SetDrains replaces the set of targets that operators drain.
func (p *Pool) SetDrains(now time.Time, drains ident.Set[ident.Target]) []Decision {
	p.drains = drains
	for id, t := range p.targets {
		t.drained = drains.Has(id)
	}
	return p.settle(now)
}
