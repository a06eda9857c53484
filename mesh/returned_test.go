package mesh

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// returnRecorder records the zones that have returned.
type returnRecorder struct {
	testListener
	at map[ident.Zone]time.Time
}

func (r *returnRecorder) SetEvacuated([]ident.Zone) {}

func (r *returnRecorder) ZoneReturned(zone ident.Zone, at time.Time) { r.at[zone] = at }

// TestMissedEvacuation guards against a flood of requests to the cold targets of
// a zone by entry hosts that never knew of its evacuation, because they started
// or got in contact after its end.
func TestMissedEvacuation(t *testing.T) {
	state := func(zones ...ident.Zone) scheme.DesiredState { return scheme.NewDesiredState(1, nil, zones) }
	cases := []struct {
		name string
		// revision is the one that the entry host knows.
		revision ident.Revision
		after    time.Duration
		want     bool
	}{
		{"host that has just started", 0, time.Second, true},
		{"host that was out of contact", 1, time.Second, true},
		{"host that saw the end", 3, time.Second, false},
		{"long after the end", 0, returnedLifetime, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, manual := newTestRegistry(t)
			r.Handle(published{revision: 1, state: state()})
			manual.Advance(replayTime)
			r.Handle(published{revision: 2, state: state("z")})
			r.Handle(published{revision: 3, state: state()})
			ended := manual.Now()
			manual.Advance(c.after)
			l := &returnRecorder{at: map[ident.Zone]time.Time{}}
			discard := receiver(func(any) {})
			client := &controlClientTask{
				clock: manual, log: slog.New(slog.DiscardHandler), listener: l, peers: map[string]*peer{},
				revision: c.revision, fetcher: spawn(t, discard),
			}
			reply := r.heartbeat(testHeartbeat("a", true))
			client.applyReturned(manual.Now(), reply)
			at, got := l.at["z"]
			if got != c.want || got && !at.Equal(ended) {
				t.Errorf("returned %v at %v, want %v at %v", got, at, c.want, ended)
			}
		})
	}
}

// TestReturnedZones guards against a zone that is reported with an earlier
// evacuation than its last one.
func TestReturnedZones(t *testing.T) {
	now := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	var l returnedZones
	l = l.update(now, 2, []ident.Zone{"a", "b"}, []ident.Zone{"b"})
	l = l.update(now.Add(time.Second), 4, []ident.Zone{"a", "b"}, nil)
	got := l.records(now.Add(2 * time.Second))
	want := []ReturnedZoneRecord{
		{Zone: "a", Revision: 4, Age: time.Second},
		{Zone: "b", Revision: 4, Age: time.Second},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestReplayedEvacuation guards against targets that count as cold after a loss of
// all power, because control hosts that replay their log take the end of an old
// evacuation for a new one.
func TestReplayedEvacuation(t *testing.T) {
	r, manual := newTestRegistry(t)
	for revision := range ident.Revision(20) {
		zones := [][]ident.Zone{nil, {"z"}}[revision%2]
		r.Handle(published{revision: revision + 1, state: scheme.NewDesiredState(1, nil, zones)})
		manual.Advance(10 * time.Millisecond)
	}
	r.Handle(published{revision: 21, state: scheme.NewDesiredState(1, nil, nil)})
	if got := r.heartbeat(testHeartbeat("a", true)).Returned; len(got) != 0 {
		t.Errorf("zones reported as returned: %v", got)
	}
}
