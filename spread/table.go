package spread

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrack/ident"
	"rhubarbrack/quota"
)

const (
	// minSilence is the least time without a response after which a target
	// with in-flight requests gets only probes.
	minSilence = 400 * time.Millisecond
	// silenceFactor is the same limit as a multiple of the typical latency of
	// the service.
	// The greater of the two applies.
	silenceFactor = 4
	// probeInterval is the time between two requests to a silent target.
	probeInterval = 400 * time.Millisecond
	// maxRTTShare is the largest part of the latency objective that the longest
	// round trip to a region may take. Beyond it, targets of the own region
	// are ranked before all others.
	maxRTTShare = 0.25
	// preferredTargets is the number of targets that share the requests of an
	// object. A target caches only few objects: if requests spread over more
	// targets under load, all of them evict their objects, and the load
	// multiplies.
	preferredTargets = 3
	// rankPenalty is by how many requests per slot the queue of the next
	// target in the order must be shorter for it to be preferred. A target
	// without the object in its cache takes more than three times as long.
	rankPenalty = 0.9
	// maxQueue is the largest number of requests per slot that may wait at a
	// preferred target. Further ones would miss the latency objective of their
	// route.
	maxQueue = 1.4
	// localWeight is how many times more objects a target gets from callers of
	// its own region than from others. Most objects are requested in one
	// region, so few of them have preferred targets in two, and regions with
	// few targets still share the load of those with many.
	localWeight = 4.0
	// latencyWeight is the weight of the newest response in the typical
	// latency.
	latencyWeight = 0.05
)

// Table holds the targets that one entry host knows, and selects among them.
// It is not safe for concurrent use.
type Table struct {
	// hostHash differs between hosts.
	hostHash   uint64
	zone       ident.Zone
	region     ident.Region
	coldBounds ColdBounds
	hostShare  float64
	drainTime  time.Duration
	targets    map[ident.Target]*targetState
	services   map[ident.Service][]*targetState
	evacuated  map[ident.Zone]bool
	leavers    leavers
	// returnedAt is when the last evacuation of a zone ended.
	returnedAt     map[ident.Zone]time.Time
	coldTerms      map[ident.Service]coldTerms
	typicalLatency map[ident.Service]float64
	// nextProbe counts the targets that were considered for probes.
	nextProbe int
	// choices counts the calls of Choose.
	choices uint64
	// rtts holds the shortest observed round-trip time per region.
	rtts map[ident.Region]time.Duration
}

// Option sets an optional property of a Table.
type Option func(*Table)

// WithHost sets the name of the host, by which hosts spread what they would
// otherwise all do at the same time.
func WithHost(host ident.Host) Option {
	return func(t *Table) { t.hostHash = xxhash.Sum64String(string(host)) }
}

// NewTable returns an empty table for a host in the given zone and region.
func NewTable(zone ident.Zone, region ident.Region, coldBounds ColdBounds, options ...Option) *Table {
	t := &Table{
		zone: zone, region: region, coldBounds: coldBounds, hostShare: 1,
		targets: map[ident.Target]*targetState{}, services: map[ident.Service][]*targetState{},
		evacuated: map[ident.Zone]bool{}, leavers: leavers{}, returnedAt: map[ident.Zone]time.Time{},
		coldTerms:      map[ident.Service]coldTerms{},
		typicalLatency: map[ident.Service]float64{}, rtts: map[ident.Region]time.Duration{},
	}
	for _, apply := range options {
		apply(t)
	}
	return t
}

// SetShare sets the share of the fleet-wide bounds that this host enforces, in
// (0, 1].
func (t *Table) SetShare(share float64) { t.hostShare = share }

// SetEvacuated sets the evacuated zones, whose targets get no requests. When
// the evacuation of a zone ends, its targets may have become cold.
func (t *Table) SetEvacuated(now time.Time, zones []ident.Zone) {
	evacuated := map[ident.Zone]bool{}
	for _, z := range zones {
		evacuated[z] = true
	}
	for z := range t.evacuated {
		if !evacuated[z] {
			t.ZoneReturned(z, now)
		}
	}
	t.evacuated = evacuated
}

