package spread

import (
	"testing"
	"time"

	"rhubarbrack/ident"
)

// TestRestartUnderTheSameID guards against what is known of a process being
// applied to the next one with the same ID: failures, its load, its cold time
// and the results of requests that were sent to the earlier process.
func TestRestartUnderTheSameID(t *testing.T) {
	process := func(startedAt int64, coldUntil time.Time) []Target {
		return []Target{NewTarget("i", "s", "h:80", "z", "r", 1, false, coldUntil, WithStart(startedAt))}
	}
	table := NewTable("z", "r", NewColdBounds(1.5, 5))
	table.SetColdTerms("s", 10, 3*time.Second)
	table.SetShare(0.01)
	table.Update(process(1, time.Time{}))
	first := table.Choose(start, query("x"))
	table.MarkCold(start, "i", time.Hour)
	if removed := table.Update(process(2, time.Time{})); len(removed) != 1 || removed[0] != "h:80" {
		t.Errorf("addresses of ended processes: %v, want h:80", removed)
	}
	if !table.Choose(start, query("x")).IsFound() {
		t.Error("the next process counts as cold because the earlier one was")
	}
	table.RecordResult(start, first, Lost, ident.None[Load]())
	if s := table.targets["i"]; s.inFlight != 1 || s.losses != 0 {
		t.Errorf("%d requests in flight and %d losses, want 1 and none", s.inFlight, s.losses)
	}
	table.Update(process(3, start.Add(3*time.Second)))
	if table.Choose(start, query("x")).IsFound() {
		t.Error("a process that has just started got a request although it is cold")
	}
}
