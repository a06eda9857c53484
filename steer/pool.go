package steer

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// Pool manages the slots of one region. It is not safe for concurrent use; a
// task owns it.
//
// A new pool is closed: slot requests wait until TryOpen finds that every
// expected holder has reported its open grants or has ended. When the time of the
// takeover is known, a service opens at the latest when its timeout has
// passed since then, and the pool when all its services are open.
type Pool struct {
	region        ident.Region
	options       options
	open          bool
	suspended     bool
	hasTargetList bool
	capacity      int
	inFlight      int
	lastRun       uint64

	services     map[ident.Service]*service
	serviceOrder []*service
	rotation     int
	targets      map[ident.Target]*target
	zones        zoneIndex
	drains       ident.Set[ident.Target]

	holders map[Holder]*holderState
	// orphaned holds the grants of ended processes whose requests may still
	// run at their targets.
	orphaned []orphanedGrant
	ended    map[ident.Host]ident.Incarnation
	expected []Holder

	expiries    expiryHeap
	refreshedAt time.Time
	decisions   []Decision
}

// grant is a slot in use.
type grant struct {
	id     SlotRequestID
	run    uint64
	target *target
	since  time.Time
}

// New returns a closed pool for a region.
func New(r ident.Region, list ...Option) *Pool {
	return &Pool{
		region:   r,
		options:  newOptions(list),
		services: map[ident.Service]*service{},
		targets:  map[ident.Target]*target{},
		zones:    zoneIndex{},
		drains:   ident.NewSet[ident.Target](),
		holders:  map[Holder]*holderState{},
		ended:    map[ident.Host]ident.Incarnation{},
	}
}

// Region returns the region of the pool.
func (p *Pool) Region() ident.Region { return p.region }

// IsOpen reports whether the pool grants slots.
func (p *Pool) IsOpen() bool { return p.open }

// Suspend stops all grants until Resume. An owner whose lease is not fresh
// still processes releases and reports.
func (p *Pool) Suspend() { p.suspended = true }

// Resume ends a suspension.
func (p *Pool) Resume() { p.suspended = false }

// isOpen reports whether all grants at the targets of a service are known.
func (p *Pool) isOpen(s *service) bool { return p.open || s.open }

// canGrant reports whether the pool may grant slots of a service now.
func (p *Pool) canGrant(s *service) bool { return p.isOpen(s) && !p.suspended }

// InFlight returns the number of grants in use in the region.
func (p *Pool) InFlight() int { return p.inFlight }

// TargetInFlight returns the number of grants in use at a target.
func (p *Pool) TargetInFlight(id ident.Target) int {
	if t, ok := p.targets[id]; ok {
		return t.inFlight
	}
	return 0
}

// Waiting returns the number of queued slot requests.
func (p *Pool) Waiting() int { return len(p.expiries) }

// SetCapacity bounds the grants in flight in the region. With zero, only the
// slots of the targets bound them.
func (p *Pool) SetCapacity(now time.Time, capacity int) []Decision {
	p.capacity = capacity
	return p.reevaluate(now)
}

// SetServices replaces the settings of services. A service without settings
// has neither headroom nor slow start.
func (p *Pool) SetServices(now time.Time, list []Service) []Decision {
	for _, s := range list {
		known := p.service(s.name)
		known.settings, known.timeout = s, max(known.timeout, s.timeout)
	}
	return p.reevaluate(now)
}

func (p *Pool) service(name ident.Service) *service {
	s, ok := p.services[name]
	if !ok {
		s = newService(Service{name: name})
		p.services[name] = s
		p.serviceOrder = append(p.serviceOrder, s)
	}
	return s
}

