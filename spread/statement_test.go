package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// statementTable returns a table with n targets of a service, of which the first
// ones have made a statement.
func statementTable(n, stating int, statement Statement) *Table {
	t := NewTable("z", "r", NewColdBounds(1.5, 5), WithDrainTime(3*time.Second))
	t.Update(statementList(n, 1))
	for i := range stating {
		t.answer(ident.Target(fmt.Sprint(i)), statement)
	}
	return t
}

// answer records an answer of a target with a statement.
func (t *Table) answer(id ident.Target, statement Statement) {
	c := t.assign(start, t.targets[id], Preferred)
	t.RecordResult(start, c, Served, ident.None[Load]())
	t.Observe(start, c, statement)
}

func statementList(n int, startedAt int64) []Target {
	var list []Target
	for i := range n {
		list = append(list, NewTarget(ident.Target(fmt.Sprint(i)), "s", "h:1", "z", "r", 100, false, time.Time{}, WithStart(startedAt)))
	}
	return list
}

// TestLeavingTarget guards against requests to a target that has said that it
// leaves, and against refusing all requests of a service as long as its only
// targets may still be used.
func TestLeavingTarget(t *testing.T) {
	cases := []struct {
		name    string
		leaving int
		after   time.Duration
		// found and left tell whether a target is chosen, and whether it may be
		// one that is leaving.
		found, left bool
	}{
		{"others stay", 2, 0, true, false},
		{"all are leaving", 3, 2 * time.Second, true, true},
		{"all have been leaving for long", 3, 3 * time.Second, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := statementTable(3, c.leaving, NewStatement(WithLeaving()))
			for i := range 50 {
				choice := table.Choose(start.Add(c.after), query(fmt.Sprint(i)))
				if choice.IsFound() != c.found {
					t.Fatalf("found %v, want %v", choice.IsFound(), c.found)
				}
				if choice.IsFound() && choice.state.isLeaving() != c.left {
					t.Fatalf("sent to a target that is leaving: %v, want %v", !c.left, c.left)
				}
			}
			// Another list, also with the same processes, changes nothing.
			table.Update(statementList(3, 1))
			if choice := table.Choose(start.Add(c.after), query("x")); choice.IsFound() != c.found {
				t.Errorf("after another list: found %v, want %v", choice.IsFound(), c.found)
			}
			table.Update(statementList(3, 2))
			if !table.Choose(start.Add(c.after), query("x")).IsFound() {
				t.Error("the next processes get no requests")
			}
		})
	}
}

// TestPausingTarget guards against requests to a target that has asked for a
// pause, and against refusals that tell callers to come back too early.
func TestPausingTarget(t *testing.T) {
	const pause = 2 * time.Second
	cases := []struct {
		name       string
		pausing    int
		after      time.Duration
		found      bool
		retryAfter time.Duration
	}{
		{"others take requests", 2, 0, true, 0},
		{"all pause", 3, 500 * time.Millisecond, false, 1500 * time.Millisecond},
		{"the pauses are over", 3, pause, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := statementTable(3, c.pausing, NewStatement(WithPause(pause)))
			for i := range 50 {
				choice := table.Choose(start.Add(c.after), query(fmt.Sprint(i)))
				if choice.IsFound() != c.found || choice.RetryAfter() != c.retryAfter {
					t.Fatalf("found %v, retry after %v, want %v, %v", choice.IsFound(), choice.RetryAfter(), c.found, c.retryAfter)
				}
				if c.found && choice.state.pauseAskedUntil.After(start.Add(c.after)) {
					t.Fatal("sent to a target that pauses")
				}
			}
		})
	}
}

// TestShorterPause guards against a later answer that ends a pause early: answers
// to requests on their way may come in any order.
func TestShorterPause(t *testing.T) {
	table := statementTable(1, 1, NewStatement(WithPause(2*time.Second)))
	for _, next := range []Statement{NewStatement(WithPause(time.Millisecond)), NewStatement()} {
		table.answer("0", next)
	}
	if table.Choose(start.Add(time.Second), query("x")).IsFound() {
		t.Error("the pause has ended early")
	}
}

// TestLeavingTargetOfOtherHost guards against requests to a target that has said
// in an answer through another host that it leaves, and against leaving out the
// process that follows it.
func TestLeavingTargetOfOtherHost(t *testing.T) {
	cases := []struct {
		name      string
		id        ident.Target
		startedAt int64
		want      bool
	}{
		{"the process", "a-0", 0, true},
		{"an earlier process", "a-0", 7, false},
		{"an unknown target", "x", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTestTable(2, 100)
			changes := table.ObserveForwarded(start, start, c.id, c.startedAt, NewStatement(WithLeaving()))
			if got := slices.Contains(changes, LeavingBegan); got != c.want {
				t.Errorf("observed %v, want %v", got, c.want)
			}
			if changes := table.ObserveForwarded(start, start, c.id, c.startedAt, NewStatement(WithLeaving())); len(changes) > 0 {
				t.Errorf("observed again: %v", changes)
			}
			used := map[ident.Target]bool{}
			for i := range 100 {
				used[table.Choose(start, query(fmt.Sprint(i))).Target().ID()] = true
			}
			if used["a-0"] == c.want {
				t.Errorf("used: %v", used)
			}
		})
	}
}

