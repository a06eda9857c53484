package guard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrack/ident"
)

const (
	// singleAttemptCrashes is the number of crashes from which a request gets
	// one attempt only, and refusalCrashes the one from which it is refused.
	singleAttemptCrashes = 2
	refusalCrashes       = 3
	// minRefusalTime is for how long a request is refused after refusalCrashes.
	// The time doubles with each further crash, up to maxRefusalTime.
	minRefusalTime = 10 * time.Minute
	maxRefusalTime = time.Hour
	// suspicionTime is how long fewer crashes are remembered after the last
	// one, and convictionTime how long refusalCrashes or more are.
	suspicionTime  = 10 * time.Minute
	convictionTime = 2 * maxRefusalTime
	// clearanceTime is how long a response is remembered, so that hosts which
	// still hold earlier crashes learn of it.
	clearanceTime = time.Minute
	// maxSuspects bounds the fingerprints that are remembered.
	maxSuspects = 128
	// maxCrashes bounds the crashes that are remembered of a fingerprint. The
	// refusal time no longer grows with more.
	maxCrashes = 6
)

// Verdict tells how a request is treated that may have crashed targets.
type Verdict uint8

const (
	// Unrestricted requests are treated like all others.
	Unrestricted Verdict = iota
	// SingleAttempt means that the request is sent to one target at most.
	SingleAttempt
	// Refused means that the request is sent to no target.
	Refused
)

// Suspects holds, by fingerprint, the target processes that ended while they
// ran a request. Entry hosts and the control leader exchange what they hold as
// reports; the result does not depend on the order or the number of times in
// which reports arrive. Suspects is not safe for concurrent use.
type Suspects struct {
	histories map[ident.Fingerprint]history
}

// history is what is known of one fingerprint. The crashes are those after
// clearedAt, of different processes, the earliest first. observedAt is when this
// host last observed a crash or a response itself.
type history struct {
	crashes    []Crash
	clearedAt  time.Time
	observedAt time.Time
}

// NewSuspects returns an empty set of suspects.
func NewSuspects() *Suspects { return &Suspects{histories: map[ident.Fingerprint]history{}} }

// RecordCrash records that a process ended while it ran a request with the
// fingerprint, and returns the number of crashes since its last response.
func (s *Suspects) RecordCrash(now time.Time, f ident.Fingerprint, c Crash) int {
	s.merge(now, f, history{crashes: []Crash{c}, observedAt: now})
	return len(s.histories[f].crashes)
}

// RecordResponse records that a target has responded to a request with the
// fingerprint, which ends the suspicion. It has no effect on fingerprints that
// are not suspected.
func (s *Suspects) RecordResponse(now time.Time, f ident.Fingerprint) {
	if h, ok := s.histories[f]; ok && len(h.crashes) > 0 {
		s.merge(now, f, history{clearedAt: now, observedAt: now})
	}
}

// Verdict returns how requests with the fingerprint are treated, and until when
// they are refused.
func (s *Suspects) Verdict(now time.Time, f ident.Fingerprint) (Verdict, time.Time) {
	h := s.histories[f]
	n := len(h.crashes)
	if n < singleAttemptCrashes || h.isOutdated(now) {
		return Unrestricted, time.Time{}
	}
	if until := h.refusedUntil(); now.Before(until) {
		return Refused, until
	}
	return SingleAttempt, time.Time{}
}

// Suspected returns the fingerprints with a crash since their last response.
func (s *Suspects) Suspected() map[ident.Fingerprint]bool {
	list := map[ident.Fingerprint]bool{}
	for f, h := range s.histories {
		if len(h.crashes) > 0 {
			list[f] = true
		}
	}
	return list
}

// Merge adds what another host reported.
func (s *Suspects) Merge(now time.Time, reports []Report) {
	for _, r := range reports {
		s.merge(now, r.fingerprint, history{crashes: r.crashes, clearedAt: r.clearedAt})
	}
}

// merge adds a history to that of a fingerprint.
func (s *Suspects) merge(now time.Time, f ident.Fingerprint, other history) {
	s.histories[f] = s.histories[f].merged(other)
	s.Expire(now)
	for len(s.histories) > maxSuspects {
		delete(s.histories, s.leastSuspected())
	}
}

// leastSuspected returns the fingerprint with the fewest crashes, of several the
// one whose last crash or response is the earliest.
func (s *Suspects) leastSuspected() ident.Fingerprint {
	return slices.MinFunc(slices.Collect(maps.Keys(s.histories)), func(a, b ident.Fingerprint) int {
		x, y := s.histories[a], s.histories[b]
		return cmp.Or(cmp.Compare(len(x.crashes), len(y.crashes)), x.lastChange().Compare(y.lastChange()), slices.Compare(a[:], b[:]))
	})
}

// Expire forgets what is no longer needed.
func (s *Suspects) Expire(now time.Time) {
	maps.DeleteFunc(s.histories, func(_ ident.Fingerprint, h history) bool { return h.isOutdated(now) })
}

// Reports returns what this host has observed since a time, ordered by
// fingerprint. For the zero time it returns all that is known.
func (s *Suspects) Reports(since time.Time) []Report {
	var list []Report
	for f, h := range s.histories {
		if !h.observedAt.Before(since) {
			list = append(list, NewReport(f, slices.Clone(h.crashes), h.clearedAt))
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return slices.Compare(a.fingerprint[:], b.fingerprint[:]) })
	return list
}

// Tag identifies the content of the set. It is 0 for an empty set and does not
// depend on times.
func (s *Suspects) Tag() uint64 {
	tag := uint64(0)
	for f, h := range s.histories {
		data := fmt.Appendf(nil, "%x", f[:])
		for _, c := range h.crashes {
			data = fmt.Appendf(data, " %q %d", c.process.target, c.process.startedAt)
		}
		// A sum does not depend on the order of the map.
		tag += xxhash.Sum64(data)
	}
	return tag
}

// merged returns the history with the crashes and the responses of both.
func (h history) merged(other history) history {
	m := history{clearedAt: laterOf(h.clearedAt, other.clearedAt), observedAt: laterOf(h.observedAt, other.observedAt)}
	for _, c := range slices.Concat(h.crashes, other.crashes) {
		if !c.at.After(m.clearedAt) {
			continue
		}
		i := slices.IndexFunc(m.crashes, func(known Crash) bool { return known.process == c.process })
		switch {
		case i < 0:
			m.crashes = append(m.crashes, c)
		case c.at.Before(m.crashes[i].at):
			m.crashes[i] = c
		}
	}
	slices.SortFunc(m.crashes, Crash.compare)
	m.crashes = m.crashes[:min(len(m.crashes), maxCrashes)]
	return m
}

// lastChange returns the time of the last crash, or else of the last response.
func (h history) lastChange() time.Time {
	if n := len(h.crashes); n > 0 {
		return h.crashes[n-1].at
	}
	return h.clearedAt
}

// refusedUntil returns the end of the refusals, or the zero time.
func (h history) refusedUntil() time.Time {
	n := len(h.crashes)
	if n < refusalCrashes {
		return time.Time{}
	}
	return h.crashes[n-1].at.Add(min(minRefusalTime<<(n-refusalCrashes), maxRefusalTime))
}

func (h history) isOutdated(now time.Time) bool {
	limit := convictionTime
	switch n := len(h.crashes); {
	case n == 0:
		limit = clearanceTime
	case n < refusalCrashes:
		limit = suspicionTime
	}
	return now.Sub(h.lastChange()) >= limit
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
