package guard

import (
	"slices"
	"time"

	"rhubarbrack/ident"
)

const (
	// defaultPeriod is how long a mark is in force. It is longer than callers
	// retry a failed request, and short enough for a request that was banned
	// without being the cause.
	defaultPeriod = 10 * time.Minute
	// banCrashes is the number of crashes that bans a fingerprint.
	banCrashes = 2
)

// untracked is the zero fingerprint of requests that are not tracked.
var untracked ident.Fingerprint

// run is one request in flight.
type run struct {
	fingerprint ident.Fingerprint
	target      ident.Target
	// crashCounted is set once the crash of the target was counted, so that
	// other reports of the same crash do not count again.
	crashCounted bool
}

// suspicion holds the marks of a fingerprint: the one that this guard observed,
// and the one of the replicated view. They are separate, so that an old mark
// that returns from the view does not overwrite a newer observation.
type suspicion struct {
	local      Mark
	replicated Mark
}

func (s suspicion) crashes(now time.Time) int {
	return max(s.local.activeCrashes(now), s.replicated.activeCrashes(now))
}

// banEnd returns the end of the ban, or the zero time if no mark bans the
// fingerprint.
func (s suspicion) banEnd(now time.Time) time.Time {
	var end time.Time
	for _, m := range []Mark{s.local, s.replicated} {
		if m.activeCrashes(now) >= banCrashes && m.until.After(end) {
			end = m.until
		}
	}
	return end
}

// Guard tracks the runs and the suspects of one slot owner. It is not safe for
// concurrent use; a task owns it.
type Guard struct {
	period     time.Duration
	runs       map[uint64]*run
	targets    map[ident.Target]map[uint64]*run
	inFlight   map[ident.Fingerprint]int
	suspicions map[ident.Fingerprint]suspicion
	changes    []Mark
}

// Option changes a default of New.
type Option func(*Guard)

// WithPeriod sets how long a mark is in force. The default is 10 minutes.
func WithPeriod(d time.Duration) Option { return func(g *Guard) { g.period = d } }

// New returns a guard without suspects.
func New(options ...Option) *Guard {
	g := &Guard{
		period:     defaultPeriod,
		runs:       map[uint64]*run{},
		targets:    map[ident.Target]map[uint64]*run{},
		inFlight:   map[ident.Fingerprint]int{},
		suspicions: map[ident.Fingerprint]suspicion{},
	}
	for _, apply := range options {
		apply(g)
	}
	return g
}

// Banned returns until when requests with the fingerprint are refused.
func (g *Guard) Banned(now time.Time, f ident.Fingerprint) (time.Time, bool) {
	s, ok := g.suspicions[f]
	if !ok || s.crashes(now) < banCrashes {
		return time.Time{}, false
	}
	return s.banEnd(now), true
}

// Suspected reports whether runs of the fingerprint are restricted.
func (g *Guard) Suspected(now time.Time, f ident.Fingerprint) bool {
	s, ok := g.suspicions[f]
	return ok && s.crashes(now) > 0
}

// Admits reports whether a request with the fingerprint may start at the
// target. A suspect may start if it is not banned, no copy of it is in flight
// and no other suspect is in flight at the target.
func (g *Guard) Admits(now time.Time, f ident.Fingerprint, t ident.Target) bool {
	if !g.Suspected(now, f) {
		return true
	}
	if _, banned := g.Banned(now, f); banned || g.inFlight[f] > 0 {
		return false
	}
	for _, r := range g.targets[t] {
		if g.Suspected(now, r.fingerprint) {
			return false
		}
	}
	return true
}

// Started records a run at a target. Runs without a fingerprint are not
// tracked.
func (g *Guard) Started(number uint64, f ident.Fingerprint, t ident.Target) {
	if f == untracked {
		return
	}
	r := &run{fingerprint: f, target: t}
	g.runs[number] = r
	g.inFlight[f]++
	atTarget, ok := g.targets[t]
	if !ok {
		atTarget = map[uint64]*run{}
		g.targets[t] = atTarget
	}
	atTarget[number] = r
}

