package spread

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrack/ident"
	"rhubarbrack/quota"
)

// ColdBounds are the bounds on what all entry hosts together send to cold targets.
type ColdBounds struct {
	over  float64
	slack float64
}

// NewColdBounds returns terms: a cold target gets at most its tolerated rate times
// over, plus slack, in one second.
func NewColdBounds(over, slack float64) ColdBounds { return ColdBounds{over: over, slack: slack} }

const (
	// coldSpan is a little more than the second for which the bound on cold
	// targets holds, because requests take different times to arrive.
	coldSpan = 1200 * time.Millisecond
	// silencePatience is the least time without an answer after which a
	// target with requests under way gets no more.
	silencePatience = 400 * time.Millisecond
	// silenceFactor is the same as a multiple of the usual time of an answer.
	silenceFactor = 4
	// probeInterval is the time between two requests to a target that does
	// not answer.
	probeInterval = 400 * time.Millisecond
	// nearShare is the part of the aim that the way to another region may
	// take before an object gets a home in each region.
	nearShare = 0.25
	// homes is the number of targets that share the requests of an object.
	// A target remembers only few objects: when requests spread over more
	// targets under load, all of them forget, and the load multiplies.
	homes = 3
	// rankCost is by how many requests a slot, in the queue of a target, the
	// next one in the order must be shorter to be preferred. A target that
	// does not remember the object works more than three times as long.
	rankCost = 0.9
	// longestQueue is how many requests a slot wait at a target at most.
	// Later ones would miss the aim of their route.
	longestQueue = 1.4
	// nearWeight is how many times more objects a target gets from callers of
	// its own region than from others. Objects are mostly asked for in one
	// region, so that few have two homes for it, and regions with few targets
	// still share the load of those with many.
	nearWeight = 4.0
	// answerWeight is the weight of the newest answer in the usual time.
	answerWeight = 0.05
)

// Table holds the targets that one entry host knows. It is not safe for
// concurrent use.
type Table struct {
	zone     ident.Zone
	region   ident.Region
	terms    ColdBounds
	share    float64
	targets  map[ident.Target]*state
	services map[ident.Service][]*state
	empty    map[ident.Zone]bool
	coldRate map[ident.Service]float64
	usual    map[ident.Service]float64
	ways     map[ident.Region]time.Duration
}

// NewTable returns an empty table of a host in the given place.
func NewTable(zone ident.Zone, region ident.Region, terms ColdBounds) *Table {
	return &Table{
		zone: zone, region: region, terms: terms, share: 1,
		targets: map[ident.Target]*state{}, services: map[ident.Service][]*state{},
		empty: map[ident.Zone]bool{}, coldRate: map[ident.Service]float64{},
		usual: map[ident.Service]float64{}, ways: map[ident.Region]time.Duration{},
	}
}

// SetShare sets the part of the fleet's bounds that this host enforces, in
// (0, 1].
func (t *Table) SetShare(share float64) { t.share = share }

// SetEvacuated sets the zones whose targets get nothing. The targets of a
// zone that is taken back count as cold until the list says otherwise.
func (t *Table) SetEvacuated(now time.Time, zones []ident.Zone, coldFor func(ident.Service) time.Duration) {
	empty := map[ident.Zone]bool{}
	for _, z := range zones {
		empty[z] = true
	}
	for z := range t.empty {
		if empty[z] {
			continue
		}
		for _, s := range t.targets {
			if s.zone == z {
				s.Target.cold = later(s.Target.cold, now.Add(coldFor(s.service)))
			}
		}
	}
	t.empty = empty
}

// SetColdRate sets how many requests per second a cold target of a service
// tolerates.
func (t *Table) SetColdRate(service ident.Service, rate float64) { t.coldRate[service] = rate }

// Update replaces the list of targets. What is known of targets that stay is
// kept. It returns the addresses of those that are gone.
func (t *Table) Update(list []Target) []string {
	var gone []string
	known := map[ident.Target]bool{}
	t.services = map[ident.Service][]*state{}
	for _, n := range list {
		if known[n.id] {
			continue
		}
		known[n.id] = true
		s, ok := t.targets[n.id]
		if !ok || s.address != n.address || s.service != n.service {
			s = &state{
				seed: xxhash.Sum64String(string(n.id)), cold: quota.NewWindow(coldSpan),
				failed: quota.NewWindow(resultSpan), served: quota.NewWindow(resultSpan),
			}
			t.targets[n.id] = s
		}
		slots := s.slots
		s.Target = n
		if slots > 0 {
			s.slots = slots
		}
		t.services[n.service] = append(t.services[n.service], s)
	}
	for id, s := range t.targets {
		if !known[id] {
			gone = append(gone, s.address)
			delete(t.targets, id)
		}
	}
	for _, states := range t.services {
		slices.SortFunc(states, func(a, b *state) int { return compare(a.seed, b.seed) })
	}
	return gone
}

