package shift

import (
	"slices"

	"rhubarbrack/ident"
)

const (
	// minReturnShare is the smallest share that returns to a preferred region.
	// A smaller one does not justify a step.
	minReturnShare = 0.01
	// returnMargin is the share of a region's planned limit that stays free
	// when load returns to it, so that it does not have to move away again at
	// once.
	returnMargin = 0.1
	// minMove is the smallest share that is moved.
	minMove = 1e-9
)

// Plan returns the steps to take now: at most one for each key whose last step
// is in force, and the refusals for any key. Load leaves regions that are
// overloaded, drained, without capacity or not permitted, and otherwise returns
// to regions that its origin prefers. No step moves more than the allowance of
// the history, and none adds load to a region or a link beyond its capacity minus
// headroom, its ramp or its budget.
//
// The caller records each step that it takes in the history. Refusals are valid
// until the next plan; for a key without a step, nothing is refused.
func Plan(in *Input) []Step {
	st := newPlanState(in)
	keys := in.keysByService()
	services := make([]ident.Service, 0, len(keys))
	for s := range keys {
		services = append(services, s)
	}
	slices.Sort(services)
	all := make([][]*flow, len(services))
	for i, s := range services {
		for _, k := range keys[s] {
			all[i] = append(all[i], st.newFlow(k, in.profiles[s]))
		}
	}
	states := make([][]regionState, len(services))
	for i, s := range services {
		states[i] = st.newRegionStates(s, in.profiles[s], all[i])
		evict(all[i], states[i])
	}
	for i := range services {
		relieveLinks(all[i], states[i])
		returnLoad(all[i], states[i])
	}
	refusals := st.planRefusals(all, states)
	return st.steps(all, refusals)
}

// move moves up to share of a flow from one region to others in the order of
// preference, up to but not including stop, and returns the share moved. The
// load that leaves a region frees no capacity yet: until the step is in force,
// hosts still send it there.
func (f *flow) move(from int, share float64, states []regionState, stop int, margin float64, c Cause) float64 {
	moved := 0.0
	for _, to := range f.origin.preferred {
		if to == stop || share-moved < minMove || f.allowance < minMove {
			break
		}
		at := &states[to]
		if to == from || !at.permitted || at.plannedLimit <= 0 {
			continue
		}
		part := min(share-moved, f.allowance)
		if f.total > 0 {
			part = min(part, (at.spare()-margin*at.plannedLimit)/f.total)
		}
		if f.demand.bytes > 0 {
			part = min(part, f.origin.linkBudget[to]/f.demand.bytes)
		}
		if part < minMove {
			continue
		}
		f.apply(from, to, part, at)
		f.cause = c
		moved += part
	}
	return moved
}

// apply moves a part of the flow from one region to another in the plan.
func (f *flow) apply(from, to int, part float64, at *regionState) {
	f.next[from] -= part
	f.next[to] += part
	f.allowance -= part
	at.load += part * f.total
	at.rampLeft -= part * f.total
	f.origin.linkBudget[to] -= part * f.demand.bytes
	f.origin.linkRelief[from] += part * f.demand.bytes
}

// evict moves load out of the regions whose load exceeds their planned limit,
// starting with the flows whose origin prefers the region least.
func evict(flows []*flow, states []regionState) {
	for r := range states {
		excess := -states[r].plannedLimit
		for _, f := range flows {
			excess += f.current[r] * f.total
		}
		evacuated := states[r].plannedLimit <= 0
		if !evacuated && excess <= 0 {
			continue
		}
		for _, f := range leastPreferredFirst(flows, r) {
			share := f.next[r]
			if !evacuated && f.total > 0 {
				share = min(share, excess/f.total)
			}
			if f.movable && share > 0 && (evacuated || f.total > 0) {
				excess -= f.move(r, share, states, -1, 0, states[r].cause) * f.total
			}
		}
	}
}

// leastPreferredFirst returns the flows with load in a region, sorted so that
// those whose origin prefers the region least come first.
func leastPreferredFirst(flows []*flow, r int) []*flow {
	var list []*flow
	for _, f := range flows {
		if f.next[r] > 0 {
			list = append(list, f)
		}
	}
	slices.SortStableFunc(list, func(a, b *flow) int { return b.origin.rank[r] - a.origin.rank[r] })
	return list
}

// relieveLinks moves load off links whose budget is exceeded.
func relieveLinks(flows []*flow, states []regionState) {
	for _, f := range flows {
		if !f.movable || f.demand.bytes == 0 {
			continue
		}
		for r, share := range f.next {
			if over := -(f.origin.linkBudget[r] + f.origin.linkRelief[r]) / f.demand.bytes; over > minMove && share > 0 {
				f.move(r, min(share, over), states, -1, 0, CauseOverflow)
			}
		}
	}
}

// returnLoad moves load to regions that its origin prefers, once they have free
// capacity beyond the margin.
func returnLoad(flows []*flow, states []regionState) {
	for _, f := range flows {
		if !f.movable || f.cause != "" {
			continue
		}
		for i := len(f.origin.preferred) - 1; i > 0; i-- {
			r := f.origin.preferred[i]
			if share := f.next[r]; share > 0 && f.hasBetterRegion(r, share, states) {
				f.move(r, share, states, r, returnMargin, CausePlan)
			}
		}
	}
}

// hasBetterRegion reports whether a region preferred to r has free capacity for
// at least minReturnShare, or for the whole share if that is smaller.
func (f *flow) hasBetterRegion(r int, share float64, states []regionState) bool {
	if f.allowance < minReturnShare {
		return false
	}
	for _, to := range f.origin.preferred {
		if to == r {
			return false
		}
		at := &states[to]
		if !at.permitted || at.plannedLimit <= 0 || f.origin.linkBudget[to] <= minReturnShare*f.demand.bytes {
			continue
		}
		if at.spare()-returnMargin*at.plannedLimit > min(share, minReturnShare)*f.total {
			return true
		}
	}
	return false
}

// steps returns the changes and refusals per key.
func (st *planState) steps(all [][]*flow, refusals map[Key][]Refusal) []Step {
	var list []Step
	for _, flows := range all {
		for _, f := range flows {
			current := st.input.placement[f.key].shares
			s := Step{key: f.key, shares: current, refusals: refusals[f.key]}
			if f.cause != "" {
				s.shares = st.shares(f.next)
				s.moved, s.cause = current.DistanceTo(s.shares), f.cause
				s.inflows = st.inflows(f)
			}
			if s.moved > 0 || len(s.refusals) > 0 {
				list = append(list, s)
			}
		}
	}
	return list
}

// shares converts a vector to shares. Rounding errors in evacuated regions are
// removed by scaling the others.
func (st *planState) shares(v []float64) Shares {
	s := Shares{}
	sum := 0.0
	for i, x := range v {
		if x > minMove {
			s.regions = append(s.regions, st.regions[i])
			s.values = append(s.values, x)
			sum += x
		}
	}
	for i := range s.values {
		s.values[i] /= sum
	}
	return s
}

// inflows returns the load in slots that the plan moves to each region.
func (st *planState) inflows(f *flow) map[ident.Region]float64 {
	m := map[ident.Region]float64{}
	for i, r := range st.regions {
		if d := f.next[i] - f.current[i]; d > minMove {
			m[r] = d * f.total
		}
	}
	return m
}