// Update replaces the list of targets. The state of processes that remain is
// kept. Update returns the addresses of processes that have ended.
func (t *Table) Update(list []Target) []string {
	var removed []string
	listed := map[ident.Target]bool{}
	t.services = map[ident.Service][]*targetState{}
	for _, n := range list {
		if listed[n.id] {
			continue
		}
		listed[n.id] = true
		s, ok := t.targets[n.id]
		if !ok || !s.isSameProcess(n) {
			if ok {
				removed = append(removed, s.address)
				t.rememberLeaving(s)
			}
			s = &targetState{
				hash: xxhash.Sum64String(string(n.id)), coldRequests: quota.NewWindow(coldWindow),
				failed: quota.NewWindow(resultWindow), served: quota.NewWindow(resultWindow),
				leavingSince: t.leavers[n.process()],
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
		if !listed[id] {
			removed = append(removed, s.address)
			t.rememberLeaving(s)
			delete(t.targets, id)
		}
	}
	for _, states := range t.services {
		slices.SortFunc(states, func(a, b *targetState) int { return compare(a.hash, b.hash) })
	}
	return removed
}

// Len returns the number of targets.
func (t *Table) Len() int { return len(t.targets) }

// Targets returns the number of targets of a service.
func (t *Table) Targets(service ident.Service) int { return len(t.services[service]) }

// TypicalLatency returns the moving average of the latency of a service, or 0 if no
// target has responded yet.
func (t *Table) TypicalLatency(service ident.Service) time.Duration {
	return time.Duration(t.typicalLatency[service] * float64(time.Second))
}

// HasUnreachable reports whether a target of a service gets no requests now
// because no connection to it could be opened.
func (t *Table) HasUnreachable(now time.Time, service ident.Service) bool {
	return slices.ContainsFunc(t.services[service], func(s *targetState) bool {
		return s.losses > 0 && now.Before(s.pausedUntil)
	})
}

// Resume ends the pauses of the targets of a service after failures to connect:
// the path to the targets had failed, not the targets.
func (t *Table) Resume(service ident.Service) {
	for _, s := range t.services[service] {
		if s.losses > 0 {
			s.losses, s.pausedUntil = 0, time.Time{}
		}
	}
}

// ProbeTarget returns a target of a service that may be probed, and false if
// there is none. Successive calls return different targets.
func (t *Table) ProbeTarget(now time.Time, service ident.Service) (Target, bool) {
	list := t.services[service]
	for range list {
		t.nextProbe++
		s := list[t.nextProbe%len(list)]
		if !s.draining && !s.isLeaving() && !t.evacuated[s.zone] && !now.Before(s.pauseAskedUntil) && !t.isCold(now, s) {
			return s.Target, true
		}
	}
	return Target{}, false
}

// candidate is an eligible target with its rank in a query.
type candidate struct {
	state *targetState
	score float64
	// near reports whether the target is close enough for the latency
	// objective.
	near bool
}

// Choose selects a target and counts the request as in flight there. The
// caller must pass the choice to RecordResult when the attempt ends.
func (t *Table) Choose(now time.Time, q Query) Choice {
	t.choices++
	list := t.candidates(now, q, false)
	if len(list) == 0 {
		list = t.candidates(now, q, true)
	}
	if len(list) == 0 {
		return Choice{reason: NoTarget, retryAfter: max(minPause, t.askedPause(now, q.service))}
	}
	if q.object == "" {
		return t.leastLoaded(now, list)
	}
	return t.preferred(now, list)
}

// preferred selects one of the preferred targets: the first one, unless its
// queue and its penalty for failures and slowness exceed those of a later one by
// more than rankPenalty for each rank between them.
func (t *Table) preferred(now time.Time, list []candidate) Choice {
	var best *targetState
	reason, rank := Preferred, 0
	least := math.Inf(1)
	for _, c := range list {
		if rank == preferredTargets {
			break
		}
		if !t.admits(now, c.state) {
			continue
		}
		queue := c.state.queue(now)
		cost := queue + float64(rank)*rankPenalty + c.state.penalty(now)
		if cost < least && queue <= maxQueue {
			best, least = c.state, cost
			reason = Preferred
			if rank > 0 {
				reason = Overflow
			}
		}
		rank++
	}
	if best == nil {
		return Choice{reason: NoRoom, retryAfter: t.retryAfter(now, list, t.queueTime(list))}
	}
	return t.assign(now, best, reason)
}

// queueTime estimates the time until the queue of a full target gets shorter by
// one request.
func (t *Table) queueTime(list []candidate) time.Duration {
	return max(fullPause, t.TypicalLatency(list[0].state.service))
}

// retryAfter returns the time until the first of the targets may take another
// request: their rate limits, and the time that a queue needs, must allow it.
func (t *Table) retryAfter(now time.Time, list []candidate, queueTime time.Duration) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, c := range list {
		wait := queueTime
		if c.state.limiter != nil {
			wait = max(wait, c.state.limiter.wait(now, t.hostShare))
		}
		least = min(least, wait)
	}
	return least
}

// candidates returns the eligible targets, the best first: either those that are
// leaving and may still be used, or the others.
func (t *Table) candidates(now time.Time, q Query, leaving bool) []candidate {
	allRegions := !q.bulk && t.maxRTT().Seconds() <= maxRTTShare*q.latencyObjective.Seconds()
	objectHash := xxhash.Sum64String(q.object)
	list := make([]candidate, 0, len(t.services[q.service]))
	for _, s := range t.services[q.service] {
		if !t.isEligible(now, s) || !q.allows(s) {
			continue
		}
		if s.isLeaving() != leaving || leaving && !t.admitsLeaving(now, s) {
			continue
		}
		weight := float64(s.slots)
		if s.region == t.region {
			weight *= localWeight
		}
		list = append(list, candidate{
			state: s, score: score(objectHash, s.hash, weight), near: allRegions || s.region == t.region,
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

// isEligible reports whether a target may get requests at all.
func (t *Table) isEligible(now time.Time, s *targetState) bool {
	return !s.draining && !t.evacuated[s.zone] && !now.Before(s.pausedUntil) && !now.Before(s.pauseAskedUntil)
}

// Confirms reports whether a choice that was made some time ago still holds: the
// target's process has neither ended nor become ineligible since.
func (t *Table) Confirms(now time.Time, c Choice) bool {
	s, ok := t.targets[c.target.id]
	if !ok || s != c.state || !t.isEligible(now, s) {
		return false
	}
	return !s.isLeaving() || !s.leavingSince.After(c.chosenAt) && t.admitsLeaving(now, s)
}

// admits reports whether a target may get a request now. A cold target gets
// only this host's share of its bound, one with a rate limit this host's share
// of that, and a silent one only one request per probeInterval.
func (t *Table) admits(now time.Time, s *targetState) bool {
	if now.Before(s.fullUntil) {
		return false
	}
	if t.isCold(now, s) && !t.admitsCold(now, s) || !t.admitsLimited(now, s) {
		return false
	}
	return !t.isSilent(now, s) || !now.Before(s.nextProbe)
}

func (t *Table) isSilent(now time.Time, s *targetState) bool {
	silence := max(minSilence, silenceFactor*t.TypicalLatency(s.service))
	return s.isSilent(now, silence)
}

// leastLoaded selects the target with the smallest share of its slots in use,
// in this host's region if one there has a free slot.
func (t *Table) leastLoaded(now time.Time, list []candidate) Choice {
	var best *targetState
	least := math.Inf(1)
	for _, c := range list {
		use := c.state.load(now) / float64(c.state.slots)
		if c.state.region != t.region {
			use++
		} else if c.state.zone != t.zone {
			use += zonePenalty
		}
		use += c.state.penalty(now)
		if use < least && c.state.load(now) < float64(c.state.slots) && t.admits(now, c.state) {
			best, least = c.state, use
		}
	}
	if best == nil {
		return t.shortestQueue(now, list)
	}
	return t.assign(now, best, LeastLoaded)
}

// zonePenalty is the share of its slots by which a target in another zone of
// the region must be less loaded to be selected.
const zonePenalty = 0.1

// shortestQueue selects the target that is expected to have a free slot first.
// Requests queue at targets rather than on this host, because the refusal of a
// target proves that the request has not run.
func (t *Table) shortestQueue(now time.Time, list []candidate) Choice {
	var best *targetState
	least := math.Inf(1)
	for _, c := range list {
		use := c.state.load(now) / float64(c.state.slots)
		if use < least && use < maxLoadFactor && t.admits(now, c.state) {
			best, least = c.state, use
		}
	}
	if best == nil {
		return Choice{reason: NoRoom, retryAfter: t.retryAfter(now, list, fullPause)}
	}
	return t.assign(now, best, Queued)
}

// assign counts a request as in flight at the target and returns the choice.
func (t *Table) assign(now time.Time, s *targetState, reason Reason) Choice {
	c := Choice{target: s.Target, state: s, reason: reason, load: s.load(now), loadAge: now.Sub(s.loadAt), chosenAt: now, found: true}
	if t.isSilent(now, s) {
		s.nextProbe = now.Add(probeInterval)
	}
	s.startAttempt(now)
	c.isLimited = s.limiter != nil && s.limiter.take()
	if t.isCold(now, s) {
		s.coldRequests.Add(now, 1)
	}
	return c
}

// maxRTT returns the longest of the round-trip times of the regions.
func (t *Table) maxRTT() time.Duration {
	longest := time.Duration(0)
	for _, rtt := range t.rtts {
		longest = max(longest, rtt)
	}
	return longest
}

// ObserveRTT records a round-trip time to a target in a region. The shortest
// one is kept.
func (t *Table) ObserveRTT(region ident.Region, rtt time.Duration) {
	if old, ok := t.rtts[region]; !ok || rtt < old {
		t.rtts[region] = rtt
	}
}

// score ranks a target for an object by weighted rendezvous hashing. A target
// with twice the weight ranks first for twice as many objects.
func score(object, target uint64, weight float64) float64 {
	h := fmix64(object ^ fmix64(target))
	return -weight / math.Log(unitInterval(h))
}

// unitInterval maps a hash to a number between 0 and 1, both exclusive.
func unitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// fmix64 is the 64-bit finalizer of MurmurHash3 (Appleby, 2011).
func fmix64(h uint64) uint64 {
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

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
