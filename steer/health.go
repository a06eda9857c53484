package steer

import (
	"math"
	"slices"
	"time"
)

// target is what the pool knows of one target.
type target struct {
	entry   Target
	service *service
	index   int
	zone    int
	listed  bool

	inFlight int
	room     int
	// fullUntil is when the pool's own grants last filled the target.
	fullUntil time.Time

	// Sources that say the target is leaving.
	saidLeaving bool
	saidAt      time.Time
	drained     bool

	report   ProbeReport
	reported bool

	rampStart time.Time
	ramping   bool

	failures     int
	ejected      bool
	ejectedUntil time.Time
	ejections    int
	trial        uint64
	shedUntil    time.Time
	excluded     bool

	latency float64
	samples int
}

// leaving reports whether any source says that the target is leaving.
func (t *target) leaving() bool {
	return !t.listed || t.entry.state != StateLive || t.saidLeaving || t.drained
}

// limit returns how many grants the target may have in flight at now.
func (t *target) limit(now time.Time) int {
	if t.leaving() {
		return 0
	}
	if t.ejected {
		if now.Before(t.ejectedUntil) || t.trial != 0 {
			return 0
		}
		return min(t.inFlight+1, t.entry.slots)
	}
	return t.ramped(now)
}

// ramped returns the slots that the slow start allows.
func (t *target) ramped(now time.Time) int {
	ramp := t.service.settings.ramp
	if !t.ramping || ramp <= 0 {
		return t.entry.slots
	}
	passed := now.Sub(t.rampStart)
	if passed >= ramp {
		return t.entry.slots
	}
	share := max(0, float64(passed)/float64(ramp))
	return min(t.entry.slots, 1+int(share*float64(t.entry.slots-1)))
}

func (t *target) startRamp(now time.Time) { t.ramping, t.rampStart = true, now }

// narrowed reports whether fresh reports or the target's own refusals speak
// against it.
func (t *target) narrowed(now time.Time, reportAge time.Duration) bool {
	if now.Before(t.shedUntil) {
		return true
	}
	if !t.reported || now.Sub(t.report.at) > reportAge {
		return false
	}
	return !t.report.healthy || t.report.load >= 1 && !t.filledAt(t.report.at)
}

// filledAt reports whether the pool's own grants filled the target at or after
// the time of a report. A full target is then no news: the pool knows when its
// slots are free again, and must not pass them over until the next report.
func (t *target) filledAt(at time.Time) bool {
	return t.inFlight >= t.entry.slots || !t.fullUntil.Before(at)
}

// leaveFull notes the time when a grant of a filled target ends.
func (t *target) leaveFull(now time.Time) {
	if t.inFlight >= t.entry.slots {
		t.fullUntil = now
	}
}

// score returns the utilisation that one more grant would cause, with a
// handicap for latency outliers, or infinity when there is no room.
func (t *target) score(now time.Time) float64 {
	limit := t.limit(now)
	if t.excluded || t.inFlight >= limit {
		return math.Inf(1)
	}
	if t.ejected {
		// The trial takes the next request, or a target that is not needed
		// at low load would never be found to have recovered.
		return 0
	}
	return float64(t.inFlight+1) / float64(limit) * t.handicap()
}

func (t *target) handicap() float64 {
	median := t.service.median
	if t.samples < leastSamples || median <= 0 {
		return 1
	}
	ratio := t.latency / median
	if ratio < outlierRatio {
		return 1
	}
	return min(ratio, greatestPenalty)
}

// observe takes the result of a grant into account.
func (t *target) observe(now time.Time, g *grant, r Result, o options) {
	wasTrial := t.trial != 0 && t.trial == g.run
	if wasTrial {
		t.trial = 0
	}
	if t.ejected && g.since.Before(t.ejectedUntil) && !wasTrial {
		// The grant is older than the ejection, and its result tells
		// nothing about the target since then.
		return
	}
	switch r.ending {
	case OutcomeOK:
		t.succeeded(now, r.latency)
	case OutcomeFailed, OutcomeTimeout:
		t.failures++
		if wasTrial || t.failures >= o.failures && t.service.mayEject() {
			t.eject(now, o)
		}
	case OutcomeCrashed, OutcomeUnreachable:
		t.eject(now, o)
	case OutcomeShed:
		t.shedUntil = now.Add(shedPause)
	case OutcomeLeaving:
		t.saidLeaving, t.saidAt = true, now
	case OutcomeCancelled:
	}
}

func (t *target) succeeded(now time.Time, latency time.Duration) {
	t.failures = 0
	if t.ejected {
		t.ejected = false
		t.latency, t.samples = 0, 0
		t.startRamp(now)
	} else if t.ejections > 0 && now.Sub(t.ejectedUntil) > longestEjection {
		t.ejections = 0
	}
	if latency <= 0 {
		return
	}
	t.samples++
	if t.samples == 1 {
		t.latency = float64(latency)
		return
	}
	t.latency += smoothing * (float64(latency) - t.latency)
}

// eject keeps the target without new work for a time that doubles with each
// ejection. One trial request follows.
func (t *target) eject(now time.Time, o options) {
	pause := longestEjection
	if t.ejections < 16 {
		pause = min(longestEjection, o.ejection<<t.ejections)
	}
	t.ejections++
	t.ejected, t.ejectedUntil = true, now.Add(pause)
	t.failures, t.trial = 0, 0
}

// mayEject reports whether failures may eject one more target. Failures of
// more than half of the targets have a common cause elsewhere.
func (s *service) mayEject() bool {
	ejected := 0
	for _, t := range s.targets {
		if t.ejected {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(s.targets)
}

// refresh recomputes what depends on time: exclusions, the median latency
// and the scores.
func (s *service) refresh(now time.Time, o options) {
	s.measureMedian()
	s.exclude(now, o)
	s.usable = 0
	for _, t := range s.targets {
		s.rescore(t, now)
		s.usable += t.limitOrZero(now)
	}
}

func (t *target) limitOrZero(now time.Time) int {
	if t.excluded {
		return 0
	}
	return t.limit(now)
}

// exclude sets aside the targets that reports speak against, unless too few
// slots would remain.
func (s *service) exclude(now time.Time, o options) {
	total, left := 0, 0
	for _, t := range s.targets {
		limit := t.limit(now)
		total += limit
		t.excluded = limit > 0 && t.narrowed(now, o.reportAge)
		if !t.excluded {
			left += limit
		}
	}
	if left > 0 && float64(left) >= o.leastChoice*float64(total) {
		return
	}
	for _, t := range s.targets {
		t.excluded = false
	}
}

func (s *service) measureMedian() {
	s.latencies = s.latencies[:0]
	for _, t := range s.targets {
		if t.samples >= leastSamples {
			s.latencies = append(s.latencies, t.latency)
		}
	}
	s.median = 0
	if n := len(s.latencies); n > 0 {
		slices.Sort(s.latencies)
		s.median = s.latencies[n/2]
	}
}
