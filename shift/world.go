package shift

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// flow is the state of one key while planning. Its slices are indexed by
// region.
type flow struct {
	key     Key
	demand  demand
	total   float64
	latest  []float64
	most    []float64
	next    []float64
	kept    [][]float64
	origin  *origin
	left    float64
	movable bool
	cause   Cause
}

// site is a region as one service sees it.
type site struct {
	limit   float64
	goal    float64
	load    float64
	ramp    float64
	cause   Cause
	allowed bool
}

// room returns the load that may still move to the site.
func (s *site) room() float64 { return max(0, min(s.goal-s.load, s.ramp)) }

// origin is a region that requests come from: the regions by preference, the
// rank of each region, what is left of the budgets of the links to them, and
// what the plan takes off these links once it is in force.
type origin struct {
	order  []int
	rank   []int
	budget []float64
	relief []float64
	// exceeded says that the load in force exceeds some budget.
	exceeded bool
}

// world holds what the services share: the regions and the origins.
type world struct {
	input   *Input
	regions []ident.Region
	index   map[ident.Region]int
	origins map[ident.Region]*origin
}

func newWorld(in *Input) *world {
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
	w := &world{
		input: in, index: make(map[ident.Region]int, len(set)),
		origins: map[ident.Region]*origin{},
	}
	for r := range set {
		w.regions = append(w.regions, r)
	}
	slices.Sort(w.regions)
	for i, r := range w.regions {
		w.index[r] = i
	}
	return w
}

// origin returns the state of a region of origin.
func (w *world) origin(name ident.Region) *origin {
	if o, ok := w.origins[name]; ok {
		return o
	}
	n := len(w.regions)
	o := &origin{order: w.order(name), rank: make([]int, n), budget: make([]float64, n), relief: make([]float64, n)}
	for i, r := range o.order {
		o.rank[r] = i
	}
	for i, r := range w.regions {
		o.budget[i] = math.Inf(1)
		if b, ok := w.input.links[link{name, r}]; ok && r != name {
			o.budget[i] = b
		}
	}
	w.origins[name] = o
	return o
}

// order returns the regions by preference for an origin.
func (w *world) order(origin ident.Region) []int {
	delays := make([]time.Duration, len(w.regions))
	list := make([]int, len(w.regions))
	for i, r := range w.regions {
		list[i] = i
		d, ok := w.input.delays[link{origin, r}]
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

// vector spreads shares over the index of regions.
func (w *world) vector(s Shares) []float64 {
	v := make([]float64, len(w.regions))
	for i, r := range s.regions {
		v[w.index[r]] = s.values[i]
	}
	return v
}

// newFlow returns the state of a key and takes its load off the links.
func (w *world) newFlow(k Key, p Profile) *flow {
	place := w.input.placement[k]
	d, ok := w.input.demand[k]
	if !ok {
		d.slots = make([]float64, len(w.input.classes))
	}
	f := &flow{
		key: k, demand: d, total: d.total(), latest: w.vector(place.shares), most: w.vector(place.before),
		origin: w.origin(k.origin), movable: place.inForce,
	}
	f.next = slices.Clone(f.latest)
	for i, v := range f.latest {
		f.most[i] = max(f.most[i], v)
		f.origin.budget[i] -= f.most[i] * d.bytes
		f.origin.exceeded = f.origin.exceeded || f.origin.budget[i] < 0
	}
	if f.movable {
		f.left = w.input.ledger.Allowance(k, p, w.input.now)
	}
	return f
}

// newSites returns the regions as a service sees them under the load of its
// flows.
func (w *world) newSites(s ident.Service, p Profile, flows []*flow) []site {
	sites := make([]site, len(w.regions))
	for i, r := range w.regions {
		usable := w.input.capacity[s][r] * (1 - p.headroom)
		at := site{limit: usable, goal: usable, cause: CauseOverflow, allowed: w.input.mayServe(s, r)}
		if usable == 0 {
			at.cause = CauseFailover
		}
		if !at.allowed {
			at.limit, at.goal, at.cause = 0, 0, CausePlan
		}
		at.ramp = max(0, p.ramp*usable-w.input.ledger.inflow(s, r, p.window, w.input.now))
		most := 0.0
		for _, f := range flows {
			at.load += f.most[i] * f.total
			most = max(most, f.latest[i])
		}
		w.drain(&at, s, r, p, most)
		sites[i] = at
	}
	return sites
}

// drain lowers the goal of a region ahead of a drain. Moving the share most
// takes one window per cap; one window more covers steps that come into force
// late.
func (w *world) drain(at *site, s ident.Service, r ident.Region, p Profile, most float64) {
	for _, d := range w.input.drains {
		if d.region != r || !d.concerns(s) || !w.input.now.Before(d.until) {
			continue
		}
		lead := time.Duration(math.Ceil(most/p.moveCap-shareTolerance)+1) * p.window
		if !w.input.now.Before(d.from.Add(-lead)) {
			at.goal, at.cause = 0, CauseDrain
		}
		if !w.input.now.Before(d.from) {
			at.limit = 0
		}
	}
}
