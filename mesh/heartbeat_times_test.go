package mesh

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"rhubarbrack/clock"
)

// TestSlowHeartbeat guards against a slow reply that leaves no trace of which way
// was slow, whatever the difference of the clocks, and against a line for each
// ordinary heartbeat.
func TestSlowHeartbeat(t *testing.T) {
	start := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	cases := []struct {
		name    string
		skew    time.Duration
		out, in time.Duration
		// want is a part of the line, or "" if there is none.
		want string
	}{
		{"ordinary", 0, 12 * time.Millisecond, 12 * time.Millisecond, ""},
		{"slow reply", 0, 12 * time.Millisecond, 700 * time.Millisecond, `out-ms=2 in-ms=690`},
		{"slow heartbeat", 0, 500 * time.Millisecond, 10 * time.Millisecond, `out-ms=490 in-ms=0`},
		{"the other clock is ahead", time.Hour, 12 * time.Millisecond, 700 * time.Millisecond, `out-ms=2 in-ms=690`},
		{"the other clock is behind", -time.Hour, 12 * time.Millisecond, 700 * time.Millisecond, `out-ms=2 in-ms=690`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var lines bytes.Buffer
			manual := clock.NewManual(start)
			p := &peer{address: "a"}
			task := &controlClientTask{
				clock: manual, log: slog.New(slog.NewTextHandler(&lines, nil)), meter: noMeter{}, inbound: noInbound{},
				peers: map[string]*peer{"a": p},
			}
			record := func(out, in time.Duration) {
				sent := manual.Now()
				at := sent.Add(out + c.skew).UnixMicro()
				manual.Advance(out + in)
				task.recordHeartbeat(manual.Now(), heartbeatDone{peer: p, sent: sent, record: HeartbeatReplyRecord{At: at}})
			}
			record(10*time.Millisecond, 10*time.Millisecond)
			record(c.out, c.in)
			if got := lines.String(); !strings.Contains(got, c.want) || c.want == "" && got != "" {
				t.Errorf("lines %q, want %q", got, c.want)
			}
		})
	}
}
