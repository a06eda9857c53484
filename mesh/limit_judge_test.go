package mesh

import (
	"math"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

const (
	// limitBindsAfter is how long after its first statement, or after a change, a
	// limit binds, and limitSpan the span in which requests are counted. A target
	// may get limitOverage times its limit, and limitSlack requests.
	limitBindsAfter = 3 * time.Second
	limitSpan       = 4 * time.Second
	limitOverage    = 1.5
	limitSlack      = 5
)

// limitTarget is a target that states a rate limit.
type limitTarget struct {
	id        ident.Target
	limit     spread.RateLimit
	changedAt time.Time
	// arrivals holds the times of the requests that it got.
	arrivals []time.Time
	// stated holds all limits, in the order of the changes.
	stated []statedLimit
}

type statedLimit struct {
	at    time.Time
	limit spread.RateLimit
}

func newLimitTarget(id ident.Target, now time.Time) *limitTarget {
	return &limitTarget{id: id, stated: []statedLimit{{at: now}}}
}

func (l *limitTarget) setLimit(now time.Time, limit spread.RateLimit) {
	l.limit, l.changedAt = limit, now
	l.stated = append(l.stated, statedLimit{at: now, limit: limit})
}

// arrive records a request.
func (l *limitTarget) arrive(now time.Time) { l.arrivals = append(l.arrivals, now) }

// inSpan returns the largest number of requests that a target got in a span that
// began after its limit was binding, and the number that it may get.
func (l *limitTarget) inSpan() (got, allowed int) {
	rate, _ := l.limit.Rate()
	return l.most(l.changedAt.Add(limitBindsAfter)), int(limitOverage*rate*limitSpan.Seconds()) + limitSlack
}

// most returns the largest number of requests in a span that began at the given
// time or later.
func (l *limitTarget) most(from time.Time) int {
	most := 0
	for i, first := range l.arrivals {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range l.arrivals[i:] {
			if at.Sub(first) < limitSpan {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// binding returns the largest limit, in requests per second, that the target
// stated within limitBindsAfter before the given time: one that was lowered or
// first stated later does not bind yet.
func (l *limitTarget) binding(at time.Time) float64 {
	largest := 0.0
	for i, s := range l.stated {
		if s.at.After(at) || i+1 < len(l.stated) && at.Sub(l.stated[i+1].at) >= limitBindsAfter {
			continue
		}
		rate, isLimited := s.limit.Rate()
		if !isLimited {
			return math.Inf(1)
		}
		largest = max(largest, rate)
	}
	return largest
}

// excess returns by how many requests a span of limitSpan exceeds the limits that
// were binding during it at most, or 0.
func (l *limitTarget) excess(start, end time.Time) float64 {
	steps, span := int(end.Sub(start)/limitStep), int(limitSpan/limitStep)
	got := make([]int, steps+1)
	for _, at := range l.arrivals {
		got[min(steps, int(at.Sub(start)/limitStep))]++
	}
	worst, inSpan, allowed, unlimited := 0.0, 0, 0.0, 0
	rates := make([]float64, steps+1)
	for i := range rates {
		rates[i] = l.binding(start.Add(time.Duration(i) * limitStep))
		inSpan += got[i]
		if math.IsInf(rates[i], 1) {
			unlimited++
		} else {
			allowed += rates[i] * limitStep.Seconds()
		}
		if left := i - span; left >= 0 {
			inSpan -= got[left]
			if math.IsInf(rates[left], 1) {
				unlimited--
			} else {
				allowed -= rates[left] * limitStep.Seconds()
			}
		}
		if unlimited == 0 {
			worst = max(worst, float64(inSpan)-limitOverage*allowed-limitSlack)
		}
	}
	return worst
}
