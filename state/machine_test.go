package state_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// harness applies commands to a Machine and assigns revisions and timestamps,
// as the control leader does.
type harness struct {
	t       testing.TB
	machine *state.Machine
	now     time.Time
}

// newHarness returns a harness whose Machine holds the sample documents.
func newHarness(t testing.TB) *harness {
	t.Helper()
	h := &harness{t: t, machine: state.NewMachine(), now: start}
	samples, err := codec.Samples()
	if err != nil {
		t.Fatal(err)
	}
	for i, s := range samples {
		h.mustApply(state.NewPutDocument(ident.RequestID(fmt.Sprint("sample-", i)), 0, s.Document(), s.Source()))
	}
	return h
}

func (h *harness) apply(c state.Command) state.Outcome {
	h.now = h.now.Add(time.Second)
	return h.machine.Apply(h.machine.Revision()+1, state.Stamp(c, h.now))
}

func (h *harness) mustApply(c state.Command) state.Outcome {
	h.t.Helper()
	o := h.apply(c)
	if err := o.Err(); err != nil {
		h.t.Fatalf("%s: %v", c.Kind(), err)
	}
	return o
}

func (h *harness) decode(text string) prof.Document {
	h.t.Helper()
	d, err := codec.DecodeDocument([]byte(text))
	if err != nil {
		h.t.Fatal(err)
	}
	return d
}

func (h *harness) putDocument(request string, text string) state.Outcome {
	h.t.Helper()
	d := h.decode(text)
	old, _ := h.machine.Config().Document(d.Kind(), d.Name())
	return h.apply(state.NewPutDocument(ident.RequestID(request), old.Revision(), d, text))
}

func member(host string, incarnation ident.Incarnation) state.Member {
	return state.NewMember(ident.Host(host), incarnation, "gulf-a", "gulf", "10.0.0.1:443", "10.0.0.1:7000")
}

const (
	smallFleet  = "kind: fleet\nname: fleet\nregions:\n  - name: gulf\n    zones: [gulf-a]\n"
	serviceText = "kind: service\nname: late\nprofile: signals\nhosts: [%s]\nroutes:\n  - prefix: /\n    methods: [GET]\n    class: %s\n"
)

