package clock

import (
	"sync"
	"time"
)

// Manual is a clock that moves only by Advance. It is safe for concurrent
// use.
type Manual struct {
	mutex  sync.Mutex
	now    time.Time
	timers []*manualTimer
}

var _ Clock = (*Manual)(nil)

// NewManual returns a clock that is set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time that the clock is set to.
func (m *Manual) Now() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.now
}

// NewTimer returns a timer that fires when the clock has advanced by d.
func (m *Manual) NewTimer(d time.Duration) Timer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t := &manualTimer{clock: m, due: m.now.Add(d), events: make(chan time.Time, 1)}
	if d <= 0 {
		t.events <- m.now
		return t
	}
	m.timers = append(m.timers, t)
	return t
}

// Advance moves the clock forward by d and fires the timers that fall due.
func (m *Manual) Advance(d time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.now = m.now.Add(d)
	pending := m.timers[:0]
	for _, t := range m.timers {
		if t.due.After(m.now) {
			pending = append(pending, t)
			continue
		}
		t.events <- m.now
	}
	m.timers = pending
}

// Timers returns the number of pending timers, which shows a test that a task
// is waiting.
func (m *Manual) Timers() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.timers)
}

type manualTimer struct {
	clock  *Manual
	due    time.Time
	events chan time.Time
}

func (t *manualTimer) C() <-chan time.Time { return t.events }

func (t *manualTimer) Stop() bool {
	t.clock.mutex.Lock()
	defer t.clock.mutex.Unlock()
	for i, p := range t.clock.timers {
		if p == t {
			t.clock.timers = append(t.clock.timers[:i], t.clock.timers[i+1:]...)
			return true
		}
	}
	return false
}
