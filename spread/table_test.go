package spread

import (
	"fmt"
	"math"
	"testing"
	"time"

	"rhubarbrack/ident"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// newTestTable returns a table of a host in zone a-1 with n targets of the
// service s in each of the regions a and b.
func newTestTable(n, slots int) *Table {
	t := NewTable("a-1", "a", NewColdBounds(1.5, 5))
	var list []Target
	for i := range n {
		for _, region := range []string{"a", "b"} {
			id := fmt.Sprintf("%s-%d", region, i)
			list = append(list, NewTarget(ident.Target(id), "s", id+":80", ident.Zone(region+"-1"),
				ident.Region(region), slots, false, time.Time{}))
		}
	}
	t.Update(list)
	return t
}

func query(object string) Query { return NewQuery("s", object, time.Second, false, nil, nil, nil) }

// TestHomeIsStable guards against objects that change their target when
// nothing else does, or when other targets come and go: their new targets do
// not remember them.
func TestHomeIsStable(t *testing.T) {
	table := newTestTable(5, 100)
	homes := map[string]ident.Target{}
	for i := range 200 {
		object := fmt.Sprint(i)
		homes[object] = table.Choose(start, query(object)).Target().ID()
	}
	gone := homes["0"]
	var list []Target
	for _, s := range table.services["s"] {
		if s.id != gone {
			list = append(list, s.Target)
		}
	}
	table.Update(list)
	for object, home := range homes {
		got := table.Choose(start, query(object)).Target().ID()
		if home != gone && got != home {
			t.Errorf("object %s moved from %s to %s when %s left", object, home, got, gone)
		}
	}
}

// TestFewTargetsPerObject guards against the collapse in which a busy fleet
// spreads each object over all targets, so that all of them forget it.
func TestFewTargetsPerObject(t *testing.T) {
	table := newTestTable(10, 2)
	used := map[ident.Target]bool{}
	refused := false
	for range 100 {
		c := table.Choose(start, query("x"))
		if !c.IsFound() {
			refused = c.Reason() == NoRoom
			break
		}
		used[c.Target().ID()] = true
	}
	if len(used) != homes {
		t.Errorf("object went to %d targets, want %d", len(used), homes)
	}
	if !refused {
		t.Error("requests beyond the queues of the targets were not refused")
	}
}

// TestChoice guards against sends to targets that may get nothing.
func TestChoice(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Table, Query) Query
		want   func(*state) bool
	}{
		{
			name:   "evacuated zone",
			change: func(t *Table, q Query) Query { t.SetEvacuated(start, []ident.Zone{"a-1"}, nil); return q },
			want:   func(s *state) bool { return s.zone != "a-1" },
		},
		{
			name: "homes of the route",
			change: func(_ *Table, _ Query) Query {
				return NewQuery("s", "x", time.Second, false, []ident.Region{"b"}, nil, nil)
			},
			want: func(s *state) bool { return s.region == "b" },
		},
		{
			name: "homes of the route and of the team",
			change: func(_ *Table, _ Query) Query {
				return NewQuery("s", "x", time.Second, false, []ident.Region{"a", "b"}, []ident.Region{"a"}, nil)
			},
			want: func(s *state) bool { return s.region == "a" },
		},
		{
			name: "large answers",
			change: func(_ *Table, _ Query) Query {
				return NewQuery("s", "x", time.Second, true, nil, nil, nil)
			},
			want: func(s *state) bool { return s.region == "a" },
		},
		{
			name: "way longer than a part of the aim",
			change: func(t *Table, q Query) Query {
				t.ObserveRTT("b", 400*time.Millisecond)
				return q
			},
			want: func(s *state) bool { return s.region == "a" },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTestTable(3, 50)
			q := c.change(table, query("x"))
			for range 60 {
				choice := table.Choose(start, q)
				if !choice.IsFound() {
					t.Fatalf("no target: %s", choice.Reason())
				}
				if s := table.targets[choice.Target().ID()]; !c.want(s) {
					t.Fatalf("request went to %s in %s", s.id, s.zone)
				}
			}
		})
	}
}