// Acquire decides on a slot request: it is granted at once, queued or refused.
// A retry of a request that was granted or queued gets the same decision,
// unless the granted target is leaving by now.
func (p *Pool) Acquire(now time.Time, req SlotRequest) Decision {
	p.refreshIfDue(now)
	h, refused, ok := p.lookupHolder(req.id)
	if !ok {
		return refused
	}
	if g, ok := h.grants[req.id.number]; ok {
		if g.target.isLeaving() {
			// The slot stays counted until a report shows that the holder
			// did not receive the first decision.
			return Refused{id: req.id, reason: ReasonTargetLeaving, retryAfter: minRetryAfter}
		}
		return granted(g)
	}
	if _, ok := h.waiting[req.id.number]; ok {
		return Queued{id: req.id}
	}
	if until, banned := p.options.guard.Banned(now, req.fingerprint); banned {
		return Refused{id: req.id, reason: ReasonBanned, retryAfter: until.Sub(now)}
	}
	return p.decideNew(now, h, req)
}

// decideNew decides on a slot request that the pool has not seen before.
func (p *Pool) decideNew(now time.Time, h *holderState, req SlotRequest) Decision {
	s := p.service(req.service)
	if p.canGrant(s) && p.canSkipQueue(s, req) {
		if t := p.findTarget(now, s, &req); t != nil {
			return granted(p.grant(now, h, req, t))
		}
	}
	if r, ok := p.refusal(now, s, req); ok {
		return r
	}
	p.enqueue(now, h, s, req)
	return Queued{id: req.id}
}

// canSkipQueue reports whether no queued request takes precedence over a new
// one. Requests are queued while slots are free only if they are restricted in
// their targets, or if slots became available with time since the last refresh.
func (p *Pool) canSkipQueue(s *service, req SlotRequest) bool {
	if s.urgent.waiting() > 0 && p.hasPrecedence(s, s.urgent) {
		return false
	}
	return req.class.urgent || s.normal.waiting() == 0 || !p.hasPrecedence(s, s.normal)
}

// hasPrecedence reports whether the queued requests of a group come before a
// new one: some of them can be served now, or no slot is free for the group.
func (p *Pool) hasPrecedence(s *service, g *priorityGroup) bool {
	if !s.hasFreeSlot(g == s.urgent) {
		return true
	}
	return slices.ContainsFunc(g.order, func(c *classQueue) bool {
		return slices.ContainsFunc(c.activeTeams, func(t *teamQueue) bool {
			return t.firstFit(func(w *waiter) bool {
				return p.findTarget(p.refreshedAt, s, &w.request) != nil
			}) != nil
		})
	})
}

// findTarget returns the target for a slot request, or nil when no slot is
// free.
func (p *Pool) findTarget(now time.Time, s *service, req *SlotRequest) *target {
	if !p.hasCapacity(s, req.class.urgent) || !s.hasFreeSlot(req.class.urgent) {
		return nil
	}
	guard := p.options.guard
	suspect := guard.Suspected(now, req.fingerprint)
	if !suspect && len(req.avoid) == 0 {
		return s.chooseTarget(p.zones.number(req.zone), p.options.zonePenalty, nil)
	}
	return s.chooseTarget(p.zones.number(req.zone), p.options.zonePenalty, func(t *target) bool {
		return !slices.Contains(req.avoid, t.entry.id) &&
			(!suspect || !t.ejected && guard.Admits(now, req.fingerprint, t.entry.id))
	})
}

// hasCapacity reports whether the region's capacity leaves a slot for urgent
// or other classes. The headroom of the service also applies to the capacity.
func (p *Pool) hasCapacity(s *service, urgent bool) bool {
	if p.capacity <= 0 {
		return true
	}
	bound := p.capacity
	if !urgent {
		reserved := int(math.Ceil(s.settings.headroom * float64(p.capacity)))
		bound -= min(reserved, p.capacity-1)
	}
	return p.inFlight < bound
}

func (p *Pool) grant(now time.Time, h *holderState, req SlotRequest, t *target) *grant {
	p.lastRun++
	g := &grant{id: req.id, run: p.lastRun, target: t, since: now}
	if t.ejected {
		t.trialRun = g.run
	}
	h.grants[req.id.number] = g
	p.countGrant(now, g, req.fingerprint)
	return g
}

// countGrant adds a grant to the grants in flight.
func (p *Pool) countGrant(now time.Time, g *grant, f ident.Fingerprint) {
	p.inFlight++
	g.target.inFlight++
	g.target.service.updateScore(g.target, now)
	p.options.guard.Started(g.run, f, g.target.entry.id)
}

