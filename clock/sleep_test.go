package clock

import (
	"context"
	"runtime"
	"testing"
	"time"
)

// Guards against a wait that outlasts its context, and against one that is
// reported as complete although the context has ended.
func TestSleep(t *testing.T) {
	cases := []struct {
		name string
		end  func(m *Manual, cancel func())
		want bool
	}{
		{"time passes", func(m *Manual, _ func()) { m.Advance(time.Second) }, true},
		{"context ends", func(_ *Manual, cancel func()) { cancel() }, false},
		{"context ends with the time", func(m *Manual, cancel func()) { cancel(); m.Advance(time.Second) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewManual(time.Unix(1_000_000, 0))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			result := make(chan bool)
			go func() { result <- Sleep(ctx, m, time.Second) }()
			for m.Timers() == 0 {
				runtime.Gosched()
			}
			c.end(m, cancel)
			if got := <-result; got != c.want {
				t.Errorf("Sleep returned %v, want %v", got, c.want)
			}
			if m.Timers() != 0 {
				t.Error("the timer is still pending")
			}
		})
	}
}