// Guards against accepting a command that is invalid or inconsistent with
// other documents. Such a change would break requests that were served before.
func TestCrossChecks(t *testing.T) {
	del := func(kind prof.Kind, name string) func(*harness) state.Outcome {
		return func(h *harness) state.Outcome {
			d, _ := h.machine.Config().Document(kind, name)
			return h.apply(state.NewDeleteDocument("x", d.Revision(), kind, name))
		}
	}
	put := func(text string) func(*harness) state.Outcome {
		return func(h *harness) state.Outcome { return h.putDocument("x", text) }
	}
	do := func(c state.Command) func(*harness) state.Outcome {
		return func(h *harness) state.Outcome { return h.apply(c) }
	}
	long := ident.RequestID(strings.Repeat("r", 256))
	claim := func(id ident.RequestID) func(*harness) state.Outcome {
		return func(h *harness) state.Outcome {
			h.mustApply(state.NewJoin(member("edge-1", 1)))
			return h.apply(state.NewClaim(once.NewKey("pilots", id), ident.Fingerprint{}, once.NewHolder("edge-1", 1, 1)))
		}
	}
	cases := []struct {
		name string
		do   func(*harness) state.Outcome
		want state.Reason
	}{
		{"region of a profile leaves the fleet", put(smallFleet), state.ReasonInUse},
		{"fleet of a profile deleted", del(prof.KindFleet, "fleet"), state.ReasonInUse},
		{"profile of a service deleted", del(prof.KindProfile, "signals"), state.ReasonInUse},
		{"team without a policy deleted", del(prof.KindTeam, "pilots"), ""},
		{"team with a policy deleted", del(prof.KindTeam, "captains"), state.ReasonInUse},
		{"service deleted", del(prof.KindService, "bells"), ""},
		{"missing document deleted", del(prof.KindService, "none"), state.ReasonUnknownDocument},
		{"profile with an unknown region", put("kind: profile\nname: p\nregions: [mars]\nclasses:\n  - name: a\n"), state.ReasonUnknownRegion},
		{"profile with an unknown team", put("kind: profile\nname: p\nregions: [gulf]\nclasses:\n  - name: a\nteams:\n  - team: nobody\n    weight: 1\n    class: a\n"),
			state.ReasonUnknownTeam},
		{"class of a service leaves the profile", put("kind: profile\nname: signals\nregions: [gulf]\nclasses:\n  - name: a\n"), state.ReasonInUse},
		{"service with an unknown profile", put("kind: service\nname: late\nprofile: p\nhosts: [late.test]\nroutes:\n  - prefix: /\n    methods: [GET]\n"),
			state.ReasonUnknownProfile},
		{"service with an unknown class", put(fmt.Sprintf(serviceText, "late.test", "none")), state.ReasonUnknownClass},
		{"service with the host of another", put(fmt.Sprintf(serviceText, "bells.test", "bulk")), state.ReasonHostTaken},
		{"new service", put(fmt.Sprintf(serviceText, "late.test", "bulk")), ""},
		{"key of an unknown team", do(state.NewIssueKey("x", "k", "nobody", [32]byte{})), state.ReasonUnknownTeam},
		{"unknown key withdrawn", do(state.NewWithdrawKey("x", 0, "k")), state.ReasonUnknownKey},
		{"drain of an unknown zone", do(state.NewPlanDrain("x", 0, "d", state.ZoneScope("mars-a"), start, time.Time{})), state.ReasonUnknownZone},
		{"drain of an unknown region", do(state.NewPlanDrain("x", 0, "d", state.RegionScope("mars"), start, time.Time{})), state.ReasonUnknownRegion},
		{"drain that ends before it starts", do(state.NewPlanDrain("x", 0, "d", state.ZoneScope("gulf-a"), start, start)), state.ReasonInvalid},
		{"drain of a target", do(state.NewPlanDrain("x", 0, "d", state.TargetScope("t"), start, time.Time{})), ""},
		{"shares of an unknown service", do(state.NewSetShares("none", "gulf", nil)), state.ReasonUnknownService},
		{"shares to an unknown region", do(state.NewSetShares("bells", "gulf", []state.Share{state.NewShare("mars", 1)})), state.ReasonUnknownRegion},
		{"shares below 1", do(state.NewSetShares("bells", "gulf", []state.Share{state.NewShare("gulf", 0.9)})), state.ReasonInvalid},
		{"one region twice", do(state.NewSetShares("bells", "gulf", []state.Share{state.NewShare("gulf", 0.5), state.NewShare("gulf", 0.5)})), state.ReasonInvalid},
		{"role for no member", do(state.NewAssignRole("slots/gulf", "edge-9", 1)), state.ReasonUnknownHost},
		{"suspect that has expired", do(state.NewMarkSuspect(ident.Fingerprint{1}, 1, start)), state.ReasonInvalid},
		{"operator without a request id", do(state.NewIssueKey("", "k", "pilots", [32]byte{})), state.ReasonInvalid},
		{"operator with a long request id", do(state.NewIssueKey(long, "k", "pilots", [32]byte{})), state.ReasonInvalid},
		{"claim without a request id", claim(""), state.ReasonInvalid},
		{"claim with a long request id", claim(long), state.ReasonInvalid},
		{"claim", claim("r"), ""},
		{"claim by no member", do(state.NewClaim(once.NewKey("pilots", "r"), ident.Fingerprint{}, once.NewHolder("edge-9", 1, 1))), state.ReasonUnknownHost},
	}
	for _, c := range cases {
		h := newHarness(t)
		before := h.machine.Config()
		o := c.do(h)
		if o.Reason() != c.want || (c.want == "") != o.Changed() || (c.want == "") != (o.Status() == state.Accepted) {
			t.Errorf("%s: got %s %q %s, want reason %q", c.name, o.Status(), o.Reason(), o.Detail(), c.want)
		}
		if c.want != "" && len(h.machine.Config().Members()) == 0 && h.machine.Config() != before {
			t.Errorf("%s: a refused command changed the configuration", c.name)
		}
	}
}

