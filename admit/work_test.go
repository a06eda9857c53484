package admit

import (
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// TestWork guards against accepted requests that are not counted, or are counted
// after their end, and against bytes that are counted twice.
func TestWork(t *testing.T) {
	controller := newTestController(t, 60)
	states := map[string]*RequestState{}
	admitted := func(name string) func() {
		return func() {
			d := controller.Admit(start, request("/o/1", "", 0))
			states[name] = d.State()
		}
	}
	steps := []struct {
		name string
		do   func()
		want Work
	}{
		{"size unknown", admitted("first"), Work{requests: 1}},
		{"refused", func() { controller.Admit(start, request("/b/1", "", 0)) }, Work{requests: 1}},
		{
			"begun with a length", func() { controller.ResponseBegun(states["first"], ident.Some[int64](1000)) },
			Work{requests: 1, begun: 1, bytes: 1000},
		},
		{"typical size", admitted("second"), Work{requests: 2, begun: 1, bytes: 2000}},
		{"retried", func() { controller.Retry(start, states["second"]) }, Work{requests: 2, begun: 1, bytes: 2000}},
		{"partly sent", func() { controller.ResponseSent(states["first"], 400) }, Work{requests: 2, begun: 1, bytes: 1600}},
		{"ended", func() { controller.RequestEnded(states["first"], true) }, Work{requests: 1, bytes: 1000}},
		{"sent after its end", func() { controller.ResponseSent(states["first"], 400) }, Work{requests: 1, bytes: 1000}},
		{
			"begun without a length", func() { controller.ResponseBegun(states["second"], ident.None[int64]()) },
			Work{requests: 1, begun: 1, bytes: 2000},
		},
		{"more than the typical size sent", func() { controller.ResponseSent(states["second"], 1500) }, Work{requests: 1, begun: 1, bytes: 500}},
		{"longer than usual", func() { controller.ResponseSent(states["second"], 3000) }, Work{requests: 1, begun: 1}},
		{"broken off", func() { controller.RequestEnded(states["second"], false) }, Work{}},
		{"size of responses that were sent", admitted("third"), Work{requests: 1, bytes: 1000}},
		{"short response", func() { controller.RequestEnded(states["third"], true) }, Work{}},
		{"smaller typical size", admitted("fourth"), Work{requests: 1, bytes: 900}},
	}
	for _, s := range steps {
		s.do()
		if got := controller.Work(); got != s.want {
			t.Errorf("%s: %+v, want %+v", s.name, got, s.want)
		}
	}
}

// TestStopTerms guards against a decision of a stopping host that cannot be traced:
// the time that is left and what waits for the link must be known of it.
func TestStopTerms(t *testing.T) {
	controller := newTestController(t, 60)
	d := controller.Admit(start, request("/o/1", "", 0))
	if _, ok := d.State().StopTerms().Get(); ok {
		t.Error("terms of a stop without a stop")
	}
	now := start.Add(time.Second)
	controller.RecordResult(now, d.Choice(), spread.Served, ident.None[spread.Load]())
	controller.ResponseBegun(d.State(), ident.Some[int64](1000))
	controller.StopBy(now.Add(3 * time.Second))
	got, _ := controller.Admit(now, request("/o/1", "", 0)).State().StopTerms().Get()
	want := StopTerms{left: 3 * time.Second, needed: 2 * time.Second, owed: 1000, expected: 2000}
	if got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
