package relay

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
)

// logRecords is a log whose records a test receives.
type logRecords chan map[string]string

var _ slog.Handler = logRecords(nil)

// Enabled implements slog.Handler.
func (logRecords) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l logRecords) Handle(_ context.Context, r slog.Record) error {
	fields := map[string]string{"msg": r.Message}
	r.Attrs(func(a slog.Attr) bool {
		addField(fields, a)
		return true
	})
	l <- fields
	return nil
}

func addField(fields map[string]string, a slog.Attr) {
	if a.Value.Kind() != slog.KindGroup {
		fields[a.Key] = a.Value.String()
		return
	}
	for _, member := range a.Value.Group() {
		addField(fields, member)
	}
}

// WithAttrs implements slog.Handler.
func (l logRecords) WithAttrs([]slog.Attr) slog.Handler { return l }

// WithGroup implements slog.Handler.
func (l logRecords) WithGroup(string) slog.Handler { return l }

// TestConnectionsInLog guards against logs that do not tell over which connection
// an attempt went, and which responses on it were skipped.
func TestConnectionsInLog(t *testing.T) {
	stray := "HTTP/1.1 503 x\r\nId: other\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
	var peers []string
	_, address := startTestTarget(t, func(n int, r *http.Request) string {
		peers = append(peers, r.RemoteAddr)
		if n == 1 {
			return notRun(r)
		}
		return stray + targetResponse(r, 200, "ok")
	})
	records := make(logRecords, 16)
	h := newLoggedTestHost(t, address, slog.New(records))
	if _, _, err := h.call(t, newClient(t), http.MethodPost, "/once/1", "key", strings.NewReader("a")); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		message string
		attempt int
		field   string
		want    string
	}{
		{"relay: attempt failed", 0, "verdict", "full"},
		{"relay: response skipped", 1, "response-to", "other"},
		{"relay: request ended", 1, "outcome", "answered"},
	}
	for _, c := range cases {
		r := <-records
		if r["msg"] != c.message || r[c.field] != c.want || r["connection"] != peers[c.attempt] || r["request"] != "id7" {
			t.Errorf("log record %v, want %q with %s %q and connection %s", r, c.message, c.field, c.want, peers[c.attempt])
		}
	}
}
