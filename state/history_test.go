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

// An operator who goes back to an earlier version needs its text, also after
// a deletion; the history must not grow without bound.
func TestHistory(t *testing.T) {
	b := newBench(t)
	for i := range 60 {
		if err := b.put(fmt.Sprint("r", i), fmt.Sprintf(pilots, i+1)).Err(); err != nil {
			t.Fatal(err)
		}
	}
	versions := b.machine.History(prof.KindTeam, "pilots")
	last := versions[len(versions)-1]
	if len(versions) != 50 || versions[0].Source() != fmt.Sprintf(pilots, 11) || last.Source() != fmt.Sprintf(pilots, 60) ||
		last.Request() != "r59" || !last.At().Equal(b.now) {
		t.Errorf("got %d versions from %+v to %+v", len(versions), versions[0], last)
	}
	old, _ := b.machine.Config().Document(prof.KindTeam, "pilots")
	b.must(state.NewDeleteDocument("d", old.Revision(), prof.KindTeam, "pilots"))
	versions = b.machine.History(prof.KindTeam, "pilots")
	if last := versions[len(versions)-1]; !last.Deleted() || versions[len(versions)-2].Source() != fmt.Sprintf(pilots, 60) {
		t.Errorf("after the deletion: got %+v", last)
	}
	large := fmt.Sprintf(pilots, 1) + "# " + strings.Repeat("x", 3<<20)
	for i := range 3 {
		if err := b.put(fmt.Sprint("l", i), large).Err(); err != nil {
			t.Fatal(err)
		}
	}
	if versions := b.machine.History(prof.KindTeam, "pilots"); len(versions) != 1 {
		t.Errorf("got %d large versions, want 1", len(versions))
	}
}

// An entry host that applies a command twice, out of order or without a
// change would leave the path of the control hosts.
func TestReplayRefuses(t *testing.T) {
	b := newBench(t)
	config := b.machine.Config()
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
	if o := b.machine.Apply(b.machine.Revision(), join); o.Reason() != state.ReasonStaleRevision {
		t.Errorf("machine: got %+v, want a stale revision", o)
	}
}

// A withdrawal at no time would leave the key valid; a time beyond what 64
// bits hold would wrap into the past.
func TestTimes(t *testing.T) {
	b := newBench(t)
	b.must(state.NewIssueKey("a", "k", "pilots", [32]byte{1}))
	for _, c := range []struct {
		name string
		at   time.Time
	}{
		{"no time", time.Time{}}, {"1970", time.Unix(0, 0)}, {"before 1970", time.Unix(-5, 0)},
	} {
		o := b.machine.Apply(b.machine.Revision()+1, state.Stamp(state.NewWithdrawKey("b", state.AnyRevision, "k"), c.at))
		if o.Reason() != state.ReasonInvalid {
			t.Errorf("%s: got %+v, want a refusal", c.name, o)
		}
	}
	far := time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)
	b.must(state.NewPlanDrain("c", 0, "d", state.ZoneScope("gulf-a"), start, far))
	if d, _ := b.machine.Config().Drain("d"); d.Until().Year() != 2262 {
		t.Errorf("got a drain until %v, want one until 2262", d.Until())
	}
}

// A suspicion that shrinks would let a request crash more targets.
func TestSuspects(t *testing.T) {
	b := newBench(t)
	print := ident.Fingerprint{1}
	end := start.Add(time.Hour)
	b.must(state.NewMarkSuspect(print, 2, end))
	b.must(state.NewMarkSuspect(print, 1, end.Add(-time.Minute)))
	if s, _ := b.machine.Config().Suspect(print); s.Crashes() != 2 || !s.Until().Equal(end) {
		t.Errorf("got %+v, want 2 crashes until %v", s, end)
	}
	b.now = end
	b.must(state.NewMarkSuspect(ident.Fingerprint{2}, 1, end.Add(time.Hour)))
	if got := len(b.machine.Config().Suspects()); got != 1 {
		t.Errorf("got %d suspects, want only the one in force", got)
	}
}

// A look-up by host must find the service whatever the port and the letters,
// and follow a change of the hosts.
func TestServiceByHost(t *testing.T) {
	b := newBench(t)
	moved := strings.Replace(fmt.Sprintf(lateText, "first.test", "bulk"), "first.test", "first.test, second.test", 1)
	for i, text := range []string{moved, fmt.Sprintf(lateText, "'2001:db8::1'", "bulk")} {
		if err := b.put(fmt.Sprint("p", i), text).Err(); err != nil {
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
		if s, ok := b.machine.Config().ServiceByHost(c.host); ok {
			name = s.Name()
		}
		if name != c.want {
			t.Errorf("%q: got service %q, want %q", c.host, name, c.want)
		}
	}
}
