package state

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// Guards against retained outcomes that grow without bound or that are evicted
// in another order than oldest first.
func TestRequestsAreBounded(t *testing.T) {
	r := newRequests()
	command := func(i int) OperatorCommand { return NewWithdrawKey(ident.RequestID(fmt.Sprint("r", i)), 1, "k") }
	for i := range maxRequests + 1 {
		r.record(command(i), accept(true))
	}
	_, first := r.find(command(0))
	_, second := r.find(command(1))
	if r.order.Len() != maxRequests || len(r.byID) != maxRequests || first || !second {
		t.Errorf("got %d outcomes, first retained: %v, second retained: %v", r.order.Len(), first, second)
	}
}

// Guards against a conflict or a refusal that is reported as success, so that
// the operator assumes a change that is not in force.
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

// Guards against a drain that is active outside its period, which would keep
// requests from healthy targets, or inactive within it, which would send
// requests to targets that are shut down.
func TestDrainTimes(t *testing.T) {
	from := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	until := from.Add(time.Hour)
	cases := []struct {
		name   string
		until  time.Time
		state  DrainState
		at     time.Time
		active bool
		pruned bool // by the next PlanDrain
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
		retained := pruneDrains(tree[DrainID, Drain]{}.set("d", d), c.at).len() == 1
		if d.Active(c.at) != c.active || retained == c.pruned {
			t.Errorf("%s: got active %v, retained %v", c.name, d.Active(c.at), retained)
		}
	}
}
