package steer

import (
	"math"
	"slices"
	"time"
)

// target is the pool's state of one target.
type target struct {
	entry   Target
	service *service
	index   int
	zone    int
	listed  bool

	inFlight  int
	freeSlots int
	// lastFull is when the pool's own grants last used all slots.
	lastFull time.Time

	// Sources that say the target is leaving.
	reportedLeaving   bool
	leavingReportedAt time.Time
	drained           bool

	report    ProbeReport
	hasReport bool

	slowStartAt  time.Time
	slowStarting bool

	failures     int
	ejected      bool
	ejectedUntil time.Time
	ejections    int
	trialRun     uint64
	shedUntil    time.Time
	excluded     bool

	latency        float64
	latencySamples int
}

// isLeaving reports whether any source says that the target is leaving.
func (t *target) isLeaving() bool {
	return !t.listed || t.entry.state != StateLive || t.reportedLeaving || t.drained
}

// concurrencyLimit returns how many grants the target may have in flight at
// now.
func (t *target) concurrencyLimit(now time.Time) int {
	if t.isLeaving() {
		return 0
	}
	if t.ejected {
		if now.Before(t.ejectedUntil) || t.trialRun != 0 {
			return 0
		}
		return min(t.inFlight+1, t.entry.slots)
	}
	return t.slowStartLimit(now)
}

// slowStartLimit returns the number of slots that slow start allows at now.
func (t *target) slowStartLimit(now time.Time) int {
	duration := t.service.settings.slowStart
	if !t.slowStarting || duration <= 0 {
		return t.entry.slots
	}
	elapsed := now.Sub(t.slowStartAt)
	if elapsed >= duration {
		return t.entry.slots
	}
	share := max(0, float64(elapsed)/float64(duration))
	return min(t.entry.slots, 1+int(share*float64(t.entry.slots-1)))
}

func (t *target) beginSlowStart(now time.Time) { t.slowStarting, t.slowStartAt = true, now }

// shouldExclude reports whether the target recently shed a request, or whether
// a fresh report says that it is unhealthy or full.
func (t *target) shouldExclude(now time.Time, reportAge time.Duration) bool {
	if now.Before(t.shedUntil) {
		return true
	}
	if !t.hasReport || now.Sub(t.report.at) > reportAge {
		return false
	}
	return !t.report.healthy || t.report.load >= 1 && !t.wasFullSince(t.report.at)
}

// wasFullSince reports whether the pool's own grants used all slots at or
// after the time of a report. Such a report of a full target is ignored,
// because the pool knows when slots become free and must not leave them idle
// until the next report.
func (t *target) wasFullSince(at time.Time) bool {
	return t.inFlight >= t.entry.slots || !t.lastFull.Before(at)
}

// noteFull records the time at which a grant of a full target ends.
func (t *target) noteFull(now time.Time) {
	if t.inFlight >= t.entry.slots {
		t.lastFull = now
	}
}

// score returns the utilisation that one more grant would cause, multiplied by
// a penalty for latency outliers, or infinity when no slot is free.
func (t *target) score(now time.Time) float64 {
	limit := t.concurrencyLimit(now)
	if t.excluded || t.inFlight >= limit {
		return math.Inf(1)
	}
	if t.ejected {
		// The next request is the trial: otherwise a target that is not
		// needed at low load would never be found to have recovered.
		return 0
	}
	return float64(t.inFlight+1) / float64(limit) * t.outlierPenalty()
}

// outlierPenalty returns the factor by which a latency outlier is penalised,
// or 1.
func (t *target) outlierPenalty() float64 {
	median := t.service.medianLatency
	if t.latencySamples < minLatencySamples || median <= 0 {
		return 1
	}
	ratio := t.latency / median
	if ratio < outlierRatio {
		return 1
	}
	return min(ratio, maxOutlierPenalty)
}

// recordResult updates the health of the target from the result of a grant.
func (t *target) recordResult(now time.Time, g *grant, r Result, o options) {
	wasTrial := t.trialRun != 0 && t.trialRun == g.run
	if wasTrial {
		t.trialRun = 0
	}
	if t.ejected && g.since.Before(t.ejectedUntil) && !wasTrial {
		// The grant is older than the ejection, so its result says nothing
		// about the current health of the target.
		return
	}
	switch r.outcome {
	case OutcomeOK:
		t.recordSuccess(now, r.latency)
	case OutcomeFailed, OutcomeTimeout:
		t.failures++
		if wasTrial || t.failures >= o.failureThreshold && t.service.canEject() {
			t.eject(now, o)
		}
	case OutcomeCrashed, OutcomeUnreachable:
		t.eject(now, o)
	case OutcomeShed:
		t.shedUntil = now.Add(shedBackoff)
	case OutcomeLeaving:
		t.reportedLeaving, t.leavingReportedAt = true, now
	case OutcomeCancelled:
	}
}

func (t *target) recordSuccess(now time.Time, latency time.Duration) {
	t.failures = 0
	if t.ejected {
		t.ejected = false
		t.latency, t.latencySamples = 0, 0
		t.beginSlowStart(now)
	} else if t.ejections > 0 && now.Sub(t.ejectedUntil) > maxEjection {
		t.ejections = 0
	}
	if latency <= 0 {
		return
	}
	t.latencySamples++
	if t.latencySamples == 1 {
		t.latency = float64(latency)
		return
	}
	t.latency += ewmaWeight * (float64(latency) - t.latency)
}

// eject stops new work at the target for a time that doubles with each
// ejection. One trial request follows.
func (t *target) eject(now time.Time, o options) {
	duration := maxEjection
	if t.ejections < 16 {
		duration = min(maxEjection, o.baseEjection<<t.ejections)
	}
	t.ejections++
	t.ejected, t.ejectedUntil = true, now.Add(duration)
	t.failures, t.trialRun = 0, 0
}

// canEject reports whether failures may eject one more target. When more than
// half of the targets fail, the cause is assumed to lie outside them.
func (s *service) canEject() bool {
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
	s.updateMedian()
	s.excludeTargets(now, o)
	s.usableSlots = 0
	for _, t := range s.targets {
		s.updateScore(t, now)
		s.usableSlots += t.usableLimit(now)
	}
}

func (t *target) usableLimit(now time.Time) int {
	if t.excluded {
		return 0
	}
	return t.concurrencyLimit(now)
}

// excludeTargets excludes the targets that shed requests or that reports call
// unhealthy or full, unless too few slots would remain.
func (s *service) excludeTargets(now time.Time, o options) {
	total, included := 0, 0
	for _, t := range s.targets {
		limit := t.concurrencyLimit(now)
		total += limit
		t.excluded = limit > 0 && t.shouldExclude(now, o.reportAge)
		if !t.excluded {
			included += limit
		}
	}
	if included > 0 && float64(included) >= o.minIncludedShare*float64(total) {
		return
	}
	for _, t := range s.targets {
		t.excluded = false
	}
}

func (s *service) updateMedian() {
	s.latencies = s.latencies[:0]
	for _, t := range s.targets {
		if t.latencySamples >= minLatencySamples {
			s.latencies = append(s.latencies, t.latency)
		}
	}
	s.medianLatency = 0
	if n := len(s.latencies); n > 0 {
		slices.Sort(s.latencies)
		s.medianLatency = s.latencies[n/2]
	}
}
