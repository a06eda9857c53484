package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

func newTestHub(t *testing.T) (*hub, *clock.Manual) {
	t.Helper()
	c := clock.NewManual(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	log := slog.New(slog.DiscardHandler)
	system := tasks.NewSystem(log)
	t.Cleanup(system.Shutdown)
	return newHub(context.Background(), system, c, log, "own:1", []string{"seed:1"}), c
}

func report(host string, ready bool) HeartbeatRecord {
	return HeartbeatRecord{Host: host, Address: host + ":80", Zone: "z-" + host, Region: "r", Ready: ready}
}

// TestEntryHosts guards against look-ups that name hosts which are gone or
// stop, and against bounds that are shared among too few hosts while one of
// them may serve on unheard.
func TestEntryHosts(t *testing.T) {
	h, c := newTestHub(t)
	steps := []struct {
		name  string
		do    func()
		ready []string
		count int
	}{
		{"two come", func() { h.greet(report("a", true)); h.greet(report("b", true)) }, []string{"a:80", "b:80"}, 2},
		{"one stops", func() { h.greet(report("a", false)) }, []string{"b:80"}, 2},
		{"one is silent", func() { c.Advance(hostSilence); h.greet(report("a", true)) }, []string{"a:80"}, 2},
		{"it comes back", func() { h.greet(report("b", true)) }, []string{"a:80", "b:80"}, 2},
		{"one is forgotten", func() { c.Advance(hostMemory + time.Second); h.greet(report("a", true)) }, []string{"a:80"}, 1},
	}
	for _, s := range steps {
		s.do()
		var got []string
		for _, e := range h.readyHosts() {
			got = append(got, e.Address())
		}
		if !slices.Equal(got, s.ready) || len(h.hosts) != s.count {
			t.Errorf("%s: %v of %d hosts, want %v of %d", s.name, got, len(h.hosts), s.ready, s.count)
		}
	}
}

// TestReadyTag guards against entry hosts that do not hear of a change, and
// against lists that are sent again and again.
func TestReadyTag(t *testing.T) {
	h, _ := newTestHub(t)
	first := h.greet(report("a", true))
	if len(first.ReadyHosts) != 1 {
		t.Fatalf("first answer names %v", first.ReadyHosts)
	}
	r := report("a", true)
	r.ReadyTag = first.ReadyTag
	if again := h.greet(r); len(again.ReadyHosts) != 0 || again.ReadyTag != first.ReadyTag {
		t.Errorf("unchanged list was sent again: %v", again.ReadyHosts)
	}
	h.greet(report("b", true))
	if changed := h.greet(r); len(changed.ReadyHosts) != 2 || changed.ReadyTag == first.ReadyTag {
		t.Errorf("changed list: %v", changed.ReadyHosts)
	}
}

// TestNearest guards against callers that are sent to another region without
// need, or away from the homes of their routes.
func TestNearest(t *testing.T) {
	all := []EntryHost{{address: "1", region: "a"}, {address: "2", region: "b"}, {address: "3", region: "c"}}
	cases := []struct {
		name   string
		region ident.Region
		homes  []ident.Region
		want   []string
	}{
		{"own region", "a", []ident.Region{"b"}, []string{"1"}},
		{"homes", "x", []ident.Region{"b", "c"}, []string{"2", "3"}},
		{"no homes", "x", nil, []string{"1", "2", "3"}},
		{"homes without a host", "x", []ident.Region{"y"}, []string{"1", "2", "3"}},
	}
	for _, c := range cases {
		var got []string
		for _, e := range nearest(all, c.region, c.homes) {
			got = append(got, e.address)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestListChanges guards against changes of the list that entry hosts do not
// hear of, and against cold times that count down and look like changes.
func TestListChanges(t *testing.T) {
	target := func(draining bool, cold time.Duration) []ListedTarget {
		return []ListedTarget{NewListedTarget("i", "s", "h:1", "z", 4, draining, cold)}
	}
	cases := []struct {
		name    string
		next    []ListedTarget
		after   time.Duration
		changed bool
	}{
		{"same", target(false, 0), time.Second, false},
		{"draining", target(true, 0), time.Second, true},
		{"cold again", target(false, 3*time.Second), time.Second, true},
		{"gone", nil, time.Second, true},
	}
	for _, c := range cases {
		h, k := newTestHub(t)
		h.listed(target(false, 0))
		before := h.list.tag
		k.Advance(c.after)
		h.listed(c.next)
		if (h.list.tag != before) != c.changed {
			t.Errorf("%s: changed %v, want %v", c.name, h.list.tag != before, c.changed)
		}
	}
	h, k := newTestHub(t)
	h.listed(target(false, 3*time.Second))
	before := h.list.tag
	for left := 2500 * time.Millisecond; left >= 0; left -= 500 * time.Millisecond {
		k.Advance(500 * time.Millisecond)
		h.listed(target(false, left))
	}
	if h.list.tag != before {
		t.Error("a cold time that counts down looks like a change")
	}
}

// TestLending guards against shares that are lent by a control host whose
// leadership is not confirmed.
func TestLending(t *testing.T) {
	h, c := newTestHub(t)
	if h.greet(report("a", true)).Leads || h.borrow(TokenRequestRecord{Team: "t", Rate: 1, Burst: 1, Span: time.Second}) {
		t.Error("lends before it leads")
	}
	h.lead(c.Now())
	if !h.greet(report("a", true)).Leads {
		t.Error("does not lend although it leads")
	}
	c.Advance(leadTime)
	if h.greet(report("a", true)).Leads {
		t.Error("lends although the leadership was not confirmed for a while")
	}
}

// TestBusy guards against targets that all entry hosts fill because none
// knows what the others send there.
func TestBusy(t *testing.T) {
	h, c := newTestHub(t)
	h.listed([]ListedTarget{NewListedTarget("i", "s", "h:1", "z", 4, false, 0), NewListedTarget("j", "s", "h:2", "z", 4, false, 0)})
	for n := range 3 {
		h.counts[ident.Host(fmt.Sprint(n))] = countReport{at: c.Now(), counts: []TargetStatsRecord{{Target: "i", Running: n}}}
	}
	got := h.others(c.Now(), "2")
	if len(got) != 1 || got[0].Target != "i" || got[0].Running != 1 {
		t.Errorf("busy targets %v, want i with 1 request of the others", got)
	}
	c.Advance(2 * countMemory)
	if got := h.others(c.Now(), "2"); len(got) != 0 {
		t.Errorf("old reports count: %v", got)
	}
}

// TestFailingTargets guards against a failing target that each of many hosts
// has to find by itself, and against one that is avoided by all because one
// host has lost its way to it or because of single failures.
func TestFailingTargets(t *testing.T) {
	fails := func(failed, served int) TargetStatsRecord {
		return TargetStatsRecord{Target: "i", Failed: failed, Served: served}
	}
	cases := []struct {
		name    string
		reports []TargetStatsRecord
		want    []TargetStatsRecord
	}{
		{"several hosts", []TargetStatsRecord{fails(1, 0), fails(2, 1), fails(0, 0)}, []TargetStatsRecord{fails(3, 1)}},
		{"with the own failures", []TargetStatsRecord{fails(1, 0), fails(1, 5), fails(1, 0)}, []TargetStatsRecord{fails(2, 5)}},
		{"one host", []TargetStatsRecord{fails(9, 0), fails(0, 4)}, nil},
		{"single failures", []TargetStatsRecord{fails(1, 3), fails(1, 3)}, nil},
	}
	for _, c := range cases {
		h, k := newTestHub(t)
		h.listed([]ListedTarget{NewListedTarget("i", "s", "h:1", "z", 4, false, 0)})
		for n, r := range c.reports {
			h.counts[ident.Host(fmt.Sprint(n))] = countReport{at: k.Now(), counts: []TargetStatsRecord{r}}
		}
		if got := h.others(k.Now(), "2"); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestListDelta guards against entry hosts whose list differs from that of
// the control host after changes, and against whole lists for small changes.
func TestListDelta(t *testing.T) {
	target := func(id string, draining bool, cold time.Duration) ListedTarget {
		return NewListedTarget(ident.Target(id), "s", id+":1", "z", 4, draining, cold)
	}
	lists := [][]ListedTarget{
		{target("a", false, 0), target("b", false, 0), target("c", false, 0)},
		{target("a", true, 0), target("b", false, 0), target("c", false, 0)},
		{target("b", false, 0), target("c", false, 0), target("d", false, 3*time.Second)},
		{target("b", false, 0), target("d", false, 0), target("e", false, 0)},
	}
	h, c := newTestHub(t)
	h.listed(slices.Clone(lists[0]))
	first := h.list.tag
	have := slices.Clone(lists[0])
	tag := first
	for i, list := range lists[1:] {
		c.Advance(time.Second)
		h.listed(slices.Clone(list))
		r := h.listRecord(tag)
		if r.Base != tag {
			t.Fatalf("step %d: base %d, want %d", i, r.Base, tag)
		}
		if len(r.Targets) > 2 {
			t.Errorf("step %d: %d targets sent", i, len(r.Targets))
		}
		have = apply(have, recordsOf(r), gonesOf(r))
		tag = r.Tag
		if !slices.Equal(have, list) {
			t.Errorf("step %d: %v, want %v", i, have, list)
		}
	}
	if r := h.listRecord(first + 12345); r.Base != 0 || len(r.Targets) != 3 {
		t.Errorf("unknown list: base %d and %d targets, want a whole list", r.Base, len(r.Targets))
	}
	if r := h.listRecord(first); r.Base != first {
		t.Errorf("list three changes ago: base %d, want %d", r.Base, first)
	}
}

// TestIntervalFor guards against a long list that is read at the pace of a
// short one, each page of which is a call to the platform.
func TestIntervalFor(t *testing.T) {
	cases := []struct {
		targets int
		want    time.Duration
	}{
		{0, time.Second}, {longList - 1, time.Second}, {longList, 2 * time.Second}, {10 * longList, 2 * time.Second},
	}
	for _, c := range cases {
		if got := intervalFor(c.targets, time.Second); got != c.want {
			t.Errorf("%d targets: %v, want %v", c.targets, got, c.want)
		}
	}
}
