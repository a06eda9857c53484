package spread

import (
	"maps"
	"time"

	"rhubarbrack/ident"
)

// leavingMemory is how long a process that is not listed is known to be leaving. It is
// longer than such a process goes on serving, and than a host that has lost contact
// takes to get the list of targets.
const leavingMemory = 30 * time.Second

// process is a process of a target: of those with the same ID, that which started at
// a time, in Unix milliseconds.
type process struct {
	id        ident.Target
	startedAt int64
}

func (t Target) process() process { return process{id: t.id, startedAt: t.startedAt} }

// leavers holds since when processes that are not listed have been leaving. A target
// may say so in an answer through another host before it is listed here, and a list may
// lack it for a while.
type leavers map[process]time.Time

// add records that a process has been leaving since the given time, unless it is known
// to have been so for longer. It forgets those that were added long before. A process
// without a start cannot be told from the next one with its ID, and is not kept.
func (l leavers) add(p process, since time.Time) {
	if p.startedAt == 0 {
		return
	}
	maps.DeleteFunc(l, func(_ process, at time.Time) bool { return since.Sub(at) >= leavingMemory })
	if at, ok := l[p]; !ok || since.Before(at) {
		l[p] = since
	}
}

// observeUnlisted records what a process stated that is not listed. Only that it is
// leaving matters once it is listed: rate limits and pauses are stated again.
func (t *Table) observeUnlisted(now time.Time, p process, statement Statement) {
	if statement.leaving {
		t.leavers.add(p, now)
	}
}

// rememberLeaving keeps what is known of a process that is no longer listed: that it is
// leaving, if it is.
func (t *Table) rememberLeaving(s *targetState) {
	if s.isLeaving() {
		t.leavers.add(s.process(), s.leavingSince)
	}
}
