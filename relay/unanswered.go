package relay

import (
	"context"
	"log/slog"
	"net/http"
)

// RecordUnanswered implements FrontHandler.
func (h *Handler) RecordUnanswered(r *http.Request, cause UnansweredCause) {
	h.meter.Count("unanswered-"+string(cause), "", "", 1)
	level := slog.LevelWarn
	if cause == CallerLeft {
		level = slog.LevelInfo
	}
	fields := []any{"cause", string(cause)}
	if r != nil {
		fields = append(fields, "request", h.dialect.DecodeRequest(r).ID())
	}
	h.log.Log(context.Background(), level, "relay: request unanswered", fields...)
}