func granted(g *grant) Granted {
	return Granted{id: g.id, target: g.target.entry.id, address: g.target.entry.address}
}

// refusal returns the refusal of a request that cannot be granted now and must
// not be queued. It reports false if the request may wait.
func (p *Pool) refusal(now time.Time, s *service, req SlotRequest) (Refused, bool) {
	wait := s.estimateWait(req)
	r := Refused{id: req.id, retryAfter: min(maxRetryAfter, max(minRetryAfter, wait))}
	switch {
	case !now.Before(req.deadline):
		r.reason = ReasonDeadline
	case p.isOpen(s) && p.hasTargetList && !s.canServe(req):
		r.reason = ReasonNoTarget
	case s.group(req.class.urgent).teamLength(req) >= req.class.queueLength:
		r.reason = ReasonQueueFull
	case p.canGrant(s) && now.Add(wait).After(req.expiry(now)):
		r.reason = ReasonEstimatedWait
	default:
		return Refused{}, false
	}
	return r, true
}

func (p *Pool) enqueue(now time.Time, h *holderState, s *service, req SlotRequest) {
	w := &waiter{request: req, expiry: req.expiry(now), service: s}
	s.group(req.class.urgent).class(req.class.name).add(w)
	heap.Push(&p.expiries, w)
	h.waiting[req.id.number] = w
}

// dequeue removes a waiting request from its queue, the expiry heap and its
// holder.
func (p *Pool) dequeue(w *waiter) {
	w.team.class.remove(w)
	heap.Remove(&p.expiries, w.index)
	delete(p.holders[w.request.id.holder].waiting, w.request.id.number)
}

// Cancel cancels a slot request, whether it waits or holds a slot.
func (p *Pool) Cancel(now time.Time, id SlotRequestID) []Decision {
	return p.Release(now, id, NewResult(OutcomeCancelled, 0))
}

// Release ends a grant and returns the decisions that the freed slot allows. A
// request that still waits is cancelled, and one that has not arrived yet will
// be refused. Releasing a grant again has no effect.
func (p *Pool) Release(now time.Time, id SlotRequestID, r Result) []Decision {
	h, _, ok := p.lookupHolder(id)
	if !ok {
		return nil
	}
	if w, ok := h.waiting[id.number]; ok {
		p.dequeue(w)
	}
	h.markReleased(id.number)
	g, ok := h.grants[id.number]
	if !ok {
		return nil
	}
	p.endGrant(now, g, r)
	return p.dispatchFor(now, g.target.service)
}

// endGrant removes a grant from its holder and records its result.
func (p *Pool) endGrant(now time.Time, g *grant, r Result) {
	delete(p.holders[g.id.holder].grants, g.id.number)
	p.uncountGrant(now, g, r)
}

// uncountGrant removes a grant from the grants in flight and records its
// result.
func (p *Pool) uncountGrant(now time.Time, g *grant, r Result) {
	t := g.target
	p.inFlight--
	t.noteFull(now)
	t.inFlight--
	wasEjected := t.ejected
	t.recordResult(now, g, r, p.options)
	if r.outcome == OutcomeOK {
		t.service.recordHold(now.Sub(g.since))
	}
	p.options.guard.Ended(now, g.run, r.outcome.gotResponse(), r.outcome == OutcomeCrashed)
	if !t.listed && t.inFlight == 0 {
		p.removeTarget(now, t)
		return
	}
	if t.ejected != wasEjected || r.outcome == OutcomeShed || r.outcome == OutcomeLeaving {
		t.service.refresh(now, p.options)
		return
	}
	t.service.updateScore(t, now)
}

// removeTarget removes a target that is no longer listed and is idle.
func (p *Pool) removeTarget(now time.Time, t *target) {
	delete(p.targets, t.entry.id)
	p.rebuildTargets(now, t.service)
}

// rebuildTargets sets the targets of a service, sorted by name.
func (p *Pool) rebuildTargets(now time.Time, s *service) {
	var list []*target
	for _, t := range p.targets {
		if t.service == s {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.entry.id, b.entry.id) })
	s.setTargets(list, now, p.options)
}
