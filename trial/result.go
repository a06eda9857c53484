package trial

import (
	"slices"
	"time"
)

// Result holds the measurements of a simulation, over the requests that arrived
// while the demand was doubled.
type Result struct {
	teams                 [len(teamShares)][]time.Duration
	urgent                []time.Duration
	all                   []time.Duration
	refused               [len(teamShares)]int
	urgentLost            int
	oversubscribedTargets int
	excessArrivals        int
}

func newResult() *Result { return &Result{} }

// isMeasured reports whether a request arrived in the measured period.
func isMeasured(r *request) bool { return r.arrival >= measureFrom && r.arrival < measureTo }

// serve records the latency of a request that was served.
func (r *Result) serve(req *request, now time.Duration) {
	if !isMeasured(req) {
		return
	}
	latency := now - req.arrival
	r.all = append(r.all, latency)
	if req.urgent {
		r.urgent = append(r.urgent, latency)
		return
	}
	r.teams[req.team] = append(r.teams[req.team], latency)
}

// refuse counts a request that got no slot or reached its deadline.
func (r *Result) refuse(req *request) {
	if !isMeasured(req) {
		return
	}
	if req.urgent {
		r.urgentLost++
		return
	}
	r.refused[req.team]++
}

// finalise counts the oversubscribed targets and sorts the latencies.
func (r *Result) finalise(targets []*targetState) {
	for _, t := range targets {
		if t.oversubscribed > 0 {
			r.oversubscribedTargets++
			r.excessArrivals += t.oversubscribed
		}
	}
	slices.Sort(r.all)
	slices.Sort(r.urgent)
	for _, t := range r.teams {
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

// Oversubscribed returns the number of targets that got a request while all
// their slots were in use, and the number of such requests.
func (r *Result) Oversubscribed() (targets, requests int) {
	return r.oversubscribedTargets, r.excessArrivals
}

// Latency returns a latency quantile of all requests that were served.
func (r *Result) Latency(q float64) time.Duration { return quantile(r.all, q) }

// UrgentLatency returns a latency quantile of the urgent requests that were
// served.
func (r *Result) UrgentLatency(q float64) time.Duration { return quantile(r.urgent, q) }

// TeamP99 returns the p99 latencies of the worst-served and of the median team,
// without the noisy team and without urgent requests.
func (r *Result) TeamP99() (worst, median time.Duration) {
	var list []time.Duration
	for i, t := range r.teams {
		if i != noisyTeam {
			list = append(list, quantile(t, 0.99))
		}
	}
	slices.Sort(list)
	return list[len(list)-1], list[len(list)/2]
}

// NoisyP99 returns the p99 latency of the noisy team.
func (r *Result) NoisyP99() time.Duration { return quantile(r.teams[noisyTeam], 0.99) }

// LossRates returns the fractions of requests without a response: of the teams
// within their shares, of the noisy team, and of the urgent class.
func (r *Result) LossRates() (within, noisy, urgent float64) {
	served, refused := 0, 0
	for i := range r.teams {
		if i != noisyTeam {
			served += len(r.teams[i])
			refused += r.refused[i]
		}
	}
	return fraction(refused, served), fraction(r.refused[noisyTeam], len(r.teams[noisyTeam])), fraction(r.urgentLost, len(r.urgent))
}

func fraction(part, remainder int) float64 {
	if part+remainder == 0 {
		return 0
	}
	return float64(part) / float64(part+remainder)
}
