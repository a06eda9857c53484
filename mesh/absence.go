package mesh

import (
	"time"

	"rhubarbrack/ctrl"
)

// absenceTime is how long a control host knows no leader before it assumes that
// others have one. It is longer than an election usually takes.
const absenceTime = time.Second

// leaderAbsence tracks since when a control host has known no leader.
type leaderAbsence struct {
	since    time.Time
	reported bool
}

// update records whether a leader is known and reports whether none has been for
// absenceTime.
func (a *leaderAbsence) update(now time.Time, isLeaderKnown bool) bool {
	if isLeaderKnown {
		*a = leaderAbsence{}
		return false
	}
	if a.since.IsZero() {
		a.since = now
	}
	return now.Sub(a.since) >= absenceTime
}

// logAbsence logs that this host knows no leader, once in each absence.
func (c *Control) logAbsence(a *leaderAbsence, status ctrl.Status, isVoter bool) {
	if a.reported {
		return
	}
	a.reported = true
	c.log.Warn("mesh: no leader known", "host", c.host, "voter", isVoter, "members", len(status.Members()),
		"term", status.Term(), "revision", status.LastRevision())
}
