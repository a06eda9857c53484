package steer

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// Pool is the state of the slots of one region. It is not safe for
// concurrent use; a task owns it.
//
// A new pool is closed: asks wait until Complete finds that every expected
// holder has reported its open grants or has lapsed. When the time of the
// take-over is known, a service opens at the latest when its timeout has
// passed since then, and the pool when all its services are open.
type Pool struct {
	region   ident.Region
	options  options
	open     bool
	paused   bool
	listed   bool
	capacity int
	inFlight int
	runs     uint64

	services map[ident.Service]*service
	order    []*service
	turn     int
	targets  map[ident.Target]*target
	zones    zoneIndex
	drains   ident.Set[ident.Target]

	holders map[Holder]*holder
	// lapsed holds the grants of ended processes whose requests may still
	// run at their targets.
	lapsed   []lapsedGrant
	ended    map[ident.Host]ident.Incarnation
	expected []Holder

	expiries  expiryHeap
	refreshed time.Time
	out       []Decision
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
		holders:  map[Holder]*holder{},
		ended:    map[ident.Host]ident.Incarnation{},
	}
}

// Region returns the region of the pool.
func (p *Pool) Region() ident.Region { return p.region }

// IsOpen reports whether the pool grants slots.
func (p *Pool) IsOpen() bool { return p.open }

// Suspend stops all grants until Resume. An owner whose lease is not fresh
// still learns of releases and reports.
func (p *Pool) Suspend() { p.paused = true }

// Resume ends a suspension.
func (p *Pool) Resume() { p.paused = false }

// isOpen reports whether all grants at the targets of a service are known.
func (p *Pool) isOpen(s *service) bool { return p.open || s.open }

// grants reports whether the pool may give slots of a service now.
func (p *Pool) grants(s *service) bool { return p.isOpen(s) && !p.paused }

// InFlight returns the number of grants in use in the region.
func (p *Pool) InFlight() int { return p.inFlight }

// TargetInFlight returns the number of grants in use at a target.
func (p *Pool) TargetInFlight(id ident.Target) int {
	if t, ok := p.targets[id]; ok {
		return t.inFlight
	}
	return 0
}

// Waiting returns the number of asks that wait.
func (p *Pool) Waiting() int { return len(p.expiries) }

// SetCapacity bounds the grants in flight in the region. Zero leaves only the
// slots of the targets as bound.
func (p *Pool) SetCapacity(now time.Time, capacity int) []Decision {
	p.capacity = capacity
	return p.settle(now)
}

// SetServices replaces the settings of services. A service without settings
// has neither headroom nor slow start.
func (p *Pool) SetServices(now time.Time, list []Service) []Decision {
	for _, s := range list {
		known := p.service(s.name)
		known.settings, known.timeout = s, max(known.timeout, s.timeout)
	}
	return p.settle(now)
}

func (p *Pool) service(name ident.Service) *service {
	s, ok := p.services[name]
	if !ok {
		s = newService(Service{name: name})
		p.services[name] = s
		p.order = append(p.order, s)
	}
	return s
}

// Acquire decides on an ask: it is granted at once, queued or refused. An ask
// that was granted or queued before gets the same outcome again, unless the
// target of its grant is leaving by now.
func (p *Pool) Acquire(now time.Time, a SlotRequest) Decision {
	p.refreshIfDue(now)
	h, refused, ok := p.holderOf(a.id)
	if !ok {
		return refused
	}
	if g, ok := h.grants[a.id.number]; ok {
		if g.target.leaving() {
			// The slot stays counted until a report shows that the holder
			// did not get the first answer.
			return Refused{id: a.id, reason: ReasonTargetLeaving, retryAfter: leastRetryAfter}
		}
		return granted(g)
	}
	if _, ok := h.waiting[a.id.number]; ok {
		return Queued{id: a.id}
	}
	if until, banned := p.options.screen.Banned(now, a.fingerprint); banned {
		return Refused{id: a.id, reason: ReasonBanned, retryAfter: until.Sub(now)}
	}
	return p.place(now, h, a)
}

func (p *Pool) place(now time.Time, h *holder, a SlotRequest) Decision {
	s := p.service(a.service)
	if p.grants(s) && p.mayOvertake(s, a) {
		if t := p.find(now, s, &a); t != nil {
			return granted(p.grant(now, h, a, t))
		}
	}
	if r, ok := p.refusal(now, s, a); ok {
		return r
	}
	p.enqueue(now, h, s, a)
	return Queued{id: a.id}
}

// mayOvertake reports whether no ask waits that comes before this one. Asks
// wait beside free slots only when they are restricted in their targets or
// when time has freed slots since the last refresh.
func (p *Pool) mayOvertake(s *service, a SlotRequest) bool {
	if s.urgent.waiting() > 0 && p.anyFits(s, s.urgent) {
		return false
	}
	return a.class.urgent || s.normal.waiting() == 0 || !p.anyFits(s, s.normal)
}

func (p *Pool) anyFits(s *service, g *group) bool {
	if !s.hasRoom(g == s.urgent) {
		return true
	}
	return slices.ContainsFunc(g.order, func(c *classQueue) bool {
		return slices.ContainsFunc(c.ring, func(t *teamQueue) bool {
			return t.firstFit(func(w *waiter) bool {
				return p.find(p.refreshed, s, &w.ask) != nil
			}) != nil
		})
	})
}

