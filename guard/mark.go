package guard

import (
	"time"

	"rhubarbrack/ident"
)

// Mark is the replicated state of a suspect: how many crashes had its
// fingerprint in flight, and until when the mark is in force. A mark without
// crashes clears the fingerprint.
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

// activeCrashes returns the number of crashes, or 0 if the mark is not in force
// at now.
func (m Mark) activeCrashes(now time.Time) int {
	if !now.Before(m.until) {
		return 0
	}
	return m.crashes
}
