package state

import (
	"time"

	"rhubarbrack/ident"
)

// maxSuspects bounds the number of suspects. When it is reached, MarkSuspect
// is refused; the host that observed the crash still does not retry the
// request.
const maxSuspects = 10_000

// MarkSuspect records a request that crashed targets.
type MarkSuspect struct {
	sharedBase
	fingerprint ident.Fingerprint
	crashes     int
	until       time.Time
}

var _ configCommand = MarkSuspect{}

// NewMarkSuspect returns a command that records the number of targets that a
// request crashed and the time at which the record expires. Applying it to a
// record in force never decreases the count or the expiry time.
func NewMarkSuspect(fingerprint ident.Fingerprint, crashes int, until time.Time) MarkSuspect {
	return MarkSuspect{fingerprint: fingerprint, crashes: crashes, until: canonicalTime(until)}
}

// Kind returns "mark-suspect".
func (m MarkSuspect) Kind() string { return "mark-suspect" }

// Fingerprint returns the digest of the request.
func (m MarkSuspect) Fingerprint() ident.Fingerprint { return m.fingerprint }

// Crashes returns the number of crashed targets.
func (m MarkSuspect) Crashes() int { return m.crashes }

// Until returns the time at which the record expires.
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
	next.suspects = pruneSuspects(c.suspects, m.at)
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

// pruneSuspects returns the suspects without the expired ones.
func pruneSuspects(suspects tree[string, Suspect], at time.Time) tree[string, Suspect] {
	out := suspects
	suspects.each(func(key string, s Suspect) bool {
		if !s.until.After(at) {
			out = out.remove(key)
		}
		return true
	})
	return out
}
