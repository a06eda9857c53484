package load

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// sampleSize is the number of latencies kept for each percentile. Up to it,
// percentiles are exact.
const sampleSize = 1 << 17

// fate is how a request ended for its caller.
type fate int

const (
	ran fate = iota + 1
	refused
	unknown
	unsent
	skipped
)

// ended is the end of one request.
type ended struct {
	direct bool
	team   ident.Team
	class  ident.Class
	fate   fate
	status int
	reason string
	// offered is set for refusals by rate.
	offered conformity
	resends int
	// lateness is the time from the schedule to the first attempt.
	lateness time.Duration
	// latency is the time from the schedule to the end.
	latency time.Duration
}

// askReport asks for the report so far.
type askReport struct{ reply tasks.Reply[Report] }

// sums are the figures of one team, one class or the direct calls.
type sums struct {
	sent, ran, failed, unknown, unsent, skipped, wrongful, disputed, resends int
	refused                                                                  map[string]int
	latency, lateness                                                        metrics.Histogram
}

func newSums() *sums {
	return &sums{
		refused:  make(map[string]int),
		latency:  metrics.NewHistogram(metrics.NewUniformSample(sampleSize)),
		lateness: metrics.NewHistogram(metrics.NewUniformSample(sampleSize)),
	}
}

func (s *sums) add(e ended) {
	if e.fate == skipped {
		s.skipped++
		return
	}
	s.sent++
	s.resends += e.resends
	s.lateness.Update(int64(e.lateness))
	switch e.fate {
	case ran:
		s.ran++
		s.latency.Update(int64(e.latency))
		if e.status >= 500 {
			s.failed++
		}
	case refused:
		s.refused[or(e.reason, "none")]++
		s.judge(e)
	case unknown:
		s.unknown++
	case unsent:
		s.unsent++
	}
}

// judge counts a refusal by rate that the team did not bring about.
func (s *sums) judge(e ended) {
	switch e.offered {
	case conforms:
		s.wrongful++
	case disputed:
		s.disputed++
	}
}

// tally is the task that owns the figures of a run.
type tally struct {
	teams   map[ident.Team]*sums
	classes map[ident.Class]*sums
	direct  *sums
}

var _ tasks.Task = (*tally)(nil)

func newTally(p Plan) *tally {
	t := &tally{teams: make(map[ident.Team]*sums), classes: make(map[ident.Class]*sums)}
	for _, team := range p.teams {
		t.teams[team.name] = newSums()
		for _, r := range team.routes {
			if t.classes[r.class] == nil {
				t.classes[r.class] = newSums()
			}
		}
	}
	if len(p.direct) > 0 {
		t.direct = newSums()
	}
	return t
}

// Handle implements tasks.Task.
func (t *tally) Handle(message any) {
	switch m := message.(type) {
	case ended:
		if m.direct {
			t.direct.add(m)
			return
		}
		t.teams[m.team].add(m)
		t.classes[m.class].add(m)
	case askReport:
		m.reply.Send(t.report())
	}
}