// find returns the target for an ask, or nil while there is no room.
func (p *Pool) find(now time.Time, s *service, a *SlotRequest) *target {
	if !p.hasCapacity(s, a.class.urgent) || !s.hasRoom(a.class.urgent) {
		return nil
	}
	screen := p.options.screen
	suspect := screen.Suspected(now, a.fingerprint)
	if !suspect && len(a.avoid) == 0 {
		return s.choose(p.zones.of(a.zone), p.options.zonePenalty, nil)
	}
	return s.choose(p.zones.of(a.zone), p.options.zonePenalty, func(t *target) bool {
		return !slices.Contains(a.avoid, t.entry.id) &&
			(!suspect || !t.ejected && screen.Admits(now, a.fingerprint, t.entry.id))
	})
}

// hasCapacity reports whether the region's capacity leaves a slot for the
// class. The headroom of the service applies to it, too.
func (p *Pool) hasCapacity(s *service, urgent bool) bool {
	if p.capacity <= 0 {
		return true
	}
	bound := p.capacity
	if !urgent {
		kept := int(math.Ceil(s.settings.headroom * float64(p.capacity)))
		bound -= min(kept, p.capacity-1)
	}
	return p.inFlight < bound
}

func (p *Pool) grant(now time.Time, h *holder, a SlotRequest, t *target) *grant {
	p.runs++
	g := &grant{id: a.id, run: p.runs, target: t, since: now}
	if t.ejected {
		t.trial = g.run
	}
	h.grants[a.id.number] = g
	p.count(now, g, a.fingerprint)
	return g
}

// count adds a grant to what is in flight.
func (p *Pool) count(now time.Time, g *grant, f ident.Fingerprint) {
	p.inFlight++
	g.target.inFlight++
	g.target.service.rescore(g.target, now)
	p.options.screen.Started(g.run, f, g.target.entry.id)
}

func granted(g *grant) Granted {
	return Granted{id: g.id, target: g.target.entry.id, address: g.target.entry.address}
}

// refusal returns why an ask that cannot be granted now must not wait.
func (p *Pool) refusal(now time.Time, s *service, a SlotRequest) (Refused, bool) {
	wait := s.wait(a)
	r := Refused{id: a.id, retryAfter: min(greatestRetryAfter, max(leastRetryAfter, wait))}
	switch {
	case !now.Before(a.deadline):
		r.reason = ReasonDeadline
	case p.isOpen(s) && p.listed && !s.serves(a):
		r.reason = ReasonNoTarget
	case s.group(a.class.urgent).length(a) >= a.class.queueBound:
		r.reason = ReasonQueueFull
	case p.grants(s) && now.Add(wait).After(a.expiry(now)):
		r.reason = ReasonEstimatedWait
	default:
		return Refused{}, false
	}
	return r, true
}

func (p *Pool) enqueue(now time.Time, h *holder, s *service, a SlotRequest) {
	w := &waiter{ask: a, expiry: a.expiry(now), service: s}
	s.group(a.class.urgent).class(a.class.name).add(w)
	heap.Push(&p.expiries, w)
	h.waiting[a.id.number] = w
}

// dequeue takes a waiting ask out of every structure.
func (p *Pool) dequeue(w *waiter) {
	w.team.class.remove(w)
	heap.Remove(&p.expiries, w.index)
	delete(p.holders[w.ask.id.holder].waiting, w.ask.id.number)
}

// Cancel gives an ask up, whether it waits or holds a slot.
func (p *Pool) Cancel(now time.Time, id SlotRequestID) []Decision {
	return p.Release(now, id, NewResult(OutcomeCancelled, 0))
}

// Release ends a grant and returns the decisions that follow from the free
// slot. An ask that still waits is given up, and one that has not arrived yet
// will be refused. A repeated release has no effect.
func (p *Pool) Release(now time.Time, id SlotRequestID, r Result) []Decision {
	h, _, ok := p.holderOf(id)
	if !ok {
		return nil
	}
	if w, ok := h.waiting[id.number]; ok {
		p.dequeue(w)
	}
	h.close(id.number)
	g, ok := h.grants[id.number]
	if !ok {
		return nil
	}
	p.end(now, g, r)
	return p.dispatchFor(now, g.target.service)
}

// end takes a grant out and its result into account.
func (p *Pool) end(now time.Time, g *grant, r Result) {
	delete(p.holders[g.id.holder].grants, g.id.number)
	p.uncount(now, g, r)
}

// uncount takes a grant out of what is in flight.
func (p *Pool) uncount(now time.Time, g *grant, r Result) {
	t := g.target
	p.inFlight--
	t.leaveFull(now)
	t.inFlight--
	wasEjected := t.ejected
	t.observe(now, g, r, p.options)
	if r.ending == OutcomeOK {
		t.service.observeHold(now.Sub(g.since))
	}
	p.options.screen.Ended(now, g.run, r.ending.survived(), r.ending == OutcomeCrashed)
	if !t.listed && t.inFlight == 0 {
		p.forget(now, t)
		return
	}
	if t.ejected != wasEjected || r.ending == OutcomeShed || r.ending == OutcomeLeaving {
		t.service.refresh(now, p.options)
		return
	}
	t.service.rescore(t, now)
}

// forget drops a target that is off the list and idle.
func (p *Pool) forget(now time.Time, t *target) {
	delete(p.targets, t.entry.id)
	p.relist(now, t.service)
}

// relist gives a service its targets in the order of their names.
func (p *Pool) relist(now time.Time, s *service) {
	var list []*target
	for _, t := range p.targets {
		if t.service == s {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.entry.id, b.entry.id) })
	s.relist(list, now, p.options)
}
