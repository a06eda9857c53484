package mesh

import (
	"log/slog"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// listRecorder keeps the last list of targets.
type listRecorder struct {
	testListener
	list []ListedTarget
}

func (l *listRecorder) SetTargets(_ time.Time, list []ListedTarget) { l.list = list }

// TestColdTimePasses guards against targets that count as cold again, and get
// hardly any requests, after each later change of the list.
func TestColdTimePasses(t *testing.T) {
	r, c := newTestRegistry(t)
	l := &listRecorder{}
	client := &controlClientTask{
		clock: c, log: slog.New(slog.DiscardHandler), meter: noMeter{}, listener: l, peers: map[string]*peer{},
	}
	target := func(id string, cold time.Duration) ListedTarget {
		return NewListedTarget(ident.Target(id), "s", id+":80", "z", 4, false, cold)
	}
	steps := []struct {
		name string
		list []ListedTarget
		// cold is the time for which target b stays cold.
		cold time.Duration
	}{
		{"cold after its start", []ListedTarget{target("a", 0), target("b", 3*time.Second)}, 3 * time.Second},
		{"another target is added", []ListedTarget{target("a", 0), target("b", 2*time.Second), target("c", 0)}, 2 * time.Second},
		{"the cold time is over", []ListedTarget{target("a", 0), target("b", time.Second), target("c", 0)}, 2 * time.Second},
		{"nothing changes", []ListedTarget{target("a", 0), target("b", 0), target("c", 0)}, 2 * time.Second},
		{"another target is removed", []ListedTarget{target("a", 0), target("b", 0)}, 0},
	}
	for _, s := range steps {
		r.updateList(s.list)
		if r.list.tag != client.listTag {
			client.Handle(listFetched{peer: &peer{}, sent: c.Now(), record: r.listRecord(client.listTag)})
		}
		for _, got := range l.list {
			if got.ID() == "b" && got.ColdRemaining() != s.cold {
				t.Errorf("%s: cold for %v, want %v", s.name, got.ColdRemaining(), s.cold)
			}
		}
		c.Advance(time.Second)
	}
}

// TestLatestProcess guards against using the entry of a process that has ended
// while its successor is listed under the same ID.
func TestLatestProcess(t *testing.T) {
	entry := func(id string, startedAt int64) ListedTarget {
		return NewListedTarget(ident.Target(id), "s", "h:1", "z", 4, false, 0, WithStart(startedAt))
	}
	got := latestProcesses([]ListedTarget{entry("b", 5), entry("a", 1), entry("b", 9), entry("b", 7)})
	if len(got) != 2 || got[0].ID() != "a" || got[1].StartedAt() != 9 {
		t.Errorf("got %+v", got)
	}
}
