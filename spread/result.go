package spread

import (
	"time"

	"rhubarbrack/ident"
)

// Result is the end of one send, as far as it tells about the target.
type Result uint8

const (
	// Served means that the target answered and did its work.
	Served Result = iota + 1
	// Failed means that the target answered with a failure of its own.
	Failed
	// Full means that the target refused without running the request.
	Full
	// Unreached means that no connection to the target came about.
	Unreached
	// Lost means that the connection broke or the answer was unusable.
	Lost
	// Silent means that no answer came in time.
	Silent
	// Foreign means that another process has the address.
	Foreign
	// Abandoned means that the send was given up and tells nothing.
	Abandoned
)

// String returns the name for logs.
func (v Result) String() string {
	names := [...]string{
		"unknown", "served", "failed", "full", "unreached", "lost", "silent", "foreign", "abandoned",
	}
	if int(v) >= len(names) {
		return names[0]
	}
	return names[v]
}

// foreignPause is how long an address that belongs to another process gets
// nothing. The next list names the new process.
const foreignPause = 2 * time.Second

// lostLimit is how many connections may break in a row before a target is
// left alone for a while.
const lostLimit = 2

// RecordResult reports the end of a send. The load is that of the answer, if it had
// one.
func (t *Table) RecordResult(now time.Time, c Choice, v Result, load ident.Option[Load]) {
	s, ok := t.targets[c.target.id]
	if !ok {
		return
	}
	s.end(c.sent)
	if l, ok := load.Get(); ok {
		s.report(now, l)
	}
	switch v {
	case Served:
		s.row, s.answered = 0, now
		s.fail(now, false)
		t.time(now, s, c)
	case Failed:
		s.row, s.answered = 0, now
		s.fail(now, true)
	case Full:
		s.answered = now
		if l, ok := load.Get(); ok && l.InFlight() < s.slots {
			// It refuses although it has room.
			s.fail(now, true)
		} else {
			s.full = now.Add(fullPause)
		}
	case Unreached:
		s.failed.Add(now, 1)
		s.pause(now)
	case Lost:
		s.fail(now, true)
		s.row++
		if s.row >= lostLimit {
			s.pause(now)
		}
	case Silent:
		s.fail(now, true)
		s.fail(now, true)
	case Foreign:
		s.until = now.Add(foreignPause)
	}
}

// time compares the time of an answer with the usual one of the service.
func (t *Table) time(now time.Time, s *state, c Choice) {
	took := now.Sub(c.sent).Seconds()
	usual, ok := t.usual[s.service]
	if !ok {
		t.usual[s.service] = took
		return
	}
	ratio := took / max(usual, 0.001)
	t.usual[s.service] = usual + answerWeight*(min(took, slowBound*usual)-usual)
	if s.slow == 0 {
		s.slow = 1
	}
	s.slow += failureWeight * (min(ratio, slowest) - s.slow)
	s.slowAt = now
}
