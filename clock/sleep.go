package clock

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether ctx is still alive. It returns early
// when ctx ends.
func Sleep(ctx context.Context, c Clock, d time.Duration) bool {
	t := c.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
