package tasks

import (
	"context"
	"log/slog"
)

// levelHandler drops records below a level. The actor library logs starts and
// stops of its actors at the info level.
type levelHandler struct {
	slog.Handler
	minLevel slog.Level
}

var _ slog.Handler = levelHandler{}

func (h levelHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= h.minLevel && h.Handler.Enabled(ctx, level)
}
