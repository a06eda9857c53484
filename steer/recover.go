package steer

import (
	"maps"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// holderState is the pool's state of one process of an entry host.
type holderState struct {
	grants          map[uint64]*grant
	waiting         map[uint64]*waiter
	reported        bool
	sequence        uint64
	lastNumber      uint64
	reportedNumbers map[uint64]struct{}
	// releasedNumbers holds the released numbers that a report may still name,
	// or that no report has covered yet.
	releasedNumbers map[uint64]struct{}
}

func (h *holderState) markReleased(number uint64) {
	if _, known := h.reportedNumbers[number]; number > h.lastNumber || known {
		h.releasedNumbers[number] = struct{}{}
	}
}

// isAbandoned reports whether the holder neither waits for a decision on the
// numbered request nor uses its grant. A call that arrives late must not take a
// slot that nobody will release.
func (h *holderState) isAbandoned(number uint64) bool {
	if _, ok := h.releasedNumbers[number]; ok {
		return true
	}
	_, known := h.reportedNumbers[number]
	return number <= h.lastNumber && !known
}

// lookupHolder returns the holder of a slot request, or the refusal if its
// process has ended or if it has abandoned the request.
func (p *Pool) lookupHolder(id SlotRequestID) (*holderState, Refused, bool) {
	if p.hasEnded(id.holder) {
		return nil, Refused{id: id, reason: ReasonHolderEnded}, false
	}
	h := p.holder(id.holder)
	if h.isAbandoned(id.number) {
		return nil, Refused{id: id, reason: ReasonAbandoned}, false
	}
	return h, Refused{}, true
}

func (p *Pool) hasEnded(h Holder) bool {
	ended, ok := p.ended[h.host]
	return ok && h.incarnation <= ended
}

func (p *Pool) holder(id Holder) *holderState {
	h, ok := p.holders[id]
	if !ok {
		h = &holderState{
			grants: map[uint64]*grant{}, waiting: map[uint64]*waiter{},
			reportedNumbers: map[uint64]struct{}{}, releasedNumbers: map[uint64]struct{}{},
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

// TryOpen opens the pool if every expected holder has reported or has ended,
// and returns the decisions on the queued requests.
func (p *Pool) TryOpen(now time.Time) []Decision {
	if !p.open && len(p.MissingHolders()) == 0 {
		p.open = true
	}
	return p.reevaluate(now)
}

// ApplyHoldings reconciles the pool with a holder's report: it counts the
// grants that the holder uses and frees those that the report does not name.
// Reports that arrive out of order are ignored.
func (p *Pool) ApplyHoldings(now time.Time, r Holdings) []Decision {
	if p.hasEnded(r.holder) {
		return nil
	}
	h := p.holder(r.holder)
	if h.reported && r.sequence <= h.sequence {
		return nil
	}
	h.reported, h.sequence, h.lastNumber = true, r.sequence, max(h.lastNumber, r.lastNumber)
	h.reportedNumbers = make(map[uint64]struct{}, len(r.open)+len(r.waiting))
	for _, g := range r.open {
		h.reportedNumbers[g.number] = struct{}{}
	}
	for _, n := range r.waiting {
		h.reportedNumbers[n] = struct{}{}
	}
	p.releaseUnreported(now, h)
	for _, g := range r.open {
		p.adoptGrant(now, r.holder, h, g)
	}
	return p.reevaluate(now)
}

// releaseUnreported ends the grants and waiting requests that the holder's
// report does not name.
func (p *Pool) releaseUnreported(now time.Time, h *holderState) {
	for _, n := range slices.Sorted(maps.Keys(h.grants)) {
		if h.isAbandoned(n) {
			p.endGrant(now, h.grants[n], NewResult(OutcomeCancelled, 0))
		}
	}
	for _, n := range slices.Sorted(maps.Keys(h.waiting)) {
		if h.isAbandoned(n) {
			p.dequeue(h.waiting[n])
		}
	}
	for n := range h.releasedNumbers {
		if _, known := h.reportedNumbers[n]; n <= h.lastNumber && !known {
			delete(h.releasedNumbers, n)
		}
	}
}

// adoptGrant counts a grant that an earlier owner made. The holder's report is
// authoritative, so the grant counts even above the slots of its target.
func (p *Pool) adoptGrant(now time.Time, id Holder, h *holderState, o OpenGrant) {
	if _, ok := h.grants[o.number]; ok || h.isAbandoned(o.number) {
		return
	}
	if w, ok := h.waiting[o.number]; ok {
		p.dequeue(w)
	}
	t, ok := p.targets[o.target]
	if !ok {
		t = &target{entry: Target{id: o.target, service: o.service}, service: p.service(o.service)}
		p.targets[o.target] = t
		p.rebuildTargets(now, t.service)
	}
	p.lastRun++
	g := &grant{id: NewSlotRequestID(id, o.number), run: p.lastRun, target: t, since: now.Add(-o.age)}
	h.grants[o.number] = g
	p.countGrant(now, g, o.fingerprint)
}

// ExpireProcess declares a process of a host and the host's earlier processes
// ended. Its waiting requests are dropped. Its grants are freed when the
// timeout of their service has passed since they were made or their target is
// found idle, because the process may be partitioned rather than dead. A
// process that leaves as planned releases its grants before.
func (p *Pool) ExpireProcess(now time.Time, host ident.Host, incarnation ident.Incarnation) []Decision {
	if ended, ok := p.ended[host]; !ok || incarnation > ended {
		p.ended[host] = incarnation
	}
	for id, h := range p.holders {
		if id.host != host || id.incarnation > incarnation {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(h.grants)) {
			p.orphan(now, h.grants[n])
		}
		for _, n := range slices.Sorted(maps.Keys(h.waiting)) {
			p.dequeue(h.waiting[n])
		}
		delete(p.holders, id)
	}
	return p.reevaluate(now)
}
