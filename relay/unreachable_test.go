package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// TestDeadlineWhileConnecting guards against a target that counts as unreachable
// because the deadline of a request came while its connection was being opened.
func TestDeadlineWhileConnecting(t *testing.T) {
	h := newTestHostAt(t, "127.0.0.1:1")
	request := admit.NewRequest("id", "h", "/safe/1", "key", "o", time.Second)
	d, err := tasks.Ask(t.Context(), h.handler.admission.ref, func(reply tasks.Reply[admit.Decision]) any {
		return admitRequest{request: request, reply: reply}
	})
	if err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	rh := &requestHandler{
		handler: h.handler, writer: httptest.NewRecorder(), incoming: httptest.NewRequest(http.MethodGet, "/safe/1", nil),
		request: request, ctx: ended,
	}
	rh.attempt(d)
	stats, err := h.handler.admission.TargetStats(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range stats {
		if s.Failed() > 0 {
			t.Errorf("%d failures of %s", s.Failed(), s.Target())
		}
	}
}

// TestLongBodyAfterUnreachableTarget guards against refusing a request with a long
// body although nothing of it was sent to the target that could not be reached.
func TestLongBodyAfterUnreachableTarget(t *testing.T) {
	body := strings.Repeat("x", 3*bufferedBodyBytes)
	// One of the two is the preferred target of the object.
	for _, unreachable := range []ident.Target{"t1", "t2"} {
		h := newTestHost(t, func(_ int, r *http.Request) string { return targetResponse(r, 200, "ok") })
		good := h.targetAddress
		var list []spread.Target
		for _, id := range []ident.Target{"t1", "t2"} {
			address := good
			if id == unreachable {
				address = "127.0.0.1:1"
			}
			list = append(list, spread.NewTarget(id, "s", address, "z", "r", 4, false, time.Time{}))
		}
		h.handler.admission.SetTargets(list)
		r, _, err := h.call(t, newClient(t), http.MethodPost, "/once/1", "key", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		arrivals := h.target.list()
		if r.StatusCode != http.StatusOK || len(arrivals) != 1 || arrivals[0].body != body {
			t.Errorf("%s unreachable: status %d, %d arrivals", unreachable, r.StatusCode, len(arrivals))
		}
	}
}
