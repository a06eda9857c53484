package steer

import (
	"maps"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// holder is what the pool knows of one process of an entry host.
type holder struct {
	grants   map[uint64]*grant
	waiting  map[uint64]*waiter
	reported bool
	sequence uint64
	last     uint64
	known    map[uint64]struct{}
	// closed holds the released numbers that a report may still name or that
	// no report has covered yet.
	closed map[uint64]struct{}
}

func (h *holder) close(number uint64) {
	if _, known := h.known[number]; number > h.last || known {
		h.closed[number] = struct{}{}
	}
}

// gaveUp reports whether the holder does not wait for the number any more. A
// call that arrives late must not take a slot that nobody will release.
func (h *holder) gaveUp(number uint64) bool {
	if _, ok := h.closed[number]; ok {
		return true
	}
	_, known := h.known[number]
	return number <= h.last && !known
}

// holderOf returns the holder of an ask, or the refusal when its process has
// ended or it has given the ask up.
func (p *Pool) holderOf(id SlotRequestID) (*holder, Refused, bool) {
	if p.hasEnded(id.holder) {
		return nil, Refused{id: id, reason: ReasonHolderEnded}, false
	}
	h := p.holder(id.holder)
	if h.gaveUp(id.number) {
		return nil, Refused{id: id, reason: ReasonAbandoned}, false
	}
	return h, Refused{}, true
}

func (p *Pool) hasEnded(h Holder) bool {
	ended, ok := p.ended[h.host]
	return ok && h.incarnation <= ended
}

func (p *Pool) holder(id Holder) *holder {
	h, ok := p.holders[id]
	if !ok {
		h = &holder{
			grants: map[uint64]*grant{}, waiting: map[uint64]*waiter{},
			known: map[uint64]struct{}{}, closed: map[uint64]struct{}{},
		}
		p.holders[id] = h
	}
	return h
}

// ExpectHolders sets the holders that must report before a new pool opens.
func (p *Pool) ExpectHolders(holders []Holder) { p.expected = slices.Clone(holders) }

// MissingHolders returns the expected holders that have not reported.
func (p *Pool) MissingHolders() []Holder {
	var out []Holder
	for _, id := range p.expected {
		if h, ok := p.holders[id]; !p.hasEnded(id) && (!ok || !h.reported) {
			out = append(out, id)
		}
	}
	return out
}

// TryOpen opens the pool when every expected holder has reported or has
// lapsed, and grants to the asks that wait.
func (p *Pool) TryOpen(now time.Time) []Decision {
	if !p.open && len(p.MissingHolders()) == 0 {
		p.open = true
	}
	return p.settle(now)
}

// ApplyHoldings takes a holder's report into account: it counts the grants that the
// holder uses, and frees those that it does not know. Reports that arrive out
// of order are ignored.
func (p *Pool) ApplyHoldings(now time.Time, r Holdings) []Decision {
	if p.hasEnded(r.holder) {
		return nil
	}
	h := p.holder(r.holder)
	if h.reported && r.sequence <= h.sequence {
		return nil
	}
	h.reported, h.sequence, h.last = true, r.sequence, max(h.last, r.last)
	h.known = make(map[uint64]struct{}, len(r.open)+len(r.waiting))
	for _, g := range r.open {
		h.known[g.number] = struct{}{}
	}
	for _, n := range r.waiting {
		h.known[n] = struct{}{}
	}
	p.freeUnknown(now, h)
	for _, g := range r.open {
		p.adopt(now, r.holder, h, g)
	}
	return p.settle(now)
}

// freeUnknown ends the grants and asks that the holder does not name.
func (p *Pool) freeUnknown(now time.Time, h *holder) {
	for _, n := range slices.Sorted(maps.Keys(h.grants)) {
		if h.gaveUp(n) {
			p.end(now, h.grants[n], NewResult(OutcomeCancelled, 0))
		}
	}
	for _, n := range slices.Sorted(maps.Keys(h.waiting)) {
		if h.gaveUp(n) {
			p.dequeue(h.waiting[n])
		}
	}
	for n := range h.closed {
		if _, known := h.known[n]; n <= h.last && !known {
			delete(h.closed, n)
		}
	}
}

// adopt counts a grant that an earlier owner gave. The holder knows what
// runs, so it counts even above the slots of its target.
func (p *Pool) adopt(now time.Time, id Holder, h *holder, o OpenGrant) {
	if _, ok := h.grants[o.number]; ok || h.gaveUp(o.number) {
		return
	}
	if w, ok := h.waiting[o.number]; ok {
		p.dequeue(w)
	}
	t, ok := p.targets[o.target]
	if !ok {
		t = &target{entry: Target{id: o.target, service: o.service}, service: p.service(o.service)}
		p.targets[o.target] = t
		p.relist(now, t.service)
	}
	p.runs++
	g := &grant{id: NewSlotRequestID(id, o.number), run: p.runs, target: t, since: now.Add(-o.age)}
	h.grants[o.number] = g
	p.count(now, g, o.fingerprint)
}

// ExpireProcess ends a process of a host, and the host's earlier processes. Its asks
// are dropped. Its grants are freed when the timeout of their service has
// passed since they were given or their target is seen idle, because the
// process may be cut off rather than dead. A process that leaves as planned
// releases its grants before.
func (p *Pool) ExpireProcess(now time.Time, host ident.Host, incarnation ident.Incarnation) []Decision {
	if ended, ok := p.ended[host]; !ok || incarnation > ended {
		p.ended[host] = incarnation
	}
	for id, h := range p.holders {
		if id.host != host || id.incarnation > incarnation {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(h.grants)) {
			p.lapse(now, h.grants[n])
		}
		for _, n := range slices.Sorted(maps.Keys(h.waiting)) {
			p.dequeue(h.waiting[n])
		}
		delete(p.holders, id)
	}
	return p.settle(now)
}
