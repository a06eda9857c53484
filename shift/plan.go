package shift

import (
	"slices"

	"rhubarbrack/ident"
)

const (
	// leastReturn is the smallest share that moves to a better region.
	// Smaller ones would use up steps for next to nothing.
	leastReturn = 0.01
	// returnMargin is the part of a region's goal that stays free when load
	// returns to it, so that it does not have to move away again at once.
	returnMargin = 0.1
	// leastMove is the smallest share that moves at all.
	leastMove = 1e-9
)

// Plan returns the steps to take now: at most one for each key whose last step
// is in force, and for any key what to refuse. Load leaves regions that are
// overloaded, drained, without capacity or not allowed, and then returns to
// regions that its origin prefers. No step moves more than the ledger allows,
// and none adds load to a region or a link beyond what its capacity less
// headroom, its ramp or its budget leaves.
//
// The caller records each step that it takes in the ledger. Refusals hold
// until the next plan; a key without a step refuses nothing.
func Plan(in *Input) []Step {
	w := newWorld(in)
	keys := in.keys()
	services := make([]ident.Service, 0, len(keys))
	for s := range keys {
		services = append(services, s)
	}
	slices.Sort(services)
	all := make([][]*flow, len(services))
	for i, s := range services {
		for _, k := range keys[s] {
			all[i] = append(all[i], w.newFlow(k, in.profiles[s]))
		}
	}
	sites := make([][]site, len(services))
	for i, s := range services {
		sites[i] = w.newSites(s, in.profiles[s], all[i])
		evict(all[i], sites[i])
	}
	for i := range services {
		relieve(all[i], sites[i])
		comeBack(all[i], sites[i])
	}
	refusals := w.refuse(all, sites)
	return w.steps(all, refusals)
}

// move shifts up to share of a flow from one region to the ones it prefers,
// up to but not including stop, and returns what it moved. The load that
// leaves makes no room yet: until the step is in force, hosts still send it.
func (f *flow) move(from int, share float64, sites []site, stop int, margin float64, c Cause) float64 {
	moved := 0.0
	for _, to := range f.origin.order {
		if to == stop || share-moved < leastMove || f.left < leastMove {
			break
		}
		at := &sites[to]
		if to == from || !at.allowed || at.goal <= 0 {
			continue
		}
		part := min(share-moved, f.left)
		if f.total > 0 {
			part = min(part, (at.room()-margin*at.goal)/f.total)
		}
		if f.demand.bytes > 0 {
			part = min(part, f.origin.budget[to]/f.demand.bytes)
		}
		if part < leastMove {
			continue
		}
		f.shift(from, to, part, at)
		f.cause = c
		moved += part
	}
	return moved
}

func (f *flow) shift(from, to int, part float64, at *site) {
	f.next[from] -= part
	f.next[to] += part
	f.left -= part
	at.load += part * f.total
	at.ramp -= part * f.total
	f.origin.budget[to] -= part * f.demand.bytes
	f.origin.relief[from] += part * f.demand.bytes
}

// evict moves load out of the regions whose load exceeds their goal, that of
// other origins first.
func evict(flows []*flow, sites []site) {
	for r := range sites {
		excess := -sites[r].goal
		for _, f := range flows {
			excess += f.latest[r] * f.total
		}
		empty := sites[r].goal <= 0
		if !empty && excess <= 0 {
			continue
		}
		for _, f := range byDistance(flows, r) {
			share := f.next[r]
			if !empty && f.total > 0 {
				share = min(share, excess/f.total)
			}
			if f.movable && share > 0 && (empty || f.total > 0) {
				excess -= f.move(r, share, sites, -1, 0, sites[r].cause) * f.total
			}
		}
	}
}

// byDistance returns the flows that have load in a region, those first for
// whose origin it is the least preferred.
func byDistance(flows []*flow, r int) []*flow {
	var list []*flow
	for _, f := range flows {
		if f.next[r] > 0 {
			list = append(list, f)
		}
	}
	slices.SortStableFunc(list, func(a, b *flow) int { return b.origin.rank[r] - a.origin.rank[r] })
	return list
}

// relieve moves load off links whose budget is exceeded.
func relieve(flows []*flow, sites []site) {
	for _, f := range flows {
		if !f.movable || f.demand.bytes == 0 {
			continue
		}
		for r, share := range f.next {
			if over := -(f.origin.budget[r] + f.origin.relief[r]) / f.demand.bytes; over > leastMove && share > 0 {
				f.move(r, min(share, over), sites, -1, 0, CauseOverflow)
			}
		}
	}
}

// comeBack moves load to regions that its origin prefers, once they have
// room beyond the margin.
func comeBack(flows []*flow, sites []site) {
	for _, f := range flows {
		if !f.movable || f.cause != "" {
			continue
		}
		for i := len(f.origin.order) - 1; i > 0; i-- {
			r := f.origin.order[i]
			if share := f.next[r]; share > 0 && f.better(r, share, sites) {
				f.move(r, share, sites, r, returnMargin, CausePlan)
			}
		}
	}
}

// better reports whether regions preferred to r have room for a share worth
// moving.
func (f *flow) better(r int, share float64, sites []site) bool {
	if f.left < leastReturn {
		return false
	}
	for _, to := range f.origin.order {
		if to == r {
			return false
		}
		at := &sites[to]
		if !at.allowed || at.goal <= 0 || f.origin.budget[to] <= leastReturn*f.demand.bytes {
			continue
		}
		if at.room()-returnMargin*at.goal > min(share, leastReturn)*f.total {
			return true
		}
	}
	return false
}

// steps returns the changes and refusals per key.
func (w *world) steps(all [][]*flow, refusals map[Key][]Refusal) []Step {
	var list []Step
	for _, flows := range all {
		for _, f := range flows {
			current := w.input.placement[f.key].shares
			s := Step{key: f.key, shares: current, refusals: refusals[f.key]}
			if f.cause != "" {
				s.shares = w.shares(f.next)
				s.moved, s.cause = current.DistanceTo(s.shares), f.cause
				s.inflows = w.inflows(f)
			}
			if s.moved > 0 || len(s.refusals) > 0 {
				list = append(list, s)
			}
		}
	}
	return list
}

// shares turns a vector into shares. What rounding leaves of an emptied region
// goes to the others by scaling.
func (w *world) shares(v []float64) Shares {
	s := Shares{}
	sum := 0.0
	for i, x := range v {
		if x > leastMove {
			s.regions = append(s.regions, w.regions[i])
			s.values = append(s.values, x)
			sum += x
		}
	}
	for i := range s.values {
		s.values[i] /= sum
	}
	return s
}

func (w *world) inflows(f *flow) map[ident.Region]float64 {
	m := map[ident.Region]float64{}
	for i, r := range w.regions {
		if d := f.next[i] - f.latest[i]; d > leastMove {
			m[r] = d * f.total
		}
	}
	return m
}
