package state

import (
	"time"

	"rhubarbrack/ident"
)

// maxSuspects bounds the suspects. Beyond it a mark is refused, and the
// request is not run again by the host that saw the crash.
const maxSuspects = 10_000

// MarkSuspect records that a request crashed targets.
type MarkSuspect struct {
	shared
	fingerprint ident.Fingerprint
	crashes     int
	until       time.Time
}

var _ configCommand = MarkSuspect{}

// NewMarkSuspect returns the command that records the number of targets that a
// request crashed, and the time at which the suspicion ends. Neither the count
// nor the end of a suspicion in force decreases.
func NewMarkSuspect(fingerprint ident.Fingerprint, crashes int, until time.Time) MarkSuspect {
	return MarkSuspect{fingerprint: fingerprint, crashes: crashes, until: clean(until)}
}

// Kind returns "mark-suspect".
func (m MarkSuspect) Kind() string { return "mark-suspect" }

// Fingerprint returns the digest of the request.
func (m MarkSuspect) Fingerprint() ident.Fingerprint { return m.fingerprint }

// Crashes returns the number of crashed targets.
func (m MarkSuspect) Crashes() int { return m.crashes }

// Until returns the end of the suspicion.
func (m MarkSuspect) Until() time.Time { return m.until }

func (m MarkSuspect) stamp(at time.Time) Command { m.at = at; return m }

func (m MarkSuspect) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	if m.crashes < 1 {
		return c, refuse(ReasonInvalid, "crashes: %d: want at least 1", m.crashes)
	}
	if !m.until.After(m.at) {
		return c, refuse(ReasonInvalid, "until: %v is not after %v", m.until, m.at)
	}
	next := *c
	next.suspects = suspectsAt(c.suspects, m.at)
	key := string(m.fingerprint[:])
	old, exists := next.suspects.get(key)
	if !exists && next.suspects.len() >= maxSuspects {
		return c, refuse(ReasonTooMany, "there are %d suspects already", maxSuspects)
	}
	suspect := Suspect{fingerprint: m.fingerprint, crashes: max(m.crashes, old.crashes), until: m.until, revision: revision}
	if old.until.After(m.until) {
		suspect.until = old.until
	}
	next.suspects = next.suspects.set(key, suspect)
	return &next, accept(true)
}

func suspectsAt(suspects tree[string, Suspect], at time.Time) tree[string, Suspect] {
	out := suspects
	suspects.each(func(key string, s Suspect) bool {
		if !s.until.After(at) {
			out = out.remove(key)
		}
		return true
	})
	return out
}
