package spread

import (
	"time"

	"rhubarbrack/ident"
)

// Result is the result of one attempt, as far as it concerns the target.
type Result uint8

const (
	// Served means that the target responded without a server error.
	Served Result = iota + 1
	// Failed means that the target responded with a server error.
	Failed
	// Full means that the target refused the request without running it.
	Full
	// Unreachable means that no connection to the target could be opened.
	Unreachable
	// Lost means that the connection broke or the response was unusable.
	Lost
	// Silent means that no response arrived before the deadline.
	Silent
	// Foreign means that another process responded at the target's address.
	Foreign
	// Abandoned means that the attempt was cancelled and says nothing about
	// the target.
	Abandoned
)

// String returns the name for logs.
func (r Result) String() string {
	names := [...]string{
		"unknown", "served", "failed", "full", "unreached", "lost", "silent", "foreign", "abandoned",
	}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// foreignPause is how long a target gets no requests after another process
// responded at its address. The next target list names that process.
const foreignPause = 2 * time.Second

// maxLosses is the number of consecutive lost connections after which a target
// gets no requests for a while.
const maxLosses = 2

// RecordResult records the result of an attempt and, if the response reported
// it, the load of the target.
func (t *Table) RecordResult(now time.Time, c Choice, result Result, load ident.Option[Load]) {
	s, ok := t.targets[c.target.id]
	if !ok || s != c.state {
		// The process that the request was sent to has ended.
		return
	}
	s.endAttempt(c.chosenAt)
	if l, ok := load.Get(); ok {
		s.applyReport(now, l)
	}
	switch result {
	case Served:
		s.losses, s.respondedAt = 0, now
		s.recordOutcome(now, false)
		t.recordLatency(now, s, c)
	case Failed:
		s.losses, s.respondedAt = 0, now
		s.recordOutcome(now, true)
	case Full:
		s.respondedAt = now
		if l, ok := load.Get(); ok && l.InFlight() < s.slots {
			// By its own report it has free slots, so the refusal is a failure.
			s.recordOutcome(now, true)
		} else {
			s.fullUntil = now.Add(fullPause)
		}
	case Unreachable:
		s.failed.Add(now, 1)
		s.pause(now)
		if c.isLimited {
			s.limiter.giveBack()
		}
	case Lost:
		s.recordOutcome(now, true)
		s.losses++
		if s.losses >= maxLosses {
			s.pause(now)
		}
	case Silent:
		s.recordOutcome(now, true)
		s.recordOutcome(now, true)
	case Foreign:
		s.pausedUntil = now.Add(foreignPause)
	}
}

// recordLatency compares the latency of a response with the typical one of the
// service, and updates both averages.
func (t *Table) recordLatency(now time.Time, s *targetState, c Choice) {
	took := now.Sub(c.chosenAt).Seconds()
	typical, ok := t.typicalLatency[s.service]
	if !ok {
		t.typicalLatency[s.service] = took
		return
	}
	ratio := took / max(typical, 0.001)
	t.typicalLatency[s.service] = typical + latencyWeight*(min(took, slownessTolerance*typical)-typical)
	if s.slowness == 0 {
		s.slowness = 1
	}
	s.slowness += failureWeight * (min(ratio, maxSlowness) - s.slowness)
	s.slownessAt = now
}
