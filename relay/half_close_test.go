package relay

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
)

// TestHalfClose guards against work that goes on for a caller whose sending half
// is closed, which cannot be told from one that has left, and against ending it
// without a record. The target holds its response until the test ends.
func TestHalfClose(t *testing.T) {
	cases := []struct{ name, sent string }{
		{"GET", get("/long/", "a")},
		{"POST", post("a")},
		{"two GETs", get("/long/", "b") + get("/long/", "a")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			arrived := make(chan struct{}, 10)
			_, address := startTestTarget(t, func(_ int, r *http.Request) string {
				arrived <- struct{}{}
				<-t.Context().Done()
				return targetResponse(r, 200, "body of a")
			})
			records := make(logRecords, 100)
			h := newLoggedTestHost(t, address, slog.New(records))
			caller := newPipeliningCaller(t, h)
			caller.send(c.sent)
			<-arrived
			if err := caller.conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, caller.reader); err != nil {
				t.Fatal(err)
			}
			if err := h.front.Shutdown(t.Context()); err != nil {
				t.Fatal(err)
			}
			causes := map[string][]string{}
			for len(records) > 0 {
				if r := <-records; r["msg"] == "relay: request unanswered" {
					causes[r["request"]] = append(causes[r["request"]], r["cause"])
				}
			}
			if !slices.Equal(causes["a"], []string{"caller-left"}) {
				t.Errorf("causes %v in the log, want caller-left once for a", causes)
			}
		})
	}
}

// TestCancelledBeforeDecision guards against a request without an answer whose
// caller closes its sending half as soon as it has sent the request.
func TestCancelledBeforeDecision(t *testing.T) {
	h := newTestHost(t, func(_ int, r *http.Request) string { return targetResponse(r, 200, "ok") })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://h/safe/1", nil)
	r.Header.Set("Key", "key")
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Run") != NotRun.String() {
		t.Errorf("status %d, run %q, want a refusal that says that it has not run", w.Code, w.Header().Get("Run"))
	}
	if arrivals := h.target.list(); len(arrivals) > 0 {
		t.Errorf("arrivals at the target: %v", arrivals)
	}
}