// Len returns the number of targets.
func (t *Table) Len() int { return len(t.targets) }

// MarkCold notes that a target is cold for the given time from now on.
func (t *Table) MarkCold(now time.Time, id ident.Target, coldFor time.Duration) {
	if s, ok := t.targets[id]; ok {
		s.Target.cold = now.Add(coldFor)
	}
}

// Query describes what a request needs of its target.
type Query struct {
	service ident.Service
	object  string
	aim     time.Duration
	bulk    bool
	homes   []ident.Region
	more    []ident.Region
	tried   []ident.Target
}

// NewQuery returns a query. The object is empty for requests without
// affinity. Where both lists of homes have regions, both bind.
func NewQuery(
	service ident.Service, object string, aim time.Duration, bulk bool, homes, more []ident.Region, tried []ident.Target,
) Query {
	return Query{service: service, object: object, aim: aim, bulk: bulk, homes: homes, more: more, tried: tried}
}

func (q Query) allows(s *state) bool {
	return (len(q.homes) == 0 || slices.Contains(q.homes, s.region)) &&
		(len(q.more) == 0 || slices.Contains(q.more, s.region)) && !slices.Contains(q.tried, s.id)
}

// Reason tells how a target was chosen, or why none was.
type Reason string

const (
	// Preferred is the first target in the order of the object.
	Preferred Reason = "home"
	// Overflow is a later target in the order of the object.
	Overflow Reason = "spill"
	// LeastLoaded is the target with the most room.
	LeastLoaded Reason = "least-loaded"
	// Queued is the target whose queue is the shortest, when none has room.
	Queued Reason = "queued"
	// NoTarget means that no target may take the request.
	NoTarget Reason = "no-target"
	// NoRoom means that all targets that may take the request are full.
	NoRoom Reason = "no-room"
)

// Choice is the target of one send.
type Choice struct {
	target Target
	reason Reason
	load   float64
	age    time.Duration
	sent   time.Time
	found  bool
	wait   time.Duration
}

// Target returns the chosen target.
func (c Choice) Target() Target { return c.target }

// Reason tells how the target was chosen, or why none was.
func (c Choice) Reason() Reason { return c.reason }

// Load returns the estimated requests that the target held before.
func (c Choice) Load() float64 { return c.load }

// LoadAge returns the age of the report on which the load rests.
func (c Choice) LoadAge() time.Duration { return c.age }

// ChosenAt returns the time of the choice.
func (c Choice) ChosenAt() time.Time { return c.sent }

// IsFound reports whether there is a target.
func (c Choice) IsFound() bool { return c.found }

// RetryAfter returns after which time a request without a target may find one.
func (c Choice) RetryAfter() time.Duration { return c.wait }

// candidate is a target in the order of a query.
type candidate struct {
	state *state
	score float64
	near  bool
}

// Choose picks a target and counts the request as under way there. The caller
// reports its end by Done.
func (t *Table) Choose(now time.Time, q Query) Choice {
	list := t.candidates(now, q)
	if len(list) == 0 {
		return Choice{reason: NoTarget, wait: firstPause}
	}
	if q.object == "" {
		return t.leastLoaded(now, list)
	}
	return t.home(now, list)
}

// home picks one of the first targets in the order of the object: the first
// one, unless its queue, its failures or its slowness exceed those of a later
// one by more than what the object's place in its memory is worth.
func (t *Table) home(now time.Time, list []candidate) Choice {
	var best *state
	reason, rank := Preferred, 0
	least := math.Inf(1)
	for _, c := range list {
		if rank == homes {
			break
		}
		if !t.admits(now, c.state) {
			continue
		}
		queue := c.state.queue(now)
		cost := queue + float64(rank)*rankCost + c.state.trouble(now)
		if cost < least && queue <= longestQueue {
			best, least = c.state, cost
			reason = Preferred
			if rank > 0 {
				reason = Overflow
			}
		}
		rank++
	}
	if best == nil {
		return Choice{reason: NoRoom, wait: t.queueTime(list)}
	}
	return t.take(now, best, reason)
}

