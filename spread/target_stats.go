package spread

import (
	"time"

	"rhubarbrack/ident"
)

// TargetStats holds the in-flight requests of some hosts at a target, and the
// results of their attempts over the last resultWindow.
type TargetStats struct {
	target   ident.Target
	inFlight int
	failed   int
	served   int
	limit    ident.Option[LimitReport]
}

// NewTargetStats returns the stats of a target.
func NewTargetStats(target ident.Target, inFlight, failed, served int) TargetStats {
	return TargetStats{target: target, inFlight: inFlight, failed: failed, served: served}
}

// WithLimit returns the stats with a report on the target's rate limit.
func (s TargetStats) WithLimit(r ident.Option[LimitReport]) TargetStats {
	s.limit = r
	return s
}

// Limit returns the report on the target's rate limit, if there is one.
func (s TargetStats) Limit() ident.Option[LimitReport] { return s.limit }

// Target returns the target.
func (s TargetStats) Target() ident.Target { return s.target }

// InFlight returns the number of in-flight requests.
func (s TargetStats) InFlight() int { return s.inFlight }

// Failed returns the number of failed attempts, with or without a response.
func (s TargetStats) Failed() int { return s.failed }

// Served returns the number of successful attempts.
func (s TargetStats) Served() int { return s.served }

// Stats returns this host's in-flight requests, its results at targets that
// recently failed here or at other hosts, and what it knows of rate limits.
func (t *Table) Stats(now time.Time) []TargetStats {
	var list []TargetStats
	for id, s := range t.targets {
		failed, served := int(s.failed.Sum(now)), int(s.served.Sum(now))
		limit := s.limitReport(now)
		_, hasLimit := limit.Get()
		if hasLimit || s.inFlight > 0 || failed > 0 || served > 0 && now.Sub(s.remoteFailuresAt) < failureDecay {
			list = append(list, NewTargetStats(id, s.inFlight, failed, served).WithLimit(limit))
		}
	}
	return list
}

// maxReportAge is the age beyond which a target's own load report is replaced
// by the stats of other hosts.
const maxReportAge = 300 * time.Millisecond

// ApplyRemoteStats applies the in-flight requests and results of other hosts.
func (t *Table) ApplyRemoteStats(now time.Time, stats []TargetStats) {
	for _, remote := range stats {
		s, ok := t.targets[remote.target]
		if !ok {
			continue
		}
		if now.Sub(s.loadAt) > maxReportAge {
			s.remoteLoad, s.loadAt = float64(remote.inFlight), now
		}
		if remote.failed > 0 {
			s.remoteFailures, s.remoteFailuresAt = float64(remote.failed)/float64(remote.failed+remote.served), now
		}
	}
}
