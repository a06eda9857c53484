package shift

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// flow is the planning state of one key. Its slices are indexed by region.
type flow struct {
	key    Key
	demand demand
	total  float64
	// current holds the latest shares, peak the greatest shares that an entry
	// host may use now, and next the planned shares.
	current []float64
	peak    []float64
	next    []float64
	// accepted holds the part of each class that is not refused, by region.
	accepted  [][]float64
	origin    *origin
	allowance float64
	movable   bool
	cause     Cause
}

// regionState is the planning state of a region for one service.
type regionState struct {
	// limit is the load that the region can serve now, plannedLimit the load
	// that it should have.
	limit        float64
	plannedLimit float64
	load         float64
	rampLeft     float64
	cause        Cause
	permitted    bool
}

// spare returns the load that may still move to the region.
func (s *regionState) spare() float64 { return max(0, min(s.plannedLimit-s.load, s.rampLeft)) }

// origin is the planning state of a region that requests come from: the regions
// in order of preference, the rank of each region, the unused budgets of the
// links to them, and the load that the plan removes from these links once it is
// in force.
type origin struct {
	preferred  []int
	rank       []int
	linkBudget []float64
	linkRelief []float64
	// exceeded is set if the current load exceeds the budget of a link.
	exceeded bool
}

// planState holds the planning state that the services share: the regions and
// the origins.
type planState struct {
	input   *Input
	regions []ident.Region
	index   map[ident.Region]int
	origins map[ident.Region]*origin
}

func newPlanState(in *Input) *planState {
	set := map[ident.Region]struct{}{}
	for _, m := range in.capacity {
		for r := range m {
			set[r] = struct{}{}
		}
	}
	for _, p := range in.placement {
		for _, s := range []Shares{p.shares, p.before} {
			for _, r := range s.regions {
				set[r] = struct{}{}
			}
		}
	}
	st := &planState{
		input: in, index: make(map[ident.Region]int, len(set)),
		origins: map[ident.Region]*origin{},
	}
	for r := range set {
		st.regions = append(st.regions, r)
	}
	slices.Sort(st.regions)
	for i, r := range st.regions {
		st.index[r] = i
	}
	return st
}

// origin returns the state of a region of origin.
func (st *planState) origin(name ident.Region) *origin {
	if o, ok := st.origins[name]; ok {
		return o
	}
	n := len(st.regions)
	o := &origin{preferred: st.rankRegions(name), rank: make([]int, n), linkBudget: make([]float64, n), linkRelief: make([]float64, n)}
	for i, r := range o.preferred {
		o.rank[r] = i
	}
	for i, r := range st.regions {
		o.linkBudget[i] = math.Inf(1)
		if b, ok := st.input.links[link{name, r}]; ok && r != name {
			o.linkBudget[i] = b
		}
	}
	st.origins[name] = o
	return o
}

// rankRegions returns the regions in the order in which an origin prefers them.
func (st *planState) rankRegions(origin ident.Region) []int {
	delays := make([]time.Duration, len(st.regions))
	list := make([]int, len(st.regions))
	for i, r := range st.regions {
		list[i] = i
		d, ok := st.input.delays[link{origin, r}]
		switch {
		case r == origin:
			delays[i] = -1
		case ok:
			delays[i] = d
		default:
			delays[i] = math.MaxInt64
		}
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Or(cmp.Compare(delays[a], delays[b]), a-b) })
	return list
}

// vector returns shares as a vector over all regions.
func (st *planState) vector(s Shares) []float64 {
	v := make([]float64, len(st.regions))
	for i, r := range s.regions {
		v[st.index[r]] = s.values[i]
	}
	return v
}

// newFlow returns the planning state of a key and subtracts its load from the
// link budgets of its origin.
func (st *planState) newFlow(k Key, p Profile) *flow {
	placed := st.input.placement[k]
	d, ok := st.input.demand[k]
	if !ok {
		d.slots = make([]float64, len(st.input.classes))
	}
	f := &flow{
		key: k, demand: d, total: d.total(), current: st.vector(placed.shares), peak: st.vector(placed.before),
		origin: st.origin(k.origin), movable: placed.inForce,
	}
	f.next = slices.Clone(f.current)
	for i, v := range f.current {
		f.peak[i] = max(f.peak[i], v)
		f.origin.linkBudget[i] -= f.peak[i] * d.bytes
		f.origin.exceeded = f.origin.exceeded || f.origin.linkBudget[i] < 0
	}
	if f.movable {
		f.allowance = st.input.history.Allowance(k, p, st.input.now)
	}
	return f
}

// newRegionStates returns the planning states of all regions for a service
// under the load of its flows.
func (st *planState) newRegionStates(s ident.Service, p Profile, flows []*flow) []regionState {
	states := make([]regionState, len(st.regions))
	for i, r := range st.regions {
		usable := st.input.capacity[s][r] * (1 - p.headroom)
		at := regionState{limit: usable, plannedLimit: usable, cause: CauseOverflow, permitted: st.input.isPermitted(s, r)}
		if usable == 0 {
			at.cause = CauseFailover
		}
		if !at.permitted {
			at.limit, at.plannedLimit, at.cause = 0, 0, CausePlan
		}
		at.rampLeft = max(0, p.ramp*usable-st.input.history.inflow(s, r, p.window, st.input.now))
		maxShare := 0.0
		for _, f := range flows {
			at.load += f.peak[i] * f.total
			maxShare = max(maxShare, f.current[i])
		}
		st.applyDrains(&at, s, r, p, maxShare)
		states[i] = at
	}
	return states
}

// applyDrains sets the planned limit of a region to 0 ahead of a drain. Moving
// maxShare takes one window for each cap that it contains; one window more
// covers steps that come into force late.
func (st *planState) applyDrains(at *regionState, s ident.Service, r ident.Region, p Profile, maxShare float64) {
	for _, d := range st.input.drains {
		if d.region != r || !d.appliesTo(s) || !st.input.now.Before(d.until) {
			continue
		}
		lead := time.Duration(math.Ceil(maxShare/p.moveCap-shareTolerance)+1) * p.window
		if !st.input.now.Before(d.from.Add(-lead)) {
			at.plannedLimit, at.cause = 0, CauseDrain
		}
		if !st.input.now.Before(d.from) {
			at.limit = 0
		}
	}
}
