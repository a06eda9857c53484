package spread

import (
	"math"
	"time"

	"rhubarbrack/ident"
)

// coldWindow is slightly longer than the second for which the bound on cold
// targets applies, because requests arrive with different delays.
const coldWindow = 1200 * time.Millisecond

// ColdBounds bound what all entry hosts together send to a cold target.
type ColdBounds struct {
	factor float64
	slack  float64
}

// NewColdBounds returns bounds: a cold target gets at most its tolerated rate
// times factor, plus slack, in one second.
func NewColdBounds(factor, slack float64) ColdBounds { return ColdBounds{factor: factor, slack: slack} }

// coldTerms holds the requests per second that the cold targets of a service
// tolerate, and how long a target stays cold after it became so.
type coldTerms struct {
	rate     float64
	duration time.Duration
}

// SetColdTerms sets the requests per second that a cold target of a service
// tolerates, and how long one stays cold.
func (t *Table) SetColdTerms(service ident.Service, rate float64, duration time.Duration) {
	t.coldTerms[service] = coldTerms{rate: rate, duration: duration}
}

// MarkCold marks a target as cold for the given time from now.
func (t *Table) MarkCold(now time.Time, id ident.Target, coldFor time.Duration) {
	if s, ok := t.targets[id]; ok {
		s.markedUntil = now.Add(coldFor)
	}
}

// ZoneReturned records that the evacuation of a zone ended at the given time. Its
// targets may have become cold.
func (t *Table) ZoneReturned(zone ident.Zone, at time.Time) {
	t.returnedAt[zone] = laterOf(t.returnedAt[zone], at)
}

// isCold reports whether a target may be cold: by the list, by its own
// statement, or because its zone has just been taken back. The list may have
// been read before the target became cold, so it does not overrule the others.
func (t *Table) isCold(now time.Time, s *targetState) bool {
	return now.Before(s.coldUntil) || now.Before(s.markedUntil) ||
		now.Before(t.returnedAt[s.zone].Add(t.coldTerms[s.service].duration))
}

// admitsCold reports whether this host's share of the bound on a cold target
// has room for a request.
func (t *Table) admitsCold(now time.Time, s *targetState) bool {
	bound := t.coldTerms[s.service].rate*t.coldBounds.factor + t.coldBounds.slack
	return s.coldRequests.Sum(now)+1 <= math.Floor(bound*t.hostShare)
}
