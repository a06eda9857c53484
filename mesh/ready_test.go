package mesh

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// TestReadyChanges guards against entry hosts that differ from the control host
// in the list of ready hosts after some changes, and against sending the whole
// list for each change.
func TestReadyChanges(t *testing.T) {
	const hosts, changes = 300, 200
	random := rand.New(rand.NewPCG(1, 1))
	first, _ := newTestRegistry(t)
	second, _ := newTestRegistry(t)
	for i := range hosts {
		first.heartbeat(testHeartbeat(fmt.Sprint(i), true))
		second.heartbeat(testHeartbeat(fmt.Sprint(i), true))
	}
	record := testHeartbeat("own", false)
	var lists []readyList
	sent := 0
	for range changes {
		host := testHeartbeat(fmt.Sprint(random.IntN(hosts)), random.IntN(2) == 0)
		for i, r := range []*registry{first, second} {
			r.heartbeat(host)
			record.ReadyTag = 0
			if len(lists) > i {
				record.ReadyTag = lists[i].tag
			}
			reply := r.heartbeat(record)
			next, ok := reply.readyFrom(lists)
			if reply.ReadyTag == record.ReadyTag {
				next, ok = lists[i], true
			}
			if !ok {
				t.Fatal("changes of an unknown list")
			}
			sent += len(reply.ReadyHosts) + len(reply.ReadyGone)
			if len(lists) <= i {
				lists = append(lists, next)
			}
			lists[i] = next
			record.ReadyTags = append(record.ReadyTags[:0], lists[0].tag, lists[len(lists)-1].tag)
			isSame := func(a, b EntryHost) bool { return a.address == b.address && a.zone == b.zone && a.region == b.region }
			if !slices.EqualFunc(next.hosts, r.readyHosts(), isSame) {
				t.Fatalf("list of %d hosts differs from that of the control host", len(next.hosts))
			}
		}
	}
	// The whole list is sent once, for both control hosts.
	if sent > hosts+2*changes {
		t.Errorf("%d hosts sent for %d changes", sent, changes)
	}
}

// TestUnknownReadyBase guards against changes that are applied to another list
// than the one that they are based on.
func TestUnknownReadyBase(t *testing.T) {
	r := HeartbeatReplyRecord{ReadyTag: 3, ReadyBase: 2, ReadyGone: []string{"a"}}
	if _, ok := r.readyFrom([]readyList{{tag: 1}}); ok {
		t.Error("changes of an unknown list were applied")
	}
}

// TestLoads guards against loads that are attributed to other targets.
func TestLoads(t *testing.T) {
	var list []ListedTarget
	for i := range 200 {
		list = append(list, NewListedTarget(ident.Target(fmt.Sprintf("t%03d", i)), "s", "a", "z", 4, false, 0))
	}
	cases := []struct {
		name    string
		records []TargetStatsRecord
	}{
		{"none", nil},
		{"first and last", []TargetStatsRecord{{Target: "t000", Running: 3}, {Target: "t199", Running: 300}}},
		{"failing", []TargetStatsRecord{{Target: "t005", Running: 1, Failed: 4, Served: 200}, {Target: "t006"}}},
	}
	for _, c := range cases {
		stats, err := decodeLoads(encodeLoads(c.records, indexTargets(list)), list)
		if err != nil || len(stats) != len(c.records) {
			t.Fatalf("%s: %v, %v", c.name, stats, err)
		}
		for i, s := range stats {
			got := TargetStatsRecord{Target: string(s.Target()), Running: s.InFlight(), Failed: s.Failed(), Served: s.Served()}
			if got != c.records[i] {
				t.Errorf("%s: %+v, want %+v", c.name, got, c.records[i])
			}
		}
	}
	unlisted := []TargetStatsRecord{{Target: "gone", Running: 1}, {Target: "t001", Running: 2}}
	if stats, err := decodeLoads(encodeLoads(unlisted, indexTargets(list)), list); err != nil || len(stats) != 1 {
		t.Errorf("with a target that is not in the list: %v, %v", stats, err)
	}
}

// FuzzDecodeLoads guards against loads that crash the decoder.
func FuzzDecodeLoads(f *testing.F) {
	list := []ListedTarget{{id: "a"}, {id: "b"}, {id: "c"}}
	f.Add(encodeLoads([]TargetStatsRecord{{Target: "a", Running: 1}, {Target: "c", Failed: 3}}, indexTargets(list)))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		stats, err := decodeLoads(b, list)
		if err != nil && !errors.Is(err, errBadLoads) || len(stats) > len(list) {
			t.Errorf("%v, %v", stats, err)
		}
	})
}

// TestListOfNewLeader guards against sending the whole list again after a
// change of the leader, and against taking another list for the same.
func TestListOfNewLeader(t *testing.T) {
	list := func(draining bool, cold time.Duration) []ListedTarget {
		return []ListedTarget{
			NewListedTarget("a", "s", "h:1", "z", 4, false, 0), NewListedTarget("b", "s", "h:2", "z", 4, draining, cold),
		}
	}
	cases := []struct {
		name string
		next []ListedTarget
		same bool
	}{
		{"same", list(false, 0), true},
		{"draining", list(true, 0), false},
		{"cold", list(false, 5*time.Second), false},
		{"target gone", list(false, 0)[:1], false},
	}
	for _, c := range cases {
		old, _ := newTestRegistry(t)
		next, _ := newTestRegistry(t)
		old.updateList(list(false, 0))
		next.updateList(c.next)
		if (old.list.tag == next.list.tag) != c.same {
			t.Errorf("%s: tags %x and %x", c.name, old.list.tag, next.list.tag)
		}
	}
}

// TestPackedList guards against packed lists that differ from the list, and
// against large ones.
func TestPackedList(t *testing.T) {
	r, c := newTestRegistry(t)
	random := rand.New(rand.NewPCG(1, 1))
	var list []ListedTarget
	for i := range 900 {
		list = append(list, NewListedTarget(ident.Target(fmt.Sprintf("i-%010x", random.Uint64()>>24)), "service",
			fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250), "zone", 6, false, 0))
	}
	r.updateList(slices.Clone(list))
	first := r.packedListRecord(0)
	c.Advance(time.Second)
	r.updateList(slices.Clone(list[:890]))
	// The random part of an ID has five bytes, and an address two.
	const wholeBytes = 900 * 16
	cases := []struct {
		name     string
		record   ListRecord
		want     ListRecord
		maxBytes int
	}{
		{"whole", first, ListRecord{}, wholeBytes},
		{"changes of one target in 90", r.packedListRecord(first.Tag), r.listRecord(first.Tag), wholeBytes / 30},
		{"the same again", r.packedListRecord(first.Tag), r.listRecord(first.Tag), wholeBytes / 30},
	}
	for _, p := range cases {
		got, err := p.record.unpack()
		if err != nil || len(p.record.Packed) > p.maxBytes {
			t.Errorf("%s: %d bytes, error %v; want at most %d", p.name, len(p.record.Packed), err, p.maxBytes)
		}
		if p.name == "whole" {
			if len(got.Targets) != len(list) {
				t.Errorf("whole: %d targets", len(got.Targets))
			}
			continue
		}
		if !slices.Equal(got.Gone, p.want.Gone) || len(got.Targets) != len(p.want.Targets) || got.Base != first.Tag {
			t.Errorf("%s: %+v, want %+v", p.name, got, p.want)
		}
	}
	damaged := first
	damaged.Packed = first.Packed[:len(first.Packed)/2]
	if _, err := damaged.unpack(); err == nil {
		t.Error("a damaged list was unpacked")
	}
}
