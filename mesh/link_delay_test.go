package mesh

import (
	"testing"
	"time"
)

// TestShortestDelay guards against a delay of one control host, or an outdated
// one, that counts as that of the host's own link.
func TestShortestDelay(t *testing.T) {
	now := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	const fast, slow = 10 * time.Millisecond, 710 * time.Millisecond
	type replies struct {
		took []time.Duration
		age  time.Duration
	}
	cases := []struct {
		name  string
		peers []replies
		want  time.Duration
	}{
		{"no control host", nil, 0},
		{"first replies", []replies{{took: []time.Duration{fast}}, {took: []time.Duration{slow}}}, 0},
		{"all are slow", []replies{{took: []time.Duration{fast, slow}}, {took: []time.Duration{2 * fast, slow}}}, slow - 2*fast},
		{"one is slow", []replies{{took: []time.Duration{fast, slow}}, {took: []time.Duration{fast, fast}}}, 0},
		{"slow before", []replies{{took: []time.Duration{fast, slow, fast}}}, 0},
		{"the fast one is out of contact", []replies{
			{took: []time.Duration{fast, slow}}, {took: []time.Duration{fast, fast}, age: hostTimeout},
		}, slow - fast},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			task := &controlClientTask{peers: map[string]*peer{}}
			for i, r := range c.peers {
				p := &peer{lastHeard: now.Add(-r.age)}
				for _, d := range r.took {
					p.observeDelay(d)
				}
				task.peers[string(rune('a'+i))] = p
			}
			if got := task.shortestDelay(now); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
