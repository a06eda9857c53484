package spread

import (
	"time"

	"rhubarbrack/ident"
)

// Count tells what some hosts have under way at a target, and how their sends
// to it ended lately.
type Count struct {
	target  ident.Target
	running int
	failed  int
	served  int
}

// NewCount returns a count.
func NewCount(target ident.Target, running, failed, served int) Count {
	return Count{target: target, running: running, failed: failed, served: served}
}

// Target returns the target.
func (c Count) Target() ident.Target { return c.target }

// Running returns the number of requests under way.
func (c Count) Running() int { return c.running }

// Failed returns the number of sends that failed, with or without an answer.
func (c Count) Failed() int { return c.failed }

// Served returns the number of sends that were answered well.
func (c Count) Served() int { return c.served }

// Counts returns what this host has under way, and the results at targets that
// failed here or at other hosts.
func (t *Table) Counts(now time.Time) []Count {
	var list []Count
	for id, s := range t.targets {
		failed, served := int(s.failed.Sum(now)), int(s.served.Sum(now))
		if s.running > 0 || failed > 0 || served > 0 && now.Sub(s.blamedAt) < failureMemory {
			list = append(list, NewCount(id, s.running, failed, served))
		}
	}
	return list
}

// observeAge is the age of a target's own report from which the counts of
// other hosts are more recent.
const observeAge = 300 * time.Millisecond

// Observe takes over what other hosts have under way and how their sends ended.
func (t *Table) Observe(now time.Time, counts []Count) {
	for _, c := range counts {
		s, ok := t.targets[c.target]
		if !ok {
			continue
		}
		if now.Sub(s.othersAt) > observeAge {
			s.others, s.othersAt = float64(c.running), now
		}
		if c.failed > 0 {
			s.blame, s.blamedAt = float64(c.failed)/float64(c.failed+c.served), now
		}
	}
}
