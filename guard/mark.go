package guard

import (
	"time"

	"rhubarbrack/ident"
)

// Mark is what is replicated of a suspect: how many crashes had its
// fingerprint in flight, and until when that counts. A mark with no crashes
// clears the fingerprint.
type Mark struct {
	fingerprint ident.Fingerprint
	crashes     int
	until       time.Time
}

// NewMark returns a mark of a fingerprint.
func NewMark(f ident.Fingerprint, crashes int, until time.Time) Mark {
	return Mark{fingerprint: f, crashes: crashes, until: until}
}

// Fingerprint returns the fingerprint that is marked.
func (m Mark) Fingerprint() ident.Fingerprint { return m.fingerprint }

// Crashes returns the number of crashes with the fingerprint in flight.
func (m Mark) Crashes() int { return m.crashes }

// Until returns the time after which the mark has no effect.
func (m Mark) Until() time.Time { return m.until }

// inForce returns the crashes that count at now.
func (m Mark) inForce(now time.Time) int {
	if !now.Before(m.until) {
		return 0
	}
	return m.crashes
}
