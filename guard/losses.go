package guard

import (
	"maps"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// endedTime is how long the end of a process is remembered, so that losses which
// are reported later need no check.
const endedTime = 10 * time.Second

// Losses holds the requests whose connection to a target broke, until it is
// known whether the process of the target has ended. Connections break for other
// reasons far more often. Losses is not safe for concurrent use.
type Losses struct {
	waiting map[Process][]Loss
	ended   map[Process]time.Time
}

// Loss is a request whose connection to a target broke at a time.
type Loss struct {
	fingerprint ident.Fingerprint
	at          time.Time
}

// Fingerprint returns the fingerprint of the request.
func (l Loss) Fingerprint() ident.Fingerprint { return l.fingerprint }

// At returns when the connection broke.
func (l Loss) At() time.Time { return l.at }

// NewLosses returns an empty set.
func NewLosses() *Losses {
	return &Losses{waiting: map[Process][]Loss{}, ended: map[Process]time.Time{}}
}

// LossState tells what is known of the process at which a request was lost.
type LossState uint8

const (
	// CheckPending means that a check of the process is under way.
	CheckPending LossState = iota
	// CheckDue means that the caller must check whether the process has ended
	// and pass the result to Checked.
	CheckDue
	// ProcessEnded means that the process is known to have ended.
	ProcessEnded
)

// Record records a request that was lost at a process.
func (l *Losses) Record(now time.Time, f ident.Fingerprint, p Process) LossState {
	maps.DeleteFunc(l.ended, func(_ Process, at time.Time) bool { return now.Sub(at) >= endedTime })
	if _, ok := l.ended[p]; ok {
		return ProcessEnded
	}
	list, pending := l.waiting[p]
	l.waiting[p] = append(list, Loss{fingerprint: f, at: now})
	if pending {
		return CheckPending
	}
	return CheckDue
}

// Checked ends the check of a process. It returns the requests that were lost
// there if the process has ended, and none otherwise.
func (l *Losses) Checked(now time.Time, p Process, hasEnded bool) []Loss {
	list := l.waiting[p]
	delete(l.waiting, p)
	if !hasEnded {
		return nil
	}
	l.ended[p] = now
	return list
}

// Forget drops the losses of a request that a target has responded to since.
func (l *Losses) Forget(f ident.Fingerprint) {
	for p, list := range l.waiting {
		l.waiting[p] = slices.DeleteFunc(list, func(loss Loss) bool { return loss.fingerprint == f })
	}
}

// Waiting returns the fingerprints of the requests whose losses are being checked.
func (l *Losses) Waiting() []ident.Fingerprint {
	var list []ident.Fingerprint
	for _, losses := range l.waiting {
		for _, loss := range losses {
			list = append(list, loss.fingerprint)
		}
	}
	return list
}
