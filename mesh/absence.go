package mesh

import (
	"time"

	"rhubarbrack/ctrl"
)

// absenceTime is how long a control host knows no leader before this is logged.
// It is longer than an election usually takes.
const absenceTime = time.Second

// leaderAbsence tracks since when a control host has known no leader.
type leaderAbsence struct {
	since    time.Time
	reported bool
}

// update records whether a leader is known and returns how long none has been.
func (a *leaderAbsence) update(now time.Time, isLeaderKnown bool) time.Duration {
	if isLeaderKnown {
		*a = leaderAbsence{}
		return 0
	}
	if a.since.IsZero() {
		a.since = now
	}
	return now.Sub(a.since)
}

// logAbsence logs once that this host has known no leader for a while.
func (c *Control) logAbsence(a *leaderAbsence, status ctrl.Status, isVoter bool) {
	d := a.update(c.clock.Now(), status.Leader() != "")
	if d < absenceTime || a.reported {
		return
	}
	a.reported = true
	c.log.Warn("mesh: no leader known", "host", c.host, "voter", isVoter, "members", len(status.Members()),
		"term", status.Term(), "revision", status.LastRevision())
}
