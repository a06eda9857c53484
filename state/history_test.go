package state_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

// Guards against a history that loses the source texts operators need for a
// rollback, also after a deletion, or that grows without bound.
func TestHistory(t *testing.T) {
	h := newHarness(t)
	for i := range 60 {
		if err := h.putDocument(fmt.Sprint("r", i), fmt.Sprintf(pilotsText, i+1)).Err(); err != nil {
			t.Fatal(err)
		}
	}
	versions := h.machine.History(prof.KindTeam, "pilots")
	last := versions[len(versions)-1]
	if len(versions) != 50 || versions[0].Source() != fmt.Sprintf(pilotsText, 11) || last.Source() != fmt.Sprintf(pilotsText, 60) ||
		last.Request() != "r59" || !last.At().Equal(h.now) {
		t.Errorf("got %d versions from %+v to %+v", len(versions), versions[0], last)
	}
	old, _ := h.machine.Config().Document(prof.KindTeam, "pilots")
	h.mustApply(state.NewDeleteDocument("d", old.Revision(), prof.KindTeam, "pilots"))
	versions = h.machine.History(prof.KindTeam, "pilots")
	if last := versions[len(versions)-1]; !last.Deleted() || versions[len(versions)-2].Source() != fmt.Sprintf(pilotsText, 60) {
		t.Errorf("after the deletion: got %+v", last)
	}
	large := fmt.Sprintf(pilotsText, 1) + "# " + strings.Repeat("x", 3<<20)
	for i := range 3 {
		if err := h.putDocument(fmt.Sprint("l", i), large).Err(); err != nil {
			t.Fatal(err)
		}
	}
	if versions := h.machine.History(prof.KindTeam, "pilots"); len(versions) != 1 {
		t.Errorf("got %d large versions, want 1", len(versions))
	}
}

// Guards against an entry host whose Config diverges from the control hosts
// because it replays a command that it must reject: one that was already
// applied, is out of order, changes nothing or was refused.
func TestReplayRefuses(t *testing.T) {
	h := newHarness(t)
	config := h.machine.Config()
	next := config.Revision() + 1
	join := state.Stamp(state.NewJoin(member("edge-1", 1)), start)
	joined, err := state.Replay(config, next, join)
	if err != nil {
		t.Fatal(err)
	}
	var stale *state.StaleRevisionError
	var refused *state.OutcomeError
	cases := []struct {
		name     string
		config   *state.Config
		revision ident.Revision
		command  state.Command
		want     func(error) bool
	}{
		{"revision that is applied", joined, next, join, func(err error) bool { return errors.As(err, &stale) }},
		{"earlier revision", joined, 1, join, func(err error) bool { return errors.As(err, &stale) }},
		{"command without a change", joined, next + 1, join, func(err error) bool { return err != nil }},
		{"refused command", joined, next + 1, state.Stamp(state.NewLeave("edge-2", 1), start), func(err error) bool { return errors.As(err, &refused) }},
		{"command without a time", joined, next + 1, state.NewLeave("edge-1", 1), func(err error) bool { return err != nil }},
		{"claim", joined, next + 1, state.Claim{}, func(err error) bool { return errors.Is(err, state.ErrNotShared) }},
	}
	for _, c := range cases {
		if _, err := state.Replay(c.config, c.revision, c.command); !c.want(err) {
			t.Errorf("%s: got error %v", c.name, err)
		}
	}
	if o := h.machine.Apply(h.machine.Revision(), join); o.Reason() != state.ReasonStaleRevision {
		t.Errorf("machine: got %+v, want a stale revision", o)
	}
}

// Guards against a withdrawal at the zero time, which would leave the key
// valid, and against a time that overflows 64-bit nanoseconds and wraps into
// the past.
func TestTimes(t *testing.T) {
	h := newHarness(t)
	h.mustApply(state.NewIssueKey("a", "k", "pilots", [32]byte{1}))
	for _, c := range []struct {
		name string
		at   time.Time
	}{
		{"no time", time.Time{}}, {"1970", time.Unix(0, 0)}, {"before 1970", time.Unix(-5, 0)},
	} {
		o := h.machine.Apply(h.machine.Revision()+1, state.Stamp(state.NewWithdrawKey("b", state.AnyRevision, "k"), c.at))
		if o.Reason() != state.ReasonInvalid {
			t.Errorf("%s: got %+v, want a refusal", c.name, o)
		}
	}
	far := time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)
	h.mustApply(state.NewPlanDrain("c", 0, "d", state.ZoneScope("gulf-a"), start, far))
	if d, _ := h.machine.Config().Drain("d"); d.Until().Year() != 2262 {
		t.Errorf("got a drain until %v, want one until 2262", d.Until())
	}
}

// Guards against a later MarkSuspect that decreases the crash count or the
// expiry time, which would let the request crash more targets.
func TestSuspects(t *testing.T) {
	h := newHarness(t)
	fingerprint := ident.Fingerprint{1}
	end := start.Add(time.Hour)
	h.mustApply(state.NewMarkSuspect(fingerprint, 2, end))
	h.mustApply(state.NewMarkSuspect(fingerprint, 1, end.Add(-time.Minute)))
	if s, _ := h.machine.Config().Suspect(fingerprint); s.Crashes() != 2 || !s.Until().Equal(end) {
		t.Errorf("got %+v, want 2 crashes until %v", s, end)
	}
	h.now = end
	h.mustApply(state.NewMarkSuspect(ident.Fingerprint{2}, 1, end.Add(time.Hour)))
	if got := len(h.machine.Config().Suspects()); got != 1 {
		t.Errorf("got %d suspects, want 1 that has not expired", got)
	}
}

// Guards against lookups by host that depend on the port or on upper case,
// or that return a service which no longer has the host.
func TestServiceByHost(t *testing.T) {
	h := newHarness(t)
	moved := strings.Replace(fmt.Sprintf(serviceText, "first.test", "bulk"), "first.test", "first.test, second.test", 1)
	for i, text := range []string{moved, fmt.Sprintf(serviceText, "'2001:db8::1'", "bulk")} {
		if err := h.putDocument(fmt.Sprint("p", i), text).Err(); err != nil {
			t.Fatal(err)
		}
	}
	cases := []struct {
		host, want string
	}{
		{"bells.test", "bells"}, {"BELLS.test:8443", "bells"}, {"bells.test.", "bells"}, {"timetable.test", "schedules"},
		{"[2001:db8::1]:443", "late"}, {"[2001:db8::1]", "late"}, {"2001:db8::1", "late"},
		{"first.test", ""}, {"second.test", ""}, {"", ""}, {":80", ""}, {"[", ""},
	}
	for _, c := range cases {
		name := ""
		if s, ok := h.machine.Config().ServiceByHost(c.host); ok {
			name = s.Name()
		}
		if name != c.want {
			t.Errorf("%q: got service %q, want %q", c.host, name, c.want)
		}
	}
}
