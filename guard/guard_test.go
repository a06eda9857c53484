package guard

import (
	"testing"
	"time"

	"rhubarbrack/ident"
)

var (
	start = time.Unix(1000, 0)
	fa    = ident.Fingerprint{1}
	fb    = ident.Fingerprint{2}
)

// Guards against a suspect that may start where it could crash another target,
// and against restrictions on other requests. Each case checks whether
// fingerprint fa is suspected, whether it is banned, and whether it may start at
// target t2.
func TestGuard(t *testing.T) {
	crash := func(g *Guard, run uint64, target ident.Target) {
		g.Started(run, fa, target)
		g.Ended(start, run, false, true)
	}
	cases := []struct {
		name    string
		run     func(g *Guard)
		suspect bool
		banned  bool
		admits  bool
	}{
		{name: "unknown", run: func(*Guard) {}, admits: true},
		{name: "one crash", run: func(g *Guard) { crash(g, 1, "t1") }, suspect: true, admits: true},
		{name: "two crashes", run: func(g *Guard) { crash(g, 1, "t1"); crash(g, 2, "t2") }, suspect: true, banned: true},
		{name: "shared a target", run: func(g *Guard) {
			g.Started(1, fa, "t1")
			g.Started(2, fb, "t1")
			g.Ended(start, 2, false, true)
		}, suspect: true},
		{name: "one crash reported by two holders", run: func(g *Guard) {
			g.Started(1, fa, "t1")
			g.Started(2, fa, "t1")
			g.Ended(start, 1, false, true)
			g.Ended(start, 2, false, true)
		}, suspect: true, admits: true},
		{name: "cleared by a run with a response", run: func(g *Guard) {
			crash(g, 1, "t1")
			g.Started(2, fa, "t2")
			g.Ended(start, 2, true, false)
		}, admits: true},
		{name: "not cleared by a run that was cancelled", run: func(g *Guard) {
			crash(g, 1, "t1")
			g.Started(2, fa, "t2")
			g.Ended(start, 2, false, false)
		}, suspect: true, admits: true},
		{name: "a copy is in flight", run: func(g *Guard) { crash(g, 1, "t1"); g.Started(2, fa, "t3") }, suspect: true},
		{name: "another suspect is at the target", run: func(g *Guard) {
			crash(g, 1, "t1")
			g.Import([]Mark{NewMark(fb, 1, start.Add(time.Minute))})
			g.Started(2, fb, "t2")
		}, suspect: true},
		{name: "another request is at the target", run: func(g *Guard) { crash(g, 1, "t1"); g.Started(2, fb, "t2") },
			suspect: true, admits: true},
		{name: "marked elsewhere", run: func(g *Guard) { g.Import([]Mark{NewMark(fa, 1, start.Add(time.Minute))}) },
			suspect: true, admits: true},
		{name: "banned elsewhere", run: func(g *Guard) { g.Import([]Mark{NewMark(fa, 2, start.Add(time.Minute))}) },
			suspect: true, banned: true},
		{name: "second crash after a mark from elsewhere", run: func(g *Guard) {
			g.Import([]Mark{NewMark(fa, 1, start.Add(time.Minute))})
			crash(g, 1, "t1")
		}, suspect: true, banned: true},
		{name: "cleared elsewhere", run: func(g *Guard) {
			g.Import([]Mark{NewMark(fa, 1, start.Add(time.Minute)), NewMark(fa, 0, start.Add(time.Minute))})
		}, admits: true},
		{name: "an old mark does not lift a ban", run: func(g *Guard) {
			crash(g, 1, "t1")
			crash(g, 2, "t2")
			g.Import([]Mark{NewMark(fa, 1, start.Add(time.Minute)), NewMark(fa, 0, start.Add(time.Minute))})
		}, suspect: true, banned: true},
		{name: "an expired mark", run: func(g *Guard) { g.Import([]Mark{NewMark(fa, 2, start)}) }, admits: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := New()
			tc.run(g)
			_, banned := g.Banned(start, fa)
			if s, a := g.Suspected(start, fa), g.Admits(start, fa, "t2"); s != tc.suspect || banned != tc.banned || a != tc.admits {
				t.Errorf("suspect, banned, admits = %t, %t, %t; want %t, %t, %t", s, banned, a, tc.suspect, tc.banned, tc.admits)
			}
		})
	}
}

// Guards against changed marks that are not replicated, or replicated twice.
func TestTakeChanges(t *testing.T) {
	g := New(WithPeriod(time.Minute))
	g.Started(1, fb, "t1")
	g.Started(2, fa, "t1")
	g.Ended(start, 1, false, true)
	first := g.TakeChanges()
	g.Started(3, fa, "t2")
	g.Ended(start, 3, true, false)
	second := g.TakeChanges()
	if len(first) != 2 || first[0] != NewMark(fa, 1, start.Add(time.Minute)) || first[1] != NewMark(fb, 1, start.Add(time.Minute)) {
		t.Errorf("marks after a crash = %v", first)
	}
	if len(second) != 1 || second[0].Fingerprint() != fa || second[0].Crashes() != 0 {
		t.Errorf("marks after a run with a response = %v", second)
	}
	if more := g.TakeChanges(); len(more) != 0 {
		t.Errorf("marks without a change = %v", more)
	}
}
