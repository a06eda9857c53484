package reach

import (
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
)

var start = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

// event is something that a host observes at a target.
type event struct {
	at      time.Duration
	service ident.Service
	target  ident.Target
	// contact is set for a response instead of a failure.
	contact bool
}

func (e event) apply(t *Tracker, targets int) {
	if e.contact {
		t.Contacted(start.Add(e.at), e.service, false)
		return
	}
	t.Failed(start.Add(e.at), e.service, e.target, targets)
}

// TestCutOff guards against a host that does not notice that its path to the
// targets is lost, and against one that takes failed targets for a lost path.
func TestCutOff(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name    string
		targets int
		events  []event
		cutOff  []ident.Service
	}{
		{"nothing known", 5, nil, nil},
		{"two targets fail", 5, []event{{0, "s", "s1", false}, {9 * ms, "s", "s2", false}}, nil},
		{"one target fails again and again", 5, []event{{0, "s", "s1", false}, {ms, "s", "s1", false}, {2 * ms, "s", "s1", false}}, nil},
		{
			"three targets of a service fail", 5,
			[]event{{0, "s", "s1", false}, {ms, "s", "s2", false}, {ms, "u", "", true}, {2 * ms, "s", "s3", false}},
			[]ident.Service{"s"},
		},
		{
			"another target responds in between", 5,
			[]event{{0, "s", "s1", false}, {ms, "s", "s2", false}, {2 * ms, "s", "", true}, {3 * ms, "s", "s3", false}}, nil,
		},
		{
			"targets of three services fail", 5,
			[]event{{0, "s", "s1", false}, {ms, "u", "u1", false}, {2 * ms, "v", "v1", false}},
			[]ident.Service{"s", "u", "v", "w"},
		},
		{
			"failures far apart", 5,
			[]event{{0, "s", "s1", false}, {6000 * ms, "s", "s2", false}, {12000 * ms, "s", "s3", false}}, nil,
		},
		{"all of two targets fail", 2, []event{{0, "s", "s1", false}, {ms, "s", "s2", false}}, []ident.Service{"s"}},
		{
			"contact ends it", 5,
			[]event{{0, "s", "s1", false}, {ms, "s", "s2", false}, {2 * ms, "s", "s3", false}, {3 * ms, "s", "", true}}, nil,
		},
		{
			"contact to another service", 5,
			[]event{{0, "s", "s1", false}, {ms, "s", "s2", false}, {2 * ms, "s", "s3", false}, {3 * ms, "u", "", true}},
			[]ident.Service{"s"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			for _, e := range c.events {
				e.apply(tracker, c.targets)
			}
			var got []ident.Service
			for _, s := range []ident.Service{"s", "u", "v", "w"} {
				if tracker.IsCutOff(s) {
					got = append(got, s)
				}
			}
			if !slices.Equal(got, c.cutOff) {
				t.Errorf("cut off from %v, want %v", got, c.cutOff)
			}
		})
	}
}

// TestProbes guards against a host that never learns that its path is back, and
// against probes beside ordinary traffic, which cost connections.
func TestProbes(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name    string
		observe func(*Tracker)
		at      time.Duration
		want    []ident.Service
	}{
		{"nothing known", func(*Tracker) {}, time.Second, nil},
		{"target fails beside traffic", func(k *Tracker) {
			k.Contacted(start, "s", false)
			k.Failed(start.Add(ms), "s", "s1", 5)
		}, 200 * ms, nil},
		{"target fails and nothing follows", func(k *Tracker) {
			k.Contacted(start, "s", false)
			k.Failed(start.Add(ms), "s", "s1", 5)
		}, 400 * ms, []ident.Service{"s"}},
		{"target fails beside traffic to another service", func(k *Tracker) {
			k.Failed(start.Add(ms), "s", "s1", 5)
			k.Contacted(start.Add(200*ms), "u", false)
		}, 400 * ms, nil},
		{"connection breaks and nothing follows", func(k *Tracker) {
			k.Contacted(start, "s", false)
			k.ConnectionLost(start, "s")
		}, 400 * ms, []ident.Service{"s"}},
		{"connection broke long ago", func(k *Tracker) {
			k.ConnectionLost(start, "s")
		}, time.Minute, nil},
		{"probed a short time ago", func(k *Tracker) {
			k.Failed(start, "s", "s1", 1)
			k.TakeProbes(start.Add(300 * ms))
		}, 400 * ms, nil},
		{"still out of reach", func(k *Tracker) {
			k.Failed(start, "s", "s1", 1)
			k.TakeProbes(start.Add(300 * ms))
		}, 700 * ms, []ident.Service{"s"}},
		{"within reach again", func(k *Tracker) {
			k.Failed(start, "s", "s1", 1)
			k.Contacted(start.Add(300*ms), "s", false)
		}, 700 * ms, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := NewTracker()
			c.observe(k)
			if got := k.TakeProbes(start.Add(c.at)); !slices.Equal(got, c.want) {
				t.Errorf("probes of %v, want %v", got, c.want)
			}
		})
	}
}
