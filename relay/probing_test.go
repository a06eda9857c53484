package relay

import (
	"testing"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// TestStatementInProbe guards against requests to a target that has said in the
// answer to a health check that it leaves or wants a pause.
func TestStatementInProbe(t *testing.T) {
	cases := []struct {
		name      string
		statement spread.Statement
		found     bool
	}{
		{"nothing stated", spread.NewStatement(), true},
		{"pause", spread.NewStatement(spread.WithPause(time.Hour)), false},
		{"leaving", spread.NewStatement(spread.WithLeaving()), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHostAt(t, "127.0.0.1:1")
			target := spread.NewTarget("t1", "s", "127.0.0.1:1", "z", "r", 4, false, time.Time{})
			h.handler.admission.SetTargets([]spread.Target{target})
			h.handler.admission.ref.Tell(probeDone{target: target, statement: ident.Some(c.statement)})
			request := admit.NewRequest("id", "h", "/safe/1", "key", "o", time.Second)
			d, err := tasks.Ask(t.Context(), h.handler.admission.ref, func(reply tasks.Reply[admit.Decision]) any {
				return admitRequest{request: request, reply: reply}
			})
			if err != nil {
				t.Fatal(err)
			}
			if d.Choice().IsFound() != c.found {
				t.Errorf("found %v, want %v", d.Choice().IsFound(), c.found)
			}
		})
	}
}
