package trial

import (
	"slices"
	"time"
)

// Result holds what a trial measured of the requests that arrived while the
// demand was doubled.
type Result struct {
	teams        [len(teamShares)][]time.Duration
	urgent       []time.Duration
	all          []time.Duration
	refused      [len(teamShares)]int
	urgentLost   int
	targetsOver  int
	arrivalsOver int
}

func newResult() *Result { return &Result{} }

func measured(r *request) bool { return r.arrival >= measureFrom && r.arrival < measureTo }

func (s *Result) serve(r *request, now time.Duration) {
	if !measured(r) {
		return
	}
	latency := now - r.arrival
	s.all = append(s.all, latency)
	if r.urgent {
		s.urgent = append(s.urgent, latency)
		return
	}
	s.teams[r.team] = append(s.teams[r.team], latency)
}

// refuse counts a request that got no slot or passed its deadline.
func (s *Result) refuse(r *request) {
	if !measured(r) {
		return
	}
	if r.urgent {
		s.urgentLost++
		return
	}
	s.refused[r.team]++
}

func (s *Result) finish(machines []*machine) {
	for _, m := range machines {
		if m.over > 0 {
			s.targetsOver++
			s.arrivalsOver += m.over
		}
	}
	slices.Sort(s.all)
	slices.Sort(s.urgent)
	for _, t := range s.teams {
		slices.Sort(t)
	}
}

// quantile returns a quantile of sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// Oversubscribed returns how many targets got a request while all their slots
// were in use, and how many such requests there were.
func (s *Result) Oversubscribed() (targets, requests int) { return s.targetsOver, s.arrivalsOver }

// Latency returns a quantile over all requests that were served.
func (s *Result) Latency(q float64) time.Duration { return quantile(s.all, q) }

// UrgentLatency returns a quantile over the urgent requests that were served.
func (s *Result) UrgentLatency(q float64) time.Duration { return quantile(s.urgent, q) }

// TeamP99 returns the p99 of the worst-served and of the median team. The team
// that sends more than its share is left out, and so are urgent requests.
func (s *Result) TeamP99() (worst, median time.Duration) {
	var list []time.Duration
	for i, t := range s.teams {
		if i != noisyTeam {
			list = append(list, quantile(t, 0.99))
		}
	}
	slices.Sort(list)
	return list[len(list)-1], list[len(list)/2]
}

// NoisyP99 returns the p99 of the team that sends more than its share.
func (s *Result) NoisyP99() time.Duration { return quantile(s.teams[noisyTeam], 0.99) }

// LossRates returns the shares of requests without a response: of the teams
// within their shares, of the noisy team, and of the urgent class.
func (s *Result) LossRates() (within, noisy, urgent float64) {
	served, refused := 0, 0
	for i := range s.teams {
		if i != noisyTeam {
			served += len(s.teams[i])
			refused += s.refused[i]
		}
	}
	return share(refused, served), share(s.refused[noisyTeam], len(s.teams[noisyTeam])), share(s.urgentLost, len(s.urgent))
}

func share(part, rest int) float64 {
	if part+rest == 0 {
		return 0
	}
	return float64(part) / float64(part+rest)
}
