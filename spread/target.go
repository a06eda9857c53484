package spread

import (
	"math"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/quota"
)

// Target is a target as the platform lists it.
type Target struct {
	id       ident.Target
	service  ident.Service
	address  string
	zone     ident.Zone
	region   ident.Region
	slots    int
	draining bool
	cold     time.Time
}

// NewTarget returns a target at an address of the form host:port. It is cold
// until the given time.
func NewTarget(
	id ident.Target, service ident.Service, address string, zone ident.Zone, region ident.Region, slots int,
	draining bool, cold time.Time,
) Target {
	return Target{
		id: id, service: service, address: address, zone: zone, region: region, slots: max(slots, 1),
		draining: draining, cold: cold,
	}
}

// ID returns the name of the target's process.
func (t Target) ID() ident.Target { return t.id }

// Service returns the service that the target offers.
func (t Target) Service() ident.Service { return t.service }

// Address returns where the target is reached.
func (t Target) Address() string { return t.address }

// Zone returns the zone of the target.
func (t Target) Zone() ident.Zone { return t.zone }

// Region returns the region of the target.
func (t Target) Region() ident.Region { return t.region }

// Load is what a target reports about itself.
type Load struct {
	running int
	waiting int
	slots   int
}

// NewLoad returns a report: requests that run and wait, and slots.
func NewLoad(running, waiting, slots int) Load {
	return Load{running: running, waiting: waiting, slots: slots}
}

// InFlight returns the requests that the target holds.
func (l Load) InFlight() int { return l.running + l.waiting }

const (
	// loadMemory is the time in which the part of a load report that other
	// hosts caused loses its weight by a factor of e.
	loadMemory = 500 * time.Millisecond
	// failureMemory is the time in which the weight of failures falls by a
	// factor of e.
	failureMemory = 3 * time.Second
	// failureWeight is the weight of the newest result among the results of a
	// target.
	failureWeight = 0.15
	// failureCost is by how many requests a slot the queue of a target must be
	// shorter to make up for failures only.
	failureCost = 2.0
	// resultSpan is the time over which the results of sends are counted for
	// other hosts.
	resultSpan = 2 * time.Second
	// slowCost is the same for each time that a target is slower than the
	// others of its service, beyond slowBound: without the object in its
	// memory a target takes about three times as long as with it.
	slowCost = 0.3
	// slowBound is how many times slower than usual a target may be for free.
	slowBound = 2.0
	// slowest bounds how slow a single answer can make a target look, in
	// multiples of the usual time.
	slowest = 10.0
	// firstPause and longestPause bound the time without requests after a
	// target could not be reached. The pause doubles with each failure.
	firstPause   = 250 * time.Millisecond
	longestPause = 3 * time.Second
	// fullPause is how long a target that refused for lack of room counts as
	// full.
	fullPause = 60 * time.Millisecond
	// queueFactor is how many requests a target holds, as a multiple of its
	// slots, before it refuses more.
	queueFactor = 3
)

// state is what the host knows of one target.
type state struct {
	Target
	seed     uint64
	running  int
	others   float64
	othersAt time.Time
	cold     *quota.Window
	failures float64
	failedAt time.Time
	// failed and served count the results of this host's own sends.
	failed *quota.Window
	served *quota.Window
	// blame is the share of failures at other hosts.
	blame     float64
	blamedAt  time.Time
	row       int
	until     time.Time
	full      time.Time
	slow      float64
	slowAt    time.Time
	answered  time.Time
	sends     []time.Time
	nextProbe time.Time
}

// load estimates the requests that the target holds.
func (s *state) load(now time.Time) float64 {
	age := now.Sub(s.othersAt)
	return float64(s.running) + s.others*math.Exp(-age.Seconds()/loadMemory.Seconds())
}

// report takes over a load that the target reported while own requests of
// this host were under way.
func (s *state) report(now time.Time, l Load) {
	s.others = max(0, float64(l.InFlight()-s.running))
	s.othersAt = now
	if l.slots > 0 {
		s.slots = l.slots
	}
}

// fail counts a result in the weighted share of failures.
func (s *state) fail(now time.Time, failed bool) {
	s.failures = s.failureShare(now) * (1 - failureWeight)
	if failed {
		s.failures += failureWeight
		s.failed.Add(now, 1)
	} else {
		s.served.Add(now, 1)
	}
	s.failedAt = now
}

func (s *state) failureShare(now time.Time) float64 {
	return s.failures * math.Exp(-now.Sub(s.failedAt).Seconds()/failureMemory.Seconds())
}

// queue returns the requests a slot that would wait if one more came.
func (s *state) queue(now time.Time) float64 {
	return max(0, s.load(now)+1-float64(s.slots)) / float64(s.slots)
}

// trouble returns what the failures and the slowness of the target cost, in
// requests a slot. A host that seldom uses the target learns of failures from
// others.
func (s *state) trouble(now time.Time) float64 {
	slow := s.slow * math.Exp(-now.Sub(s.slowAt).Seconds()/failureMemory.Seconds())
	blame := s.blame * math.Exp(-now.Sub(s.blamedAt).Seconds()/failureMemory.Seconds())
	return failureCost*max(s.failureShare(now), blame) + slowCost*max(0, slow-slowBound)
}

// pause keeps requests away after the target could not be reached.
func (s *state) pause(now time.Time) {
	d := min(firstPause<<min(s.row, 8), longestPause)
	s.row++
	s.until = now.Add(d)
}

// isSilent reports whether requests have been under way for longer than the
// given time while the target answered nothing.
func (s *state) isSilent(now time.Time, patience time.Duration) bool {
	if len(s.sends) == 0 {
		return false
	}
	oldest := s.sends[0]
	if s.answered.After(oldest) {
		oldest = s.answered
	}
	return now.Sub(oldest) > patience
}

func (s *state) begin(now time.Time) {
	s.running++
	s.sends = append(s.sends, now)
}

func (s *state) end(sent time.Time) {
	s.running--
	for i, t := range s.sends {
		if t.Equal(sent) {
			s.sends = append(s.sends[:i], s.sends[i+1:]...)
			break
		}
	}
}
