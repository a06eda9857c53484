package spread

import (
	"testing"
	"time"

	"rhubarbrack/ident"
)

// TestColdTarget guards against exceeding this host's share of the requests
// that a cold target tolerates.
func TestColdTarget(t *testing.T) {
	table := NewTable("a-1", "a", NewColdBounds(1.5, 5))
	table.SetColdTerms("s", 10, 3*time.Second)
	table.SetShare(0.25)
	table.Update([]Target{
		NewTarget("cold", "s", "cold:80", "a-1", "a", 100, false, start.Add(10*time.Second)),
	})
	// The bound of all hosts is 10 x 1.5 + 5 per second; a quarter is 5.
	const most = 5
	sent := 0
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if table.Choose(now, query("x")).IsFound() {
			sent++
		}
	}
	if sent != most {
		t.Errorf("%d requests in a second, want %d", sent, most)
	}
}

// TestOldListEndsNoColdTime guards against a flood of requests to a cold target
// after a list was applied that was read before the target became cold.
func TestOldListEndsNoColdTime(t *testing.T) {
	cases := []struct {
		name   string
		become func(*Table)
	}{
		{"its zone was evacuated", func(t *Table) {
			t.SetEvacuated(start.Add(-time.Minute), []ident.Zone{"a-1"})
			t.SetEvacuated(start, nil)
		}},
		{"it says so", func(t *Table) { t.MarkCold(start, "cold", 3*time.Second) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable("a-1", "a", NewColdBounds(1.5, 5))
			table.SetColdTerms("s", 10, 3*time.Second)
			table.SetShare(0.01)
			list := []Target{NewTarget("cold", "s", "cold:80", "a-1", "a", 100, false, time.Time{})}
			table.Update(list)
			c.become(table)
			if table.Choose(start.Add(time.Second), query("x")).IsFound() {
				t.Error("a cold target got a request")
			}
			table.Update(list)
			if table.Choose(start.Add(time.Second), query("x")).IsFound() {
				t.Error("a cold target got a request after an old list was applied")
			}
			if !table.Choose(start.Add(4*time.Second), query("x")).IsFound() {
				t.Error("the target got no request when it was warm again")
			}
		})
	}
}
