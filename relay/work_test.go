package relay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestCancelledBeforeDecision guards against a request that is sent to a target after
// its caller has gone, and against one that stays counted after its end.
func TestCancelledBeforeDecision(t *testing.T) {
	cases := []struct {
		name      string
		cancelled bool
		arrivals  int
	}{
		{"caller waits", false, 1},
		{"caller has gone", true, 0},
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
			func() {
				defer func() {
					if err, _ := recover().(error); errors.Is(err, http.ErrAbortHandler) != c.cancelled {
						t.Errorf("handler ended by %v", err)
					}
				}()
				h.handler.ServeHTTP(httptest.NewRecorder(), r)
			}()
			if got := len(h.target.list()); got != c.arrivals {
				t.Errorf("%d requests have reached a target, want %d", got, c.arrivals)
			}
			w, err := h.handler.admission.Work(t.Context())
			if err != nil || w.Requests() != 0 {
				t.Errorf("%d requests are counted, error %v", w.Requests(), err)
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
