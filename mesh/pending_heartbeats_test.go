package mesh

import (
	"log/slog"
	"testing"
	"time"

	"rhubarbrack/clock"
)

// TestPendingHeartbeats guards against a change that is announced only with the
// reply after the next because the reply on its way is slow, and against
// heartbeats that pile up.
func TestPendingHeartbeats(t *testing.T) {
	start := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	cases := []struct {
		name string
		// pending holds how long ago the heartbeats without a reply were sent.
		pending []time.Duration
		want    bool
	}{
		{"none", nil, true},
		{"one of the last interval", []time.Duration{heartbeatInterval}, true},
		{"one sent just now", []time.Duration{startupInterval}, false},
		{"several", []time.Duration{3 * heartbeatInterval, 2 * heartbeatInterval, heartbeatInterval}, true},
		{"as many as may be", []time.Duration{
			5 * heartbeatInterval, 4 * heartbeatInterval, 3 * heartbeatInterval, 2 * heartbeatInterval, heartbeatInterval,
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &peer{}
			for _, age := range c.pending {
				p.pending = append(p.pending, start.Add(-age))
			}
			if got := p.isDue(start); got != c.want {
				t.Errorf("due: %t, want %t", got, c.want)
			}
		})
	}
}

// TestOlderReply guards against a reply that arrives after one to a later
// heartbeat and takes back what that has told.
func TestOlderReply(t *testing.T) {
	start := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	cases := []struct {
		name string
		// sent holds when the heartbeats were sent whose replies arrive in turn.
		sent []time.Duration
		want int
	}{
		{"in order", []time.Duration{0, heartbeatInterval}, 20},
		{"in the opposite order", []time.Duration{heartbeatInterval, 0}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			manual := clock.NewManual(start.Add(time.Second))
			l := newTestListener()
			p := &peer{}
			task := &controlClientTask{
				clock: manual, log: slog.New(slog.DiscardHandler), meter: noMeter{}, inbound: noInbound{}, linkDelay: noLinkDelay{}, listener: l,
				peers: map[string]*peer{"a": p}, fetcher: spawn(t, receiver(func(any) {})),
			}
			for i, d := range c.sent {
				p.pending = append(p.pending, start.Add(d))
				task.heartbeatDone(heartbeatDone{peer: p, sent: start.Add(d), record: HeartbeatReplyRecord{Hosts: 10 * (i + 1)}})
			}
			if p.hostCount != c.want || len(p.pending) != 0 {
				t.Errorf("%d hosts, want %d; %d heartbeats without a reply", p.hostCount, c.want, len(p.pending))
			}
		})
	}
}
