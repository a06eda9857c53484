package link

import (
	"testing"
	"time"
)

// TestDialTimeout guards against targets that count as unreachable because the
// link of the host itself is full, and against waits for a target that is down
// that leave no time for another one.
func TestDialTimeout(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration
		want  time.Duration
	}{
		{"link is free", 0, minDialTimeout},
		{"link is full", 700 * time.Millisecond, minDialTimeout + 700*time.Millisecond},
		{"longer than is of use", time.Minute, minDialTimeout + maxLinkDelay},
		{"clock of a heartbeat went backward", -time.Second, minDialTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &Pool{}
			p.SetLinkDelay(c.delay)
			if got := p.dialTimeout(); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
