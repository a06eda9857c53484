package state

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// The kept outcomes must stay bounded, and the oldest must go first.
func TestRequestsAreBounded(t *testing.T) {
	r := newRequests()
	command := func(i int) OperatorCommand { return NewWithdrawKey(ident.RequestID(fmt.Sprint("r", i)), 1, "k") }
	for i := range maxRequests + 1 {
		r.keep(command(i), accept(true))
	}
	_, first := r.find(command(0))
	_, second := r.find(command(1))
	if r.order.Len() != maxRequests || len(r.byID) != maxRequests || first || !second {
		t.Errorf("got %d outcomes, first kept: %v, second kept: %v", r.order.Len(), first, second)
	}
}

// A conflict that passes for success would let an operator believe in a
// change that is not in force.
func TestOutcomeErr(t *testing.T) {
	cases := []struct {
		status Status
		fails  bool
	}{
		{Accepted, false}, {Conflict, true}, {Refused, true},
	}
	for _, c := range cases {
		var e *OutcomeError
		if err := NewOutcome(c.status, 7).Err(); errors.As(err, &e) != c.fails {
			t.Errorf("%s: got error %v", c.status, err)
		}
	}
}

// A drain outside its time would keep targets from work, or give them work
// while they are shut down.
func TestDrainTimes(t *testing.T) {
	from := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	until := from.Add(time.Hour)
	cases := []struct {
		name    string
		until   time.Time
		state   DrainState
		at      time.Time
		active  bool
		dropped bool // at the next plan
	}{
		{"before", until, DrainPlanned, from.Add(-1), false, false},
		{"at the start", until, DrainPlanned, from, true, false},
		{"at the end", until, DrainPlanned, until, false, false},
		{"a day after the end", until, DrainPlanned, until.Add(drainRetention), false, true},
		{"open", time.Time{}, DrainPlanned, until.Add(drainRetention), true, false},
		{"cancelled", until, DrainCancelled, from, false, false},
		{"a day after the cancellation", until, DrainCancelled, from.Add(drainRetention), false, true},
	}
	for _, c := range cases {
		d := NewDrain("d", ZoneScope("gulf-a"), from, c.until, c.state, from, 1)
		kept := drainsAt(tree[DrainID, Drain]{}.set("d", d), c.at).len() == 1
		if d.Active(c.at) != c.active || kept == c.dropped {
			t.Errorf("%s: got active %v, kept %v", c.name, d.Active(c.at), kept)
		}
	}
}
