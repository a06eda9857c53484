package quota

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// Standing is the part of every limit that the hosts share equally and without
// any contact. The rest is lent by demand, see Lender.
const Standing = 0.5

// Teams holds the requests of each team on one host to the host's share of
// the team's rate. It is not safe for concurrent use.
type Teams struct {
	span  time.Duration
	teams map[ident.Team]*team
}

// team counts the requests of a team.
type team struct {
	limit    float64
	asked    *Window
	admitted *Window
	lent     float64
	until    time.Time
}

// NewTeams returns a counter of the requests of all teams in a sliding window
// of the given span.
func NewTeams(span time.Duration) *Teams {
	return &Teams{span: span, teams: map[ident.Team]*team{}}
}

// Take counts a request of a team with the given rate in requests per second
// and burst, on one of the given number of hosts. Without room it returns how
// long it takes until there is some.
func (t *Teams) Take(now time.Time, name ident.Team, rate, burst float64, hosts int) (time.Duration, bool) {
	if rate <= 0 {
		return 0, true
	}
	e, ok := t.teams[name]
	if !ok {
		e = &team{asked: NewWindow(t.span), admitted: NewWindow(t.span)}
		t.teams[name] = e
	}
	e.limit = rate*t.span.Seconds() + burst
	e.asked.Add(now, 1)
	share := Standing/float64(max(hosts, 1)) + e.held(now)
	if most := e.limit * share; e.admitted.Sum(now)+1 > most {
		return e.admitted.RoomAfter(now, most-1), false
	}
	e.admitted.Add(now, 1)
	return 0, true
}

// held returns the share that is lent to this host.
func (e *team) held(now time.Time) float64 {
	if now.Before(e.until) {
		return e.lent
	}
	return 0
}

// Lend takes over the shares that were lent until the given time.
func (t *Teams) Lend(shares []Share, until time.Time) {
	for _, s := range shares {
		if e, ok := t.teams[s.team]; ok {
			e.lent, e.until = s.share, until
		}
	}
}

// Needs reports the demand of all teams that have been active lately.
func (t *Teams) Needs(now time.Time) []Need {
	var list []Need
	for name, e := range t.teams {
		asked, held := e.asked.Sum(now), e.held(now)
		if e.limit <= 0 || asked == 0 && held == 0 {
			continue
		}
		list = append(list, NewNeed(name, asked/e.limit, e.admitted.Sum(now)/e.limit, held))
	}
	slices.SortFunc(list, func(a, b Need) int { return cmp.Compare(a.team, b.team) })
	return list
}

// Retain forgets the teams for which keep returns false.
func (t *Teams) Retain(keep func(ident.Team) bool) {
	for name := range t.teams {
		if !keep(name) {
			delete(t.teams, name)
		}
	}
}