// queueTime returns about how long it takes until a full queue has moved on
// by one request.
func (t *Table) queueTime(list []candidate) time.Duration {
	return max(fullPause, time.Duration(t.usual[list[0].state.service]*float64(time.Second)))
}

// candidates returns the targets that may take the request, the best first.
func (t *Table) candidates(now time.Time, q Query) []candidate {
	fleet := !q.bulk && t.farthest().Seconds() <= nearShare*q.aim.Seconds()
	object := xxhash.Sum64String(q.object)
	list := make([]candidate, 0, len(t.services[q.service]))
	for _, s := range t.services[q.service] {
		if s.draining || t.empty[s.zone] || !q.allows(s) || now.Before(s.until) {
			continue
		}
		weight := float64(s.slots)
		if s.region == t.region {
			weight *= nearWeight
		}
		list = append(list, candidate{
			state: s, score: score(object, s.seed, weight), near: fleet || s.region == t.region,
		})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return compare(b.score, a.score)
	})
	return list
}

// admits reports whether a target may get a request now: a cold one only
// within this host's share of its bound, and a silent one only now and then.
func (t *Table) admits(now time.Time, s *state) bool {
	if now.Before(s.full) {
		return false
	}
	if now.Before(s.Target.cold) {
		bound := math.Floor((t.coldRate[s.service]*t.terms.over + t.terms.slack) * t.share)
		if s.cold.Sum(now)+1 > bound {
			return false
		}
	}
	if t.isSilent(now, s) {
		if now.Before(s.nextProbe) {
			return false
		}
		s.nextProbe = now.Add(probeInterval)
	}
	return true
}

func (t *Table) isSilent(now time.Time, s *state) bool {
	patience := max(silencePatience, time.Duration(silenceFactor*t.usual[s.service]*float64(time.Second)))
	return s.isSilent(now, patience)
}

// leastLoaded picks the target with the smallest part of its slots in use,
// in this host's region when one has room there.
func (t *Table) leastLoaded(now time.Time, list []candidate) Choice {
	var best *state
	least := math.Inf(1)
	for _, c := range list {
		use := c.state.load(now) / float64(c.state.slots)
		if c.state.region != t.region {
			use++
		} else if c.state.zone != t.zone {
			use += zoneCost
		}
		use += c.state.trouble(now)
		if use < least && c.state.load(now) < float64(c.state.slots) && t.admits(now, c.state) {
			best, least = c.state, use
		}
	}
	if best == nil {
		return t.shortestQueue(now, list)
	}
	return t.take(now, best, LeastLoaded)
}

// zoneCost is the part of its slots by which a target in another zone of the
// region must be less loaded to be preferred.
const zoneCost = 0.1

// shortestQueue picks the target that will have a free slot first. Requests
// wait at targets, not here: a target that refuses proves that the request
// has not run.
func (t *Table) shortestQueue(now time.Time, list []candidate) Choice {
	var best *state
	least := math.Inf(1)
	for _, c := range list {
		use := c.state.load(now) / float64(c.state.slots)
		if use < least && use < queueFactor && t.admits(now, c.state) {
			best, least = c.state, use
		}
	}
	if best == nil {
		return Choice{reason: NoRoom, wait: fullPause}
	}
	return t.take(now, best, Queued)
}

func (t *Table) take(now time.Time, s *state, reason Reason) Choice {
	c := Choice{target: s.Target, reason: reason, load: s.load(now), age: now.Sub(s.othersAt), sent: now, found: true}
	s.begin(now)
	if now.Before(s.Target.cold) {
		s.cold.Add(now, 1)
	}
	return c
}

// farthest returns the time of the longest way there and back to a region
// with targets.
func (t *Table) farthest() time.Duration {
	longest := time.Duration(0)
	for _, d := range t.ways {
		longest = max(longest, d)
	}
	return longest
}

// ObserveRTT notes the time to a target in a region and back. The shortest one
// counts.
func (t *Table) ObserveRTT(region ident.Region, d time.Duration) {
	if old, ok := t.ways[region]; !ok || d < old {
		t.ways[region] = d
	}
}

// score orders the targets of an object. A target with twice the weight is the
// home of twice as many objects.
func score(object, target uint64, weight float64) float64 {
	h := mix(object ^ mix(target))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// mix is the finalizer of MurmurHash3 (Appleby, 2011).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func compare[T uint64 | float64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