// TestColdTarget guards against more requests to a cold target than this
// host's share of what it tolerates.
func TestColdTarget(t *testing.T) {
	table := NewTable("a-1", "a", NewColdBounds(1.5, 5))
	table.SetColdRate("s", 10)
	table.SetShare(0.25)
	table.Update([]Target{
		NewTarget("cold", "s", "cold:80", "a-1", "a", 100, false, start.Add(10*time.Second)),
	})
	// The bound of the fleet is 10 x 1.5 + 5 in a second; a quarter is 5.
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

// TestUnreachedTarget guards against requests to a target that was not
// reached a moment ago, and against its exclusion for good.
func TestUnreachedTarget(t *testing.T) {
	table := newTestTable(1, 10)
	c := table.Choose(start, query("x"))
	table.RecordResult(start, c, Unreached, ident.None[Load]())
	if again := table.Choose(start, query("x")); again.Target().ID() == c.Target().ID() {
		t.Error("the next request went to the same target")
	}
	later := start.Add(longestPause)
	if again := table.Choose(later, query("x")); again.Target().ID() != c.Target().ID() {
		t.Error("the object did not return to its home after the pause")
	}
}

// TestNearHomes guards against homes that are all far away, and against
// objects whose home among the targets of one region depends on the region of
// the caller.
func TestNearHomes(t *testing.T) {
	near, far := newTestTable(6, 100), newTestTable(6, 100)
	far.zone, far.region = "b-1", "b"
	own, same := 0, 0
	const objects = 1000
	for i := range objects {
		q := query(fmt.Sprint(i))
		a, b := near.Choose(start, q).Target(), far.Choose(start, q).Target()
		if a.Region() == "a" {
			own++
		}
		if a.Region() != b.Region() {
			continue
		}
		same++
		if a.ID() != b.ID() {
			t.Errorf("object %d has the homes %s and %s in one region", i, a.ID(), b.ID())
		}
	}
	// Of two equal regions, the own one gets its weight of the objects.
	want := objects * nearWeight / (1 + nearWeight)
	if math.Abs(float64(own)-want) > objects/20 {
		t.Errorf("%d of %d objects have their home in the own region, want about %.0f", own, objects, want)
	}
	if same == 0 {
		t.Error("no object has its home in the same region for both callers")
	}
}

// TestFailuresElsewhere guards against a host that sends to a failing target
// until it has failed here too, and against a target that stays avoided after
// the failures have ended.
func TestFailuresElsewhere(t *testing.T) {
	cases := []struct {
		name   string
		failed int
		served int
		after  time.Duration
		moves  bool
	}{
		{"all fail", 4, 0, 0, true},
		{"one in ten fails", 3, 27, 0, false},
		{"long ago", 4, 0, 3 * failureMemory, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTestTable(5, 100)
			home := table.Choose(start, query("o")).Target().ID()
			table.ApplyRemoteStats(start, []TargetStats{NewTargetStats(home, 0, c.failed, c.served)})
			got := table.Choose(start.Add(c.after), query("o")).Target().ID()
			if (got != home) != c.moves {
				t.Errorf("sent to %s, home %s; want another target: %v", got, home, c.moves)
			}
		})
	}
}

// TestCounts guards against failures that are not told to other hosts, and
// against served sends that are left out where others saw failures, which
// makes the share of failures too great.
func TestCounts(t *testing.T) {
	table := newTestTable(1, 100)
	end := func(v Result) ident.Target {
		c := table.Choose(start, query("o"))
		table.RecordResult(start, c, v, ident.None[Load]())
		return c.Target().ID()
	}
	id := end(Served)
	if got := table.Stats(start); len(got) != 0 {
		t.Errorf("%v told of a target at rest", got)
	}
	table.ApplyRemoteStats(start, []TargetStats{NewTargetStats(id, 0, 3, 100)})
	if got := table.Stats(start); len(got) != 1 || got[0] != NewTargetStats(id, 0, 0, 1) {
		t.Errorf("%v told, want the answer of the target that fails elsewhere", got)
	}
	end(Lost)
	if got := table.Stats(start); len(got) != 1 || got[0] != NewTargetStats(id, 0, 1, 1) {
		t.Errorf("%v told, want one failure and one answer", got)
	}
	if got := table.Stats(start.Add(2 * resultSpan)); len(got) != 0 {
		t.Errorf("%v told after the span", got)
	}
}
