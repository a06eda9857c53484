package load

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// sampleSize bounds the number of values in a histogram. Percentiles of up to
// this many values are exact.
const sampleSize = 1 << 17

// outcome is the result of a request as the caller sees it.
type outcome int

const (
	ran outcome = iota + 1
	refused
	unknown
	unsent
	skipped
)

// requestResult describes one completed or skipped request.
type requestResult struct {
	direct  bool
	team    ident.Team
	class   ident.Class
	outcome outcome
	status  int
	reason  string
	// conformity is set only for refusals by rate.
	conformity conformity
	resends    int
	// lateness is the time from the scheduled arrival to the first attempt.
	lateness time.Duration
	// latency is the time from the scheduled arrival to the result.
	latency time.Duration
}

// reportRequest requests a report of the results so far.
type reportRequest struct{ reply tasks.Reply[Report] }

// groupStats holds the statistics of one team, one class or the direct calls.
type groupStats struct {
	sent, ran, failed, unknown, unsent, skipped, wrongful, disputed, resends int
	refused                                                                  map[string]int
	latency, lateness                                                        metrics.Histogram
}

func newGroupStats() *groupStats {
	return &groupStats{
		refused:  make(map[string]int),
		latency:  metrics.NewHistogram(metrics.NewUniformSample(sampleSize)),
		lateness: metrics.NewHistogram(metrics.NewUniformSample(sampleSize)),
	}
}

func (s *groupStats) add(result requestResult) {
	if result.outcome == skipped {
		s.skipped++
		return
	}
	s.sent++
	s.resends += result.resends
	s.lateness.Update(int64(result.lateness))
	switch result.outcome {
	case ran:
		s.ran++
		s.latency.Update(int64(result.latency))
		if result.status >= 500 {
			s.failed++
		}
	case refused:
		s.refused[valueOr(result.reason, "none")]++
		s.countRefusal(result)
	case unknown:
		s.unknown++
	case unsent:
		s.unsent++
	}
}

// countRefusal counts a refusal by rate that the team did not cause, or may not
// have caused, by exceeding its rate.
func (s *groupStats) countRefusal(result requestResult) {
	switch result.conformity {
	case conforms:
		s.wrongful++
	case disputed:
		s.disputed++
	}
}

// statsCollector is the task that owns the statistics of a run.
type statsCollector struct {
	teams   map[ident.Team]*groupStats
	classes map[ident.Class]*groupStats
	direct  *groupStats
}

var _ tasks.Task = (*statsCollector)(nil)

func newStatsCollector(p Plan) *statsCollector {
	c := &statsCollector{teams: make(map[ident.Team]*groupStats), classes: make(map[ident.Class]*groupStats)}
	for _, team := range p.teams {
		c.teams[team.name] = newGroupStats()
		for _, r := range team.routes {
			if c.classes[r.class] == nil {
				c.classes[r.class] = newGroupStats()
			}
		}
	}
	if len(p.directAddresses) > 0 {
		c.direct = newGroupStats()
	}
	return c
}

// Handle implements tasks.Task.
func (c *statsCollector) Handle(message any) {
	switch m := message.(type) {
	case requestResult:
		if m.direct {
			c.direct.add(m)
			return
		}
		c.teams[m.team].add(m)
		c.classes[m.class].add(m)
	case reportRequest:
		m.reply.Send(c.report())
	}
}