const pilotsText = "kind: team\nname: pilots\nrate: %d\nburst: 10\n"

// Guards against a lost update when two operators edit the same version, and
// against applying a change twice when an operator retries after a lost
// response.
func TestOperatorCommands(t *testing.T) {
	h := newHarness(t)
	old, _ := h.machine.Config().Document(prof.KindTeam, "pilots")
	edit := func(request string, rate int) state.Outcome {
		text := fmt.Sprintf(pilotsText, rate)
		return h.apply(state.NewPutDocument(ident.RequestID(request), old.Revision(), h.decode(text), text))
	}
	first := edit("a", 1)
	second := edit("b", 2)
	if first.Status() != state.Accepted || second.Status() != state.Conflict ||
		second.Current() != first.Revision() || second.CurrentSource() != fmt.Sprintf(pilotsText, 1) {
		t.Fatalf("got %+v and %+v, want the second in conflict with the first", first, second)
	}
	third := h.putDocument("c", fmt.Sprintf(pilotsText, 3))
	cases := []struct {
		name    string
		request string
		rate    int
		want    state.Outcome
	}{
		{"accepted command retried", "a", 1, first},
		{"conflict retried", "b", 2, second},
		{"other command under the id", "a", 4, state.NewOutcome(state.Refused, first.Revision(), state.WithReason(state.ReasonRequestReused, ""))},
	}
	for _, c := range cases {
		got := edit(c.request, c.rate)
		if got.Status() != c.want.Status() || got.Revision() != c.want.Revision() || got.Current() != c.want.Current() ||
			got.CurrentSource() != c.want.CurrentSource() || got.Reason() != c.want.Reason() || got.Changed() || got.Shared() {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
	team, _ := h.machine.Config().Team("pilots")
	if team.Rate() != 3 || h.machine.Config().Revision() != third.Revision() {
		t.Errorf("got rate %v at revision %d, want 3 at %d", team.Rate(), h.machine.Config().Revision(), third.Revision())
	}
	h.now = h.now.Add(24 * time.Hour)
	if o := edit("a", 1); o.Status() != state.Conflict {
		t.Errorf("retry after 24 h: got %+v, want a conflict", o)
	}
}

// Guards against a withdrawn key that becomes valid again, by a second
// withdrawal or by issuing its ID again.
func TestKeys(t *testing.T) {
	h := newHarness(t)
	h.mustApply(state.NewIssueKey("a", "k1", "pilots", [32]byte{1}))
	h.mustApply(state.NewWithdrawKey("b", state.AnyRevision, "k1"))
	key, _ := h.machine.Config().Key("k1")
	if key.Valid() || !key.WithdrawnAt().Equal(h.now) {
		t.Errorf("got %+v, want a withdrawn key", key)
	}
	if o := h.apply(state.NewWithdrawKey("c", state.AnyRevision, "k1")); o.Err() != nil || o.Changed() {
		t.Errorf("second withdrawal: got %+v, want accepted without a change", o)
	}
	if o := h.apply(state.NewIssueKey("d", "k1", "pilots", [32]byte{2})); o.Status() != state.Conflict {
		t.Errorf("same id issued again: got %+v, want a conflict", o)
	}
	h.now = h.now.Add(30 * 24 * time.Hour)
	h.mustApply(state.NewIssueKey("e", "k2", "pilots", [32]byte{3}))
	if _, ok := h.machine.Config().Key("k1"); ok {
		t.Error("a key withdrawn 30 days ago is still retained")
	}
}

// Guards against a process that keeps its roles or running claims after it has
// ended, or that rejoins with its old incarnation.
func TestProcessEnds(t *testing.T) {
	key, holder := once.NewKey("pilots", "r1"), once.NewHolder("edge-1", 5, 1)
	cases := []struct {
		name   string
		end    state.Command
		claim  once.State
		role   ident.Host
		rejoin state.Reason // reason for refusing a join with the old incarnation
	}{
		{"leaves", state.NewLeave("edge-1", 5), once.Running, "edge-1", ""},
		{"expires", state.NewExpire("edge-1", 5), once.OutcomeUnknown, "", state.ReasonStaleIncarnation},
		{"restarts", state.NewJoin(member("edge-1", 6)), once.OutcomeUnknown, "", state.ReasonStaleIncarnation},
		{"joins again", state.NewJoin(member("edge-1", 5)), once.Running, "edge-1", ""},
		{"late expiry of an earlier process", state.NewExpire("edge-1", 4), once.Running, "edge-1", ""},
	}
	for _, c := range cases {
		h := newHarness(t)
		h.mustApply(state.NewJoin(member("edge-1", 5)))
		h.mustApply(state.NewAssignRole("slots/gulf", "edge-1", 3))
		h.mustApply(state.NewClaim(key, ident.Fingerprint{1}, holder))
		h.apply(c.end)
		status, _ := h.machine.Claims().Lookup(key)
		role, _ := h.machine.Config().Role("slots/gulf")
		if status.State() != c.claim || role.Host() != c.role || role.Epoch() != 3 {
			t.Errorf("%s: got claim %s and role %+v", c.name, status.State(), role)
		}
		if o := h.apply(state.NewJoin(member("edge-1", 5))); o.Reason() != c.rejoin {
			t.Errorf("%s: old process joins: got %+v, want reason %q", c.name, o, c.rejoin)
		}
	}
}

// Guards against two holders of one role, which would grant the same capacity
// twice. An assignment must have a greater epoch and a live holder.
func TestRoleEpochs(t *testing.T) {
	h := newHarness(t)
	h.mustApply(state.NewJoin(member("edge-1", 1)))
	h.mustApply(state.NewJoin(member("edge-2", 1)))
	h.mustApply(state.NewAssignRole("rates/0", "edge-1", 4))
	h.mustApply(state.NewLeave("edge-2", 1))
	cases := []struct {
		name  string
		host  ident.Host
		epoch ident.Epoch
		want  state.Reason
	}{
		{"same epoch", "edge-1", 4, state.ReasonStaleEpoch},
		{"earlier epoch", "edge-1", 3, state.ReasonStaleEpoch},
		{"leaving host", "edge-2", 5, state.ReasonUnknownHost},
		{"made vacant", "", 5, ""},
		{"next", "edge-1", 6, ""},
	}
	for _, c := range cases {
		if o := h.apply(state.NewAssignRole("rates/0", c.host, c.epoch)); o.Reason() != c.want {
			t.Errorf("%s: got %+v, want reason %q", c.name, o, c.want)
		}
	}
}

// Guards against host names and shares that remain after their service is
// deleted: the host names would be unavailable to other services, and the
// shares would apply to a later service with the same name.
func TestServiceDeleted(t *testing.T) {
	h := newHarness(t)
	h.mustApply(state.NewSetShares("bells", "gulf", []state.Share{state.NewShare("bay", 1)}))
	h.mustApply(state.NewSetShares("charts", "gulf", []state.Share{state.NewShare("bay", 1)}))
	old, _ := h.machine.Config().Document(prof.KindService, "bells")
	h.mustApply(state.NewDeleteDocument("d", old.Revision(), prof.KindService, "bells"))
	if shares := h.machine.Config().AllShares(); len(shares) != 1 || shares[0].Service() != "charts" {
		t.Errorf("got shares %+v, want those of charts only", shares)
	}
	if err := h.putDocument("p", fmt.Sprintf(serviceText, "bells.test", "bulk")).Err(); err != nil {
		t.Errorf("another service takes the host: %v", err)
	}
}

// Guards against a process that becomes live again when it repeats its join
// while it shuts down. It would be assigned new work.
func TestLeavingStays(t *testing.T) {
	h := newHarness(t)
	h.mustApply(state.NewJoin(member("edge-1", 1)))
	h.mustApply(state.NewLeave("edge-1", 1))
	h.mustApply(state.NewJoin(state.NewMember("edge-1", 1, "gulf-b", "gulf", "10.0.0.1:443", "10.0.0.1:7000")))
	if m, _ := h.machine.Config().Member("edge-1"); m.Live() || m.Zone() != "gulf-b" {
		t.Errorf("got %+v, want a leaving member in its new zone", m)
	}
}
