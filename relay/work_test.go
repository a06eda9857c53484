package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestCallerGoneAtDecision guards against a request that is sent to a target after
// its caller has gone, and against one that stays counted after its end.
func TestCallerGoneAtDecision(t *testing.T) {
	cases := []struct {
		name      string
		cancelled bool
		arrivals  int
		status    int
	}{
		{"caller waits", false, 1, http.StatusOK},
		{"caller has gone", true, 0, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, func(_ int, r *http.Request) string { return targetResponse(r, 200, "ok") })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.cancelled {
				cancel()
			}
			r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://h/safe/1", nil)
			r.Header.Set("Id", "id")
			r.Header.Set("Key", "key")
			w := httptest.NewRecorder()
			h.handler.ServeHTTP(w, r)
			if w.Code != c.status {
				t.Errorf("status %d, want %d", w.Code, c.status)
			}
			if got := len(h.target.list()); got != c.arrivals {
				t.Errorf("%d requests have reached a target, want %d", got, c.arrivals)
			}
			work, err := h.handler.admission.Work(t.Context())
			if err != nil || work.Requests() != 0 {
				t.Errorf("%d requests are counted, error %v", work.Requests(), err)
			}
			stats, err := h.handler.admission.TargetStats(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range stats {
				if s.InFlight() != 0 {
					t.Errorf("%d requests are in flight at %s", s.InFlight(), s.Target())
				}
			}
		})
	}
}
