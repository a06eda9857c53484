package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

const (
	// pauseTickInterval is the interval at which a host checks that it runs.
	pauseTickInterval = 100 * time.Millisecond
	// minPause is the shortest time without a check that counts as a pause.
	minPause = 500 * time.Millisecond
	// recoveryTime is how long after a pause callers may still count as present
	// that left during it. If the whole machine stood still, the kernels of these
	// callers send the end of their connections again, in growing intervals.
	recoveryTime = 2 * time.Second
)

type (
	pauseTick struct{}
	// getRecovering asks whether the host has just gone on after a pause.
	getRecovering struct{ reply tasks.Reply[bool] }
)

// pauseDetector is the task that notices when this host has stood still: the
// process was stopped, or the machine suspended. It compares the time of day too,
// because the monotonic clock does not count the time of a suspended machine.
type pauseDetector struct {
	clock     clock.Clock
	log       *slog.Logger
	checkedAt time.Time
	resumedAt time.Time
}

var _ tasks.Task = (*pauseDetector)(nil)

func startPauseDetector(ctx context.Context, system *tasks.System, c clock.Clock, log *slog.Logger) (*tasks.Ref, error) {
	ref, err := tasks.Spawn(ctx, system, "mesh-pauses", &pauseDetector{clock: c, log: log, checkedAt: c.Now()})
	if err != nil {
		return nil, fmt.Errorf("start pause detector: %w", err)
	}
	tasks.Every(ctx, c, pauseTickInterval, ref, pauseTick{})
	return ref, nil
}

// Handle implements tasks.Task.
func (d *pauseDetector) Handle(message any) {
	now := d.clock.Now()
	d.check(now)
	if m, ok := message.(getRecovering); ok {
		m.reply.Send(!d.resumedAt.IsZero() && now.Sub(d.resumedAt) < recoveryTime)
	}
}

// check records a pause if there was none of the checks that were due.
func (d *pauseDetector) check(now time.Time) {
	// Round strips the monotonic reading.
	pause := max(now.Sub(d.checkedAt), now.Round(0).Sub(d.checkedAt.Round(0)))
	if pause >= minPause {
		d.resumedAt = now
		d.log.Warn("mesh: host stood still", "pause-ms", pause.Milliseconds())
	}
	d.checkedAt = now
}
