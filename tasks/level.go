package tasks

import (
	"context"
	"log/slog"
)

// levelHandler drops records below a level. The actor library logs its own
// starts and stops at the info level.
type levelHandler struct {
	slog.Handler
	least slog.Level
}

var _ slog.Handler = levelHandler{}

func (h levelHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= h.least && h.Handler.Enabled(ctx, level)
}
