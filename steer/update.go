package steer

import (
	"time"

	"rhubarbrack/ident"
)

// SetTargets replaces the list of targets. A target that is no longer listed
// is leaving. The targets of the first list count as warm unless they are
// marked as cold, because a pool is also new after its owner was replaced;
// targets added later begin with slow start.
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
	for _, s := range p.serviceOrder {
		p.rebuildTargets(now, s)
	}
	p.hasTargetList = true
	return p.reevaluate(now)
}

func (p *Pool) setTarget(now time.Time, e Target) {
	t, known := p.targets[e.id]
	if !known {
		t = &target{}
		p.targets[e.id] = t
		t.drained = p.drains.Has(e.id)
		if p.hasTargetList {
			t.beginSlowStart(now)
		}
	}
	previous := t.entry.coldSince
	t.entry, t.listed = e, true
	t.service = p.service(e.service)
	t.zone = p.zones.number(e.zone)
	if !e.coldSince.IsZero() && !e.coldSince.Equal(previous) {
		t.beginSlowStart(e.coldSince)
	}
}

// Observe applies probe reports. A report that is not newer than the last one
// of its target is ignored. A target that reported to be leaving gets new work
// only after a later report says that it is not.
func (p *Pool) Observe(now time.Time, reports ...ProbeReport) []Decision {
	for _, r := range reports {
		t, ok := p.targets[r.target]
		if !ok || t.hasReport && !r.at.After(t.report.at) {
			continue
		}
		t.report, t.hasReport = r, true
		if r.leaving {
			t.reportedLeaving, t.leavingReportedAt = true, r.at
		} else if t.reportedLeaving && r.at.After(t.leavingReportedAt) {
			t.reportedLeaving = false
		}
	}
	return p.reevaluate(now)
}

// SetDrains replaces the set of targets that operators are draining.
func (p *Pool) SetDrains(now time.Time, drains ident.Set[ident.Target]) []Decision {
	p.drains = drains
	for id, t := range p.targets {
		t.drained = drains.Has(id)
	}
	return p.reevaluate(now)
}
