package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends. It reports whether ctx has not ended.
func Sleep(ctx context.Context, c Clock, d time.Duration) bool {
	t := c.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