// Ended records the end of a run. If the target crashed, all fingerprints in
// flight there become suspects or, at their second crash, banned. If the run
// got a response, its fingerprint is cleared.
func (g *Guard) Ended(now time.Time, number uint64, responded, crashed bool) {
	r, ok := g.runs[number]
	if !ok {
		return
	}
	if crashed && !r.crashCounted {
		g.recordCrash(now, r.target)
	}
	g.remove(number, r)
	if responded {
		g.clear(now, r.fingerprint)
	}
}

func (g *Guard) remove(number uint64, r *run) {
	delete(g.runs, number)
	if atTarget := g.targets[r.target]; len(atTarget) > 1 {
		delete(atTarget, number)
	} else {
		delete(g.targets, r.target)
	}
	if g.inFlight[r.fingerprint]--; g.inFlight[r.fingerprint] == 0 {
		delete(g.inFlight, r.fingerprint)
	}
}

// recordCrash counts one crash for each fingerprint in flight at the target.
func (g *Guard) recordCrash(now time.Time, t ident.Target) {
	seen := map[ident.Fingerprint]bool{}
	for _, r := range g.targets[t] {
		if r.crashCounted {
			continue
		}
		r.crashCounted = true
		if !seen[r.fingerprint] {
			seen[r.fingerprint] = true
			g.addCrash(now, r.fingerprint)
		}
	}
}

func (g *Guard) addCrash(now time.Time, f ident.Fingerprint) {
	s := g.suspicions[f]
	s.local = NewMark(f, s.crashes(now)+1, now.Add(g.period))
	g.suspicions[f] = s
	g.changes = append(g.changes, s.local)
}

// clear ends the suspicion of a fingerprint. A ban remains until its end.
func (g *Guard) clear(now time.Time, f ident.Fingerprint) {
	s, ok := g.suspicions[f]
	if n := s.crashes(now); !ok || n == 0 || n >= banCrashes {
		return
	}
	delete(g.suspicions, f)
	g.changes = append(g.changes, NewMark(f, 0, now.Add(g.period)))
}

// TakeChanges returns the marks that changed since the last call and are to be
// replicated, sorted by fingerprint. It returns only the last of several marks
// of one fingerprint.
func (g *Guard) TakeChanges() []Mark {
	out := make([]Mark, 0, len(g.changes))
	seen := map[ident.Fingerprint]bool{}
	for _, m := range slices.Backward(g.changes) {
		if !seen[m.fingerprint] {
			seen[m.fingerprint] = true
			out = append(out, m)
		}
	}
	g.changes = nil
	slices.SortFunc(out, func(a, b Mark) int {
		return slices.Compare(a.fingerprint[:], b.fingerprint[:])
	})
	return out
}

// Import sets marks from the replicated view.
func (g *Guard) Import(marks []Mark) {
	for _, m := range marks {
		s := g.suspicions[m.fingerprint]
		s.replicated = m
		g.suspicions[m.fingerprint] = s
	}
}

// Expire removes the marks that are no longer in force.
func (g *Guard) Expire(now time.Time) {
	for f, s := range g.suspicions {
		if s.crashes(now) == 0 {
			delete(g.suspicions, f)
		}
	}
}

// Marks returns the marks in force, sorted by fingerprint.
func (g *Guard) Marks(now time.Time) []Mark {
	out := make([]Mark, 0, len(g.suspicions))
	for f, s := range g.suspicions {
		if n := s.crashes(now); n > 0 {
			out = append(out, NewMark(f, n, laterExpiry(s.local, s.replicated)))
		}
	}
	slices.SortFunc(out, func(a, b Mark) int {
		return slices.Compare(a.fingerprint[:], b.fingerprint[:])
	})
	return out
}

func laterExpiry(a, b Mark) time.Time {
	if a.until.After(b.until) {
		return a.until
	}
	return b.until
}
