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

// known returns the reply of a control host with the zones that are evacuated at a
// revision.
func known(revision uint64, zones []string) []HeartbeatReplyRecord {
	return []HeartbeatReplyRecord{{HasState: true, Revision: revision, Zones: zones}}
}

// TestMissedEvacuation guards against a flood of requests to the cold targets of
// a zone by entry hosts that never knew of its evacuation, because they started
// or got in contact after its end.
func TestMissedEvacuation(t *testing.T) {
	state := func(zones ...ident.Zone) scheme.DesiredState { return scheme.NewDesiredState(1, nil, zones) }
	cases := []struct {
		name string
		// known are the replies of other control hosts, which report no ends, that
		// the entry host has received before.
		known []HeartbeatReplyRecord
		after time.Duration
		want  bool
	}{
		{"host that has just started", nil, time.Second, true},
		{"host that was out of contact", known(1, nil), time.Second, true},
		{"host that saw the end", append(known(2, []string{"z"}), known(3, nil)...), time.Second, false},
		{"host that heard first from a control host that had restarted", known(3, nil), time.Second, true},
		{"host that heard of a later revision first", known(9, nil), time.Second, true},
		{"long after the end", nil, returnedLifetime, false},
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
				fetcher: spawn(t, discard),
			}
			for _, record := range c.known {
				client.applyState(&peer{}, record)
			}
			clear(l.at)
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
