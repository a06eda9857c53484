package clock

import "time"

// Clock tells the time and creates timers. Times from Now have a monotonic
// reading, so differences between them are not affected by changes of the
// system clock.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// NewTimer returns a timer that fires once after d. A timer with d <= 0
	// fires at once.
	NewTimer(d time.Duration) Timer
}

// Timer is a single pending event.
type Timer interface {
	// C returns the channel on which the time of the event is delivered.
	C() <-chan time.Time
	// Stop cancels the timer and reports whether it was still pending.
	Stop() bool
}

// Wall returns the system clock.
func Wall() Clock { return wall{} }

type wall struct{}

var _ Clock = wall{}

func (wall) Now() time.Time { return time.Now() }

func (wall) NewTimer(d time.Duration) Timer { return wallTimer{timer: time.NewTimer(d)} }

type wallTimer struct {
	timer *time.Timer
}

func (t wallTimer) C() <-chan time.Time { return t.timer.C }
func (t wallTimer) Stop() bool          { return t.timer.Stop() }