// TestForwardedStatement guards against a rate limit that a host does not heed
// because it was stated in an answer through another host, against an answer that
// was under way for long and takes the place of a later statement, and against
// pauses that concern the other host.
func TestForwardedStatement(t *testing.T) {
	limited := NewStatement(WithLimit(NewRateLimit(8)))
	cases := []struct {
		name      string
		statement Statement
		startedAt int64
		// age is how long before a statement of a limit of 4 the answer began.
		age       time.Duration
		rate      float64
		isLimited bool
		changes   []Change
	}{
		{"another limit", limited, 0, -time.Second, 8, true, nil},
		{"no limit", NewStatement(), 0, -time.Second, 0, false, []Change{LimitEnded}},
		{"another limit, earlier", limited, 0, time.Second, 4, true, nil},
		{"no limit, earlier", NewStatement(), 0, time.Second, 4, true, nil},
		{"an earlier process", limited, 7, -time.Second, 4, true, nil},
		{"pause", NewStatement(WithLimit(NewRateLimit(8)), WithPause(time.Minute)), 0, -time.Second, 8, true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTestTable(1, 100)
			first := NewStatement(WithLimit(NewRateLimit(4)))
			if got := table.ObserveForwarded(start, start, "a-0", 0, first); !slices.Equal(got, []Change{LimitBegan}) {
				t.Errorf("first statement: %v", got)
			}
			now := start.Add(time.Second)
			changes := table.ObserveForwarded(now, start.Add(-c.age), "a-0", c.startedAt, c.statement)
			s := table.targets["a-0"]
			if rate, isLimited := s.limiter.limit.Rate(); rate != c.rate || isLimited != c.isLimited || !slices.Equal(changes, c.changes) {
				t.Errorf("limit %v, %v, changes %v; want %v, %v, %v", rate, isLimited, changes, c.rate, c.isLimited, c.changes)
			}
			if now.Before(s.pauseAskedUntil) {
				t.Error("the target pauses")
			}
		})
	}
}

// TestLeavingTargetNotListed guards against requests to a target that has said that it
// leaves while the host did not list it: before the first list that names it reaches
// the host, or while one list lacks it.
func TestLeavingTargetNotListed(t *testing.T) {
	leaving := NewStatement(WithLeaving())
	process := func(startedAt int64) Target {
		return NewTarget("i", "s", "h:80", "z", "r", 1, false, time.Time{}, WithStart(startedAt))
	}
	cases := []struct {
		name string
		// observe applies the statement of process 1 to a table that lists nothing.
		observe func(table *Table)
		listed  Target
		after   time.Duration
		isUsed  bool
	}{
		{"through another host, before it is listed", func(table *Table) {
			table.ObserveForwarded(start, start, "i", 1, leaving)
		}, process(1), time.Second, false},
		{"listed, removed and listed again", func(table *Table) {
			table.Update([]Target{process(1)})
			table.Observe(start, table.Choose(start, query("x")), leaving)
			table.Update(nil)
		}, process(1), time.Second, false},
		{"response after it was removed from the list", func(table *Table) {
			table.Update([]Target{process(1)})
			c := table.Choose(start, query("x"))
			table.Update(nil)
			table.Observe(start, c, leaving)
		}, process(1), time.Second, false},
		{"answer to a probe after it was removed from the list", func(table *Table) {
			table.ObserveProbe(start, process(1), leaving)
		}, process(1), time.Second, false},
		{"without a start", func(table *Table) {
			table.ObserveForwarded(start, start, "i", 0, leaving)
		}, process(0), time.Second, true},
		{"its successor", func(table *Table) {
			table.ObserveForwarded(start, start, "i", 1, leaving)
		}, process(2), time.Second, true},
		{"another statement", func(table *Table) {
			table.ObserveForwarded(start, start, "i", 1, NewStatement())
		}, process(1), time.Second, true},
		{"long ago", func(table *Table) {
			table.ObserveForwarded(start, start, "i", 1, leaving)
			table.ObserveForwarded(start.Add(leavingMemory), start, "other", 1, leaving)
		}, process(1), leavingMemory, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable("z", "r", NewColdBounds(1.5, 5))
			c.observe(table)
			table.Update([]Target{c.listed})
			if got := table.Choose(start.Add(c.after), query("x")).IsFound(); got != c.isUsed {
				t.Errorf("used %v, want %v", got, c.isUsed)
			}
		})
	}
}
