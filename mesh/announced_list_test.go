package mesh

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
)

// numberedTargets returns targets, the first of which drain.
func numberedTargets(count, draining int) []ListedTarget {
	list := make([]ListedTarget, count)
	for i := range list {
		// Hashes cannot be compressed.
		id := fmt.Sprintf("i-%016x", xxhash.Sum64String(fmt.Sprint(i)))
		list[i] = NewListedTarget(ident.Target(id), "s", id+":80", "z", 4, i < draining, 0)
	}
	return list
}

// TestAnnouncedList guards against a small change of the list that has to be
// fetched, which on a full link takes another wait behind the responses of
// targets, and against large or outdated ones in the reply to a heartbeat.
func TestAnnouncedList(t *testing.T) {
	cases := []struct {
		name string
		// draining is the number of targets that begin to drain.
		draining int
		// takes is set if the entry host takes changes with the reply.
		takes bool
		// unknown is set if the entry host has a list that is not known.
		unknown bool
		age     time.Duration
		want    bool
	}{
		{"one target drains", 1, true, false, 0, true},
		{"several targets drain", 15, true, false, 0, true},
		{"all targets drain", 300, true, false, 0, false},
		{"entry host of an earlier release", 1, false, false, 0, false},
		{"entry host with another list", 1, true, true, 0, false},
		{"list that is no longer read", 1, true, false, maxListAgeWithoutLeader, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, manual := newTestRegistry(t)
			l := &listRecorder{}
			p := &peer{}
			client := &controlClientTask{
				clock: manual, log: slog.New(slog.DiscardHandler), meter: noMeter{}, listener: l, peers: map[string]*peer{},
				fetchingList: true,
			}
			r.updateList(numberedTargets(300, 0))
			client.Handle(listFetched{peer: p, sent: manual.Now(), record: r.listRecord(0)})
			client.fetchingList = true
			manual.Advance(time.Second)
			r.updateList(numberedTargets(300, c.draining))
			manual.Advance(c.age)
			record := HeartbeatRecord{Host: "e", ListTag: client.listTag, TakesList: c.takes}
			if c.unknown {
				record.ListTag = 5
			}
			reply := r.heartbeat(record)
			if got := reply.List != nil; got != c.want {
				t.Fatalf("changes in the reply: %t, want %t", got, c.want)
			}
			client.considerList(p, methodTargets, manual.Now(), reply)
			drains := 0
			for _, target := range l.list {
				if target.IsDraining() {
					drains++
				}
			}
			if want := map[bool]int{true: c.draining}[c.want]; drains != want {
				t.Errorf("%d targets drain, want %d", drains, want)
			}
		})
	}
}

// TestListAfterSlowOne guards against a list that is taken for an older one
// because the list before it was under way for longer, and against targets that
// become cold by that.
func TestListAfterSlowOne(t *testing.T) {
	start := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	cases := []struct {
		name string
		// way is how long the first list was under way. The second one is read a
		// second after it.
		way time.Duration
	}{
		{"fast", 10 * time.Millisecond},
		{"slow", 1500 * time.Millisecond},
		{"slower than the next one", 1900 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			manual := clock.NewManual(start)
			l := &listRecorder{}
			client := &controlClientTask{
				clock: manual, log: slog.New(slog.DiscardHandler), meter: noMeter{}, listener: l, peers: map[string]*peer{},
			}
			listRecord := func(tag, base uint64, draining int) ListRecord {
				return ListRecord{HasList: true, Tag: tag, Base: base, Targets: newTargetRecords(numberedTargets(3, draining))}
			}
			manual.Advance(c.way)
			client.Handle(listFetched{peer: &peer{}, sent: start, record: listRecord(1, 0, 0)})
			sent := start.Add(time.Second)
			manual.Advance(max(0, sent.Add(100*time.Millisecond).Sub(manual.Now())))
			second := listRecord(2, 1, 1)
			second.Targets, second.Age = second.Targets[:1], 50*time.Millisecond
			client.considerList(&peer{}, methodTargets, sent,
				HeartbeatReplyRecord{HasList: true, ListTag: 2, ListAge: second.Age, List: &second})
			if client.listTag != 2 {
				t.Fatalf("list %d is in force, want 2", client.listTag)
			}
			for _, target := range l.list {
				if target.ColdRemaining() != 0 {
					t.Errorf("target %s is cold for %v", target.ID(), target.ColdRemaining())
				}
			}
		})
	}
}
