package quota

import (
	"time"

	"rhubarbrack/ident"
)

// Teams holds the requests of each team to its rate. It is not safe for
// concurrent use.
type Teams struct {
	span    time.Duration
	windows map[ident.Team]*Window
}

// NewTeams returns a counter of the requests of all teams in a sliding window
// of the given span.
func NewTeams(span time.Duration) *Teams {
	return &Teams{span: span, windows: map[ident.Team]*Window{}}
}

// Take counts a request of a team with the given rate in requests per second
// and burst, of which this host enforces a share. Without room it counts
// nothing and returns how long it takes until there is some.
func (t *Teams) Take(now time.Time, team ident.Team, rate, burst, share float64) (time.Duration, bool) {
	if rate <= 0 {
		return 0, true
	}
	w, ok := t.windows[team]
	if !ok {
		w = NewWindow(t.span)
		t.windows[team] = w
	}
	limit := (rate*t.span.Seconds() + burst) * share
	if w.Sum(now)+1 > limit {
		return w.RoomAfter(now, limit-1), false
	}
	w.Add(now, 1)
	return 0, true
}

// Used returns the requests of a team in the window that ends now.
func (t *Teams) Used(now time.Time, team ident.Team) float64 {
	w, ok := t.windows[team]
	if !ok {
		return 0
	}
	return w.Sum(now)
}

// Retain forgets the teams for which keep returns false.
func (t *Teams) Retain(keep func(ident.Team) bool) {
	for team := range t.windows {
		if !keep(team) {
			delete(t.windows, team)
		}
	}
}
