package spread

import (
	"time"

	"rhubarbrack/ident"
)

// TargetStats tells what some hosts have under way at a target, and how their sends
// to it ended lately.
type TargetStats struct {
	target  ident.Target
	running int
	failed  int
	served  int
}

// NewTargetStats returns a count.
func NewTargetStats(target ident.Target, running, failed, served int) TargetStats {
	return TargetStats{target: target, running: running, failed: failed, served: served}
}

// Target returns the target.
func (c TargetStats) Target() ident.Target { return c.target }

// InFlight returns the number of requests under way.
func (c TargetStats) InFlight() int { return c.running }

// Failed returns the number of sends that failed, with or without an answer.
func (c TargetStats) Failed() int { return c.failed }

// Served returns the number of sends that were answered well.
func (c TargetStats) Served() int { return c.served }

// Stats returns what this host has under way, and the results at targets that
// failed here or at other hosts.
func (t *Table) Stats(now time.Time) []TargetStats {
	var list []TargetStats
	for id, s := range t.targets {
		failed, served := int(s.failed.Sum(now)), int(s.served.Sum(now))
		if s.running > 0 || failed > 0 || served > 0 && now.Sub(s.blamedAt) < failureMemory {
			list = append(list, NewTargetStats(id, s.running, failed, served))
		}
	}
	return list
}

// observeAge is the age of a target's own report from which the counts of
// other hosts are more recent.
const observeAge = 300 * time.Millisecond

// ApplyRemoteStats takes over what other hosts have under way and how their sends ended.
func (t *Table) ApplyRemoteStats(now time.Time, counts []TargetStats) {
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
