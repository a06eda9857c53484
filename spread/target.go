package spread

import (
	"math"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/quota"
)

// Target is a target of the platform's list.
type Target struct {
	id        ident.Target
	service   ident.Service
	address   string
	zone      ident.Zone
	region    ident.Region
	slots     int
	draining  bool
	coldUntil time.Time
	startedAt int64
}

// TargetOption sets an optional property of a Target.
type TargetOption func(*Target)

// WithStart sets when the target's process started, in Unix milliseconds. What
// is known of an earlier process with the same ID does not apply to it.
func WithStart(milliseconds int64) TargetOption {
	return func(t *Target) { t.startedAt = milliseconds }
}

// NewTarget returns a target at an address of the form host:port. It is cold
// until coldUntil.
func NewTarget(
	id ident.Target, service ident.Service, address string, zone ident.Zone, region ident.Region, slots int,
	draining bool, coldUntil time.Time, options ...TargetOption,
) Target {
	t := Target{
		id: id, service: service, address: address, zone: zone, region: region, slots: max(slots, 1),
		draining: draining, coldUntil: coldUntil,
	}
	for _, apply := range options {
		apply(&t)
	}
	return t
}

// isSameProcess reports whether both are one process at one address.
func (t Target) isSameProcess(other Target) bool {
	return t.id == other.id && t.service == other.service && t.address == other.address && t.startedAt == other.startedAt
}

// ID returns the ID of the target process.
func (t Target) ID() ident.Target { return t.id }

// Service returns the service that the target belongs to.
func (t Target) Service() ident.Service { return t.service }

// Address returns the network address of the target.
func (t Target) Address() string { return t.address }

// StartedAt returns when the target's process started, in Unix milliseconds, or 0.
func (t Target) StartedAt() int64 { return t.startedAt }

// Zone returns the zone of the target.
func (t Target) Zone() ident.Zone { return t.zone }

// Region returns the region of the target.
func (t Target) Region() ident.Region { return t.region }

// Load is the load that a target reports.
type Load struct {
	running int
	waiting int
	slots   int
}

// NewLoad returns a load report: running requests, waiting requests and slots.
func NewLoad(running, waiting, slots int) Load {
	return Load{running: running, waiting: waiting, slots: slots}
}

// InFlight returns the requests that the target holds, running or waiting.
func (l Load) InFlight() int { return l.running + l.waiting }

const (
	// loadDecay is the time constant with which the load attributed to other
	// hosts decays after a report.
	loadDecay = 500 * time.Millisecond
	// failureDecay is the time constant with which failures and slowness
	// decay.
	failureDecay = 3 * time.Second
	// failureWeight is the weight of the newest result in a target's moving
	// averages.
	failureWeight = 0.15
	// failurePenalty is by how many requests per slot the queue of a target
	// that always fails must be shorter for it to be selected.
	failurePenalty = 2.0
	// resultWindow is the window over which results are counted for other
	// hosts.
	resultWindow = 2 * time.Second
	// slownessPenalty is by how many requests per slot the queue of a slow
	// target must be shorter, for each multiple of the typical latency beyond
	// slownessTolerance. A target without the object in its cache takes
	// about three times as long as with it.
	slownessPenalty = 0.3
	// slownessTolerance is the multiple of the typical latency up to which a
	// target incurs no penalty.
	slownessTolerance = 2.0
	// maxSlowness caps the effect of a single response on the slowness
	// average, as a multiple of the typical latency.
	maxSlowness = 10.0
	// minPause and maxPause bound the pause of requests to a target after a
	// failure to connect. The pause doubles with each consecutive failure.
	minPause = 250 * time.Millisecond
	maxPause = 3 * time.Second
	// fullPause is how long a target counts as full after it refused a request
	// for lack of capacity.
	fullPause = 60 * time.Millisecond
	// maxLoadFactor is the number of requests that a target may hold, as a
	// multiple of its slots, when requests without affinity queue at it.
	maxLoadFactor = 3
)

