package guard

import (
	"slices"
	"time"

	"rhubarbrack/ident"
)

const (
	// defaultPeriod is how long a mark counts. It is longer than callers
	// repeat a failed request, and short enough for a request that was
	// banned without being the cause.
	defaultPeriod = 10 * time.Minute
	// banCrashes is the number of crashes that bans a fingerprint.
	banCrashes = 2
)

// none is the fingerprint of requests that are not tracked.
var none ident.Fingerprint

// run is one request in flight.
type run struct {
	fingerprint ident.Fingerprint
	target      ident.Target
	// counted tells that the crash of the target was taken into account. The
	// other reports of the same crash must not count again.
	counted bool
}

// record holds the marks of a fingerprint: what this guard saw itself, and
// what the replicated view says. They are kept apart, so that an old mark
// that returns from the view does not undo a newer observation.
type record struct {
	own  Mark
	view Mark
}

func (r record) crashes(now time.Time) int { return max(r.own.inForce(now), r.view.inForce(now)) }

func (r record) until(now time.Time) time.Time {
	var end time.Time
	for _, m := range []Mark{r.own, r.view} {
		if m.inForce(now) >= banCrashes && m.until.After(end) {
			end = m.until
		}
	}
	return end
}

// Guard holds the suspects that one slot owner knows. It is not safe for
// concurrent use; a task owns it.
type Guard struct {
	period  time.Duration
	runs    map[uint64]*run
	targets map[ident.Target]map[uint64]*run
	copies  map[ident.Fingerprint]int
	records map[ident.Fingerprint]record
	changed []Mark
}

// Option changes a default of New.
type Option func(*Guard)

// WithPeriod sets how long a mark counts. The default is 10 minutes.
func WithPeriod(d time.Duration) Option { return func(g *Guard) { g.period = d } }

// New returns a guard without suspects.
func New(list ...Option) *Guard {
	g := &Guard{
		period:  defaultPeriod,
		runs:    map[uint64]*run{},
		targets: map[ident.Target]map[uint64]*run{},
		copies:  map[ident.Fingerprint]int{},
		records: map[ident.Fingerprint]record{},
	}
	for _, apply := range list {
		apply(g)
	}
	return g
}

// Banned returns until when requests with the fingerprint are refused.
func (g *Guard) Banned(now time.Time, f ident.Fingerprint) (time.Time, bool) {
	r, ok := g.records[f]
	if !ok || r.crashes(now) < banCrashes {
		return time.Time{}, false
	}
	return r.until(now), true
}

// Suspected reports whether runs of the fingerprint are restricted.
func (g *Guard) Suspected(now time.Time, f ident.Fingerprint) bool {
	r, ok := g.records[f]
	return ok && r.crashes(now) > 0
}

// Admits reports whether a suspect may start at the target: no copy of it is
// in flight, no other suspect is in flight at the target, and it is not
// banned.
func (g *Guard) Admits(now time.Time, f ident.Fingerprint, t ident.Target) bool {
	if !g.Suspected(now, f) {
		return true
	}
	if _, banned := g.Banned(now, f); banned || g.copies[f] > 0 {
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
	if f == none {
		return
	}
	r := &run{fingerprint: f, target: t}
	g.runs[number] = r
	g.copies[f]++
	at, ok := g.targets[t]
	if !ok {
		at = map[uint64]*run{}
		g.targets[t] = at
	}
	at[number] = r
}

// Ended records the end of a run. When the target crashed, all fingerprints
// in flight there become suspects or, at their second crash, banned. When a
// suspect's run ended well, it is cleared.
func (g *Guard) Ended(now time.Time, number uint64, well, crashed bool) {
	r, ok := g.runs[number]
	if !ok {
		return
	}
	if crashed && !r.counted {
		g.crash(now, r.target)
	}
	g.remove(number, r)
	if well {
		g.clear(now, r.fingerprint)
	}
}

func (g *Guard) remove(number uint64, r *run) {
	delete(g.runs, number)
	if at := g.targets[r.target]; len(at) > 1 {
		delete(at, number)
	} else {
		delete(g.targets, r.target)
	}
	if g.copies[r.fingerprint]--; g.copies[r.fingerprint] == 0 {
		delete(g.copies, r.fingerprint)
	}
}

// crash counts one crash for each fingerprint in flight at the target.
func (g *Guard) crash(now time.Time, t ident.Target) {
	seen := map[ident.Fingerprint]bool{}
	for _, r := range g.targets[t] {
		if r.counted {
			continue
		}
		r.counted = true
		if !seen[r.fingerprint] {
			seen[r.fingerprint] = true
			g.count(now, r.fingerprint)
		}
	}
}

func (g *Guard) count(now time.Time, f ident.Fingerprint) {
	r := g.records[f]
	r.own = NewMark(f, r.crashes(now)+1, now.Add(g.period))
	g.records[f] = r
	g.changed = append(g.changed, r.own)
}

// clear ends a suspicion. A ban stays until its time.
func (g *Guard) clear(now time.Time, f ident.Fingerprint) {
	r, ok := g.records[f]
	if n := r.crashes(now); !ok || n == 0 || n >= banCrashes {
		return
	}
	delete(g.records, f)
	g.changed = append(g.changed, NewMark(f, 0, now.Add(g.period)))
}

// TakeChanges returns the marks that changed since the last call and are to be
// replicated, sorted by fingerprint; of several marks of one fingerprint only
// the last.
func (g *Guard) TakeChanges() []Mark {
	out := make([]Mark, 0, len(g.changed))
	seen := map[ident.Fingerprint]bool{}
	for _, m := range slices.Backward(g.changed) {
		if !seen[m.fingerprint] {
			seen[m.fingerprint] = true
			out = append(out, m)
		}
	}
	g.changed = nil
	slices.SortFunc(out, func(a, b Mark) int {
		return slices.Compare(a.fingerprint[:], b.fingerprint[:])
	})
	return out
}

// Import takes marks from the replicated view.
func (g *Guard) Import(marks []Mark) {
	for _, m := range marks {
		r := g.records[m.fingerprint]
		r.view = m
		g.records[m.fingerprint] = r
	}
}

// Expire drops the marks that have no effect any more.
func (g *Guard) Expire(now time.Time) {
	for f, r := range g.records {
		if r.crashes(now) == 0 {
			delete(g.records, f)
		}
	}
}

// Marks returns the marks in force, sorted by fingerprint.
func (g *Guard) Marks(now time.Time) []Mark {
	out := make([]Mark, 0, len(g.records))
	for f, r := range g.records {
		if n := r.crashes(now); n > 0 {
			out = append(out, NewMark(f, n, laterOf(r.own, r.view)))
		}
	}
	slices.SortFunc(out, func(a, b Mark) int {
		return slices.Compare(a.fingerprint[:], b.fingerprint[:])
	})
	return out
}

func laterOf(a, b Mark) time.Time {
	if a.until.After(b.until) {
		return a.until
	}
	return b.until
}
