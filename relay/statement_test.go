package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// TestStatementsOfAnswers guards against targets that are no longer used because
// of an answer that does not speak for them: one that is cut off, an interim one,
// or one to another request.
func TestStatementsOfAnswers(t *testing.T) {
	leaving := func(text string) string { return strings.Replace(text, "Id: ", "Leaving: 1\r\nId: ", 1) }
	cases := []struct {
		name   string
		answer func(r *http.Request) string
		// heeded tells whether the target gets no second request.
		heeded bool
	}{
		{"answer", func(r *http.Request) string { return leaving(targetResponse(r, 200, "ok")) }, true},
		{"failure", func(r *http.Request) string { return leaving(targetResponse(r, 500, "sorry")) }, true},
		{"refusal", func(r *http.Request) string { return leaving(notRun(r)) }, true},
		{"long answer", func(r *http.Request) string {
			return leaving(targetResponse(r, 200, strings.Repeat("y", 3*bufferedResponseBytes)))
		}, true},
		{"cut off", func(r *http.Request) string {
			return "!" + leaving(strings.Replace(targetResponse(r, 200, "ok"), "Length: 2", "Length: 9", 1))
		}, false},
		{"interim answer", func(r *http.Request) string {
			return "HTTP/1.1 103 x\r\nLeaving: 1\r\n\r\n" + targetResponse(r, 200, "ok")
		}, false},
		{"answer to another request", func(r *http.Request) string {
			return "HTTP/1.1 200 x\r\nId: other\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n" + targetResponse(r, 200, "ok")
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, func(n int, r *http.Request) string {
				if n == 1 {
					return c.answer(r)
				}
				return targetResponse(r, 200, "ok")
			})
			client := newClient(t)
			if _, _, err := h.call(t, client, http.MethodPost, "/once/1", "key", strings.NewReader("a")); err != nil {
				t.Fatal(err)
			}
			leavers := 0
			for _, id := range []ident.Target{"t1", "t2"} {
				if h.isLeaving(t, id) {
					leavers++
				}
			}
			if (leavers == 1) != c.heeded || leavers > 1 {
				t.Errorf("%d targets are leaving, heeded: want %v", leavers, c.heeded)
			}
		})
	}
}

// TestStatementOfAnotherProcess guards against taking what another process at the
// address of a target says for a statement of the target. The target gets no
// requests for a while either way, so the results are compared.
func TestStatementOfAnotherProcess(t *testing.T) {
	response := NewResponse("id", true, false, true, ident.None[spread.Load](), ident.None[time.Duration](),
		WithStatement(spread.NewStatement(spread.WithLeaving())))
	for result := spread.Served; result <= spread.Abandoned; result++ {
		speaks := result == spread.Served || result == spread.Failed || result == spread.Full
		if _, ok := response.stated(result).Get(); ok != speaks {
			t.Errorf("%v: statement %v, want %v", result, ok, speaks)
		}
	}
}

// isLeaving reports whether requests for many objects avoid a target.
func (h *testHost) isLeaving(t *testing.T, id ident.Target) bool {
	t.Helper()
	for i := range 30 {
		request := admit.NewRequest("id", "h", "/safe/1", "key", fmt.Sprint(i), time.Second)
		d, err := tasks.Ask(t.Context(), h.handler.admission.ref, func(reply tasks.Reply[admit.Decision]) any {
			return admitRequest{request: request, reply: reply}
		})
		if err != nil {
			t.Fatal(err)
		}
		(&requestHandler{handler: h.handler}).recordResult(d, spread.Abandoned, Response{})
		if d.Choice().Target().ID() == id {
			return false
		}
	}
	return true
}