// targetState is what this host knows about one target.
type targetState struct {
	Target
	hash     uint64
	inFlight int
	// remoteLoad is the load of other hosts as of loadAt.
	remoteLoad float64
	loadAt     time.Time
	// leavingSince is when the target said that its process is about to end, and
	// pauseAskedUntil is until when it wants no requests.
	leavingSince    time.Time
	pauseAskedUntil time.Time
	// limiter is nil for targets that have never stated a rate limit.
	limiter *rateLimiter
	// markedUntil is until when the target counts as cold by its own statement.
	markedUntil time.Time
	// coldRequests counts the requests sent while the target was cold.
	coldRequests *quota.Window
	// failureAvg is the moving average of failures as of failureAvgAt.
	failureAvg   float64
	failureAvgAt time.Time
	// failed and served count the results of this host's own attempts.
	failed *quota.Window
	served *quota.Window
	// remoteFailures is the share of failed attempts at other hosts.
	remoteFailures   float64
	remoteFailuresAt time.Time
	// losses counts consecutive lost connections and failures to connect.
	losses      int
	pausedUntil time.Time
	fullUntil   time.Time
	// slowness is the moving average of latency relative to the typical one.
	slowness    float64
	slownessAt  time.Time
	respondedAt time.Time
	// started holds the start times of the attempts in flight.
	started   []time.Time
	nextProbe time.Time
}

// load estimates the number of requests that the target holds.
func (s *targetState) load(now time.Time) float64 {
	age := now.Sub(s.loadAt)
	return float64(s.inFlight) + s.remoteLoad*math.Exp(-age.Seconds()/loadDecay.Seconds())
}

// applyReport applies a load report. What exceeds this host's own in-flight
// requests is attributed to other hosts.
func (s *targetState) applyReport(now time.Time, l Load) {
	s.remoteLoad = max(0, float64(l.InFlight()-s.inFlight))
	s.loadAt = now
	if l.slots > 0 {
		s.slots = l.slots
	}
}

// recordOutcome updates the moving average of failures and the counts of
// results.
func (s *targetState) recordOutcome(now time.Time, failed bool) {
	s.failureAvg = s.failureShare(now) * (1 - failureWeight)
	if failed {
		s.failureAvg += failureWeight
		s.failed.Add(now, 1)
	} else {
		s.served.Add(now, 1)
	}
	s.failureAvgAt = now
}

// failureShare returns the decayed moving average of failures.
func (s *targetState) failureShare(now time.Time) float64 {
	return s.failureAvg * math.Exp(-now.Sub(s.failureAvgAt).Seconds()/failureDecay.Seconds())
}

// queue returns the requests per slot that would wait if one more arrived.
func (s *targetState) queue(now time.Time) float64 {
	return max(0, s.load(now)+1-float64(s.slots)) / float64(s.slots)
}

// penalty returns the cost of the target's failures and slowness, in requests
// per slot. A host that rarely uses the target learns of failures from other
// hosts.
func (s *targetState) penalty(now time.Time) float64 {
	slowness := s.slowness * math.Exp(-now.Sub(s.slownessAt).Seconds()/failureDecay.Seconds())
	remoteFailures := s.remoteFailures * math.Exp(-now.Sub(s.remoteFailuresAt).Seconds()/failureDecay.Seconds())
	return failurePenalty*max(s.failureShare(now), remoteFailures) + slownessPenalty*max(0, slowness-slownessTolerance)
}

// pause suspends requests to the target after connection failures.
func (s *targetState) pause(now time.Time) {
	d := min(minPause<<min(s.losses, 8), maxPause)
	s.losses++
	s.pausedUntil = now.Add(d)
}

// isSilent reports whether requests have been in flight for longer than the
// limit without any response from the target.
func (s *targetState) isSilent(now time.Time, limit time.Duration) bool {
	if len(s.started) == 0 {
		return false
	}
	oldest := s.started[0]
	if s.respondedAt.After(oldest) {
		oldest = s.respondedAt
	}
	return now.Sub(oldest) > limit
}

func (s *targetState) startAttempt(now time.Time) {
	s.inFlight++
	s.started = append(s.started, now)
}

func (s *targetState) endAttempt(started time.Time) {
	s.inFlight--
	for i, t := range s.started {
		if t.Equal(started) {
			s.started = append(s.started[:i], s.started[i+1:]...)
			break
		}
	}
}
