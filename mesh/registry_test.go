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

func newTestRegistry(t *testing.T) (*registry, *clock.Manual) {
	t.Helper()
	c := clock.NewManual(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	log := slog.New(slog.DiscardHandler)
	system := tasks.NewSystem(log)
	t.Cleanup(system.Shutdown)
	return newRegistry(context.Background(), system, c, log, "own:1", []string{"seed:1"}), c
}

func testHeartbeat(host string, ready bool) HeartbeatRecord {
	return HeartbeatRecord{Host: host, Address: host + ":80", Zone: "z-" + host, Region: "r", Ready: ready}
}

// TestEntryHosts guards against lookups that return stopped or silent hosts,
// and against dividing the bounds among too few hosts while one without
// contact may still be serving.
func TestEntryHosts(t *testing.T) {
	r, c := newTestRegistry(t)
	steps := []struct {
		name  string
		do    func()
		ready []string
		count int
	}{
		{"two become ready", func() { r.heartbeat(testHeartbeat("a", true)); r.heartbeat(testHeartbeat("b", true)) }, []string{"a:80", "b:80"}, 2},
		{"one becomes unready", func() { r.heartbeat(testHeartbeat("a", false)) }, []string{"b:80"}, 2},
		{"one times out", func() { c.Advance(hostTimeout); r.heartbeat(testHeartbeat("a", true)) }, []string{"a:80"}, 2},
		{"it sends a heartbeat again", func() { r.heartbeat(testHeartbeat("b", true)) }, []string{"a:80", "b:80"}, 2},
		{"one is removed", func() { c.Advance(hostRetention + time.Second); r.heartbeat(testHeartbeat("a", true)) }, []string{"a:80"}, 1},
	}
	for _, s := range steps {
		s.do()
		var got []string
		for _, e := range r.readyHosts() {
			got = append(got, e.Address())
		}
		if !slices.Equal(got, s.ready) || len(r.hosts) != s.count {
			t.Errorf("%s: %v of %d hosts, want %v of %d", s.name, got, len(r.hosts), s.ready, s.count)
		}
	}
}

// TestReadyTag guards against entry hosts that miss a change of the ready
// hosts, and against sending an unchanged list again.
func TestReadyTag(t *testing.T) {
	r, _ := newTestRegistry(t)
	first := r.heartbeat(testHeartbeat("a", true))
	if len(first.ReadyHosts) != 1 {
		t.Fatalf("first reply lists %v", first.ReadyHosts)
	}
	record := testHeartbeat("a", true)
	record.ReadyTag = first.ReadyTag
	if second := r.heartbeat(record); len(second.ReadyHosts) != 0 || second.ReadyTag != first.ReadyTag {
		t.Errorf("unchanged list was sent again: %v", second.ReadyHosts)
	}
	r.heartbeat(testHeartbeat("b", true))
	if changed := r.heartbeat(record); len(changed.ReadyHosts) != 2 || changed.ReadyTag == first.ReadyTag {
		t.Errorf("changed list: %v", changed.ReadyHosts)
	}
}

// TestNearest guards against sending callers to another region although their
// own or a preferred one has entry hosts.
func TestNearest(t *testing.T) {
	all := []EntryHost{{address: "1", region: "a"}, {address: "2", region: "b"}, {address: "3", region: "c"}}
	cases := []struct {
		name      string
		region    ident.Region
		preferred []ident.Region
		want      []string
	}{
		{"own region", "a", []ident.Region{"b"}, []string{"1"}},
		{"preferred regions", "x", []ident.Region{"b", "c"}, []string{"2", "3"}},
		{"no preferred regions", "x", nil, []string{"1", "2", "3"}},
		{"preferred region without a host", "x", []ident.Region{"y"}, []string{"1", "2", "3"}},
	}
	for _, c := range cases {
		var got []string
		for _, e := range nearest(all, c.region, c.preferred) {
			got = append(got, e.address)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestRotation guards against hosts that no look-up names, because a response
// has room for fewer hosts than a region has.
func TestRotation(t *testing.T) {
	cases := []struct{ hosts, named int }{{1, 64}, {64, 64}, {65, 64}, {98, 64}, {300, 64}, {1000, 7}}
	for _, c := range cases {
		var list []EntryHost
		for i := range c.hosts {
			list = append(list, EntryHost{address: fmt.Sprint(i)})
		}
		r := newRotation()
		count := map[string]int{}
		const lookups = 1000
		for range lookups {
			named := r.limit(list, c.named)
			unique := map[string]bool{}
			for _, h := range named {
				unique[h.address] = true
				count[h.address]++
			}
			if len(unique) != min(c.hosts, c.named) {
				t.Fatalf("%d hosts: %d named", c.hosts, len(unique))
			}
		}
		fair := lookups * min(c.hosts, c.named) / c.hosts
		for _, h := range list {
			if n := count[h.address]; n < fair-1 || n > fair+1 {
				t.Errorf("%d hosts: host %s named %d times, want %d", c.hosts, h.address, n, fair)
			}
		}
	}
}

// TestListChanges guards against list changes that entry hosts miss, and
// against treating the countdown of a cold target as a change.
func TestListChanges(t *testing.T) {
	target := func(draining bool, coldRemaining time.Duration) []ListedTarget {
		return []ListedTarget{NewListedTarget("i", "s", "h:1", "z", 4, draining, coldRemaining)}
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
		{"another process with the same ID", []ListedTarget{NewListedTarget("i", "s", "h:1", "z", 4, false, 0, WithStart(7))}, time.Second, true},
		{"removed", nil, time.Second, true},
	}
	for _, c := range cases {
		r, k := newTestRegistry(t)
		r.updateList(target(false, 0))
		before := r.list.tag
		k.Advance(c.after)
		r.updateList(c.next)
		if (r.list.tag != before) != c.changed {
			t.Errorf("%s: changed %v, want %v", c.name, r.list.tag != before, c.changed)
		}
	}
	r, k := newTestRegistry(t)
	r.updateList(target(false, 3*time.Second))
	before := r.list.tag
	for left := 2500 * time.Millisecond; left >= 0; left -= 500 * time.Millisecond {
		k.Advance(500 * time.Millisecond)
		r.updateList(target(false, left))
	}
	if r.list.tag != before {
		t.Error("the countdown of a cold target counts as a change")
	}
}

// TestLeadership guards against leases and tokens from a control host whose
// leadership is not confirmed.
func TestLeadership(t *testing.T) {
	r, c := newTestRegistry(t)
	if r.heartbeat(testHeartbeat("a", true)).Leads || r.takeToken(TokenRequestRecord{Team: "t", Rate: 1, Burst: 1, Span: time.Second}) {
		t.Error("grants leases before it leads")
	}
	r.confirmLeadership(c.Now())
	if !r.heartbeat(testHeartbeat("a", true)).Leads {
		t.Error("grants no leases although it leads")
	}
	c.Advance(leadershipValidity)
	if r.heartbeat(testHeartbeat("a", true)).Leads {
		t.Error("grants leases although the leadership has not been confirmed recently")
	}
}

// TestBusyTargets guards against overloading a target because no entry host
// knows the requests of the others.
func TestBusyTargets(t *testing.T) {
	r, c := newTestRegistry(t)
	r.updateList([]ListedTarget{NewListedTarget("i", "s", "h:1", "z", 4, false, 0), NewListedTarget("j", "s", "h:2", "z", 4, false, 0)})
	for n := range 3 {
		r.reports[ident.Host(fmt.Sprint(n))] = statsReport{at: c.Now(), stats: []TargetStatsRecord{{Target: "i", Running: n}}}
	}
	got := r.remoteStats(c.Now(), "2")
	if len(got) != 1 || got[0].Target != "i" || got[0].Running != 1 {
		t.Errorf("busy targets %v, want i with 1 request of the others", got)
	}
	c.Advance(2 * statsLifetime)
	if got := r.remoteStats(c.Now(), "2"); len(got) != 0 {
		t.Errorf("expired reports are counted: %v", got)
	}
}

// TestFailingTargets guards against a failing target that every host has to
// detect by itself, and against all hosts avoiding a target because one host
// cannot reach it or because of single failures.
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
		r, k := newTestRegistry(t)
		r.updateList([]ListedTarget{NewListedTarget("i", "s", "h:1", "z", 4, false, 0)})
		for n, record := range c.reports {
			r.reports[ident.Host(fmt.Sprint(n))] = statsReport{at: k.Now(), stats: []TargetStatsRecord{record}}
		}
		if got := r.remoteStats(k.Now(), "2"); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestListDelta guards against entry hosts whose list differs from the control
// host's after changes, and against sending whole lists for small changes.
func TestListDelta(t *testing.T) {
	target := func(id string, draining bool, coldRemaining time.Duration) ListedTarget {
		return NewListedTarget(ident.Target(id), "s", id+":1", "z", 4, draining, coldRemaining)
	}
	lists := [][]ListedTarget{
		{target("a", false, 0), target("b", false, 0), target("c", false, 0)},
		{target("a", true, 0), target("b", false, 0), target("c", false, 0)},
		{target("b", false, 0), target("c", false, 0), target("d", false, 3*time.Second)},
		{target("b", false, 0), target("d", false, 0), target("e", false, 0)},
	}
	r, c := newTestRegistry(t)
	r.updateList(slices.Clone(lists[0]))
	first := r.list.tag
	have := slices.Clone(lists[0])
	tag := first
	for i, list := range lists[1:] {
		c.Advance(time.Second)
		r.updateList(slices.Clone(list))
		record := r.listRecord(tag)
		if record.Base != tag {
			t.Fatalf("step %d: base %d, want %d", i, record.Base, tag)
		}
		if len(record.Targets) > 2 {
			t.Errorf("step %d: %d targets sent", i, len(record.Targets))
		}
		have = applyChanges(have, targetsOf(record), removedOf(record))
		tag = record.Tag
		if !slices.Equal(have, list) {
			t.Errorf("step %d: %v, want %v", i, have, list)
		}
	}
	if record := r.listRecord(first + 12345); record.Base != 0 || len(record.Targets) != 3 {
		t.Errorf("unknown list: base %d and %d targets, want a whole list", record.Base, len(record.Targets))
	}
	if record := r.listRecord(first); record.Base != first {
		t.Errorf("list three changes ago: base %d, want %d", record.Base, first)
	}
}

// TestIntervalFor guards against reading a long list as often as a short one,
// although each of its pages is a call to the platform.
func TestIntervalFor(t *testing.T) {
	cases := []struct {
		targets int
		want    time.Duration
	}{
		{0, time.Second}, {longListTargets - 1, time.Second}, {longListTargets, 2 * time.Second}, {10 * longListTargets, 2 * time.Second},
	}
	for _, c := range cases {
		if got := intervalFor(c.targets, time.Second); got != c.want {
			t.Errorf("%d targets: %v, want %v", c.targets, got, c.want)
		}
	}
}
