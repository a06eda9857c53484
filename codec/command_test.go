package codec

import (
	"reflect"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func sampleTeam(t testing.TB) *prof.Team {
	t.Helper()
	team, err := prof.NewTeam("harbour", 12.5, 30)
	if err != nil {
		t.Fatal(err)
	}
	return team
}

// allCommands returns at least one command of each kind.
func allCommands(t testing.TB) []state.Command {
	t.Helper()
	key := once.NewKey("harbour", "bell-7")
	holder := once.NewHolder("edge-1", 4, 9)
	result := once.NewResult(201, []once.Header{once.NewHeader("Location", "/bells/7")}, []byte("rung"))
	return []state.Command{
		state.NewPutDocument("r1", 3, sampleTeam(t), "kind: team\n"),
		state.NewDeleteDocument("r2", 4, prof.KindTeam, "harbour"),
		state.NewIssueKey("r3", "k1", "harbour", [32]byte{1, 2}),
		state.NewWithdrawKey("r4", state.AnyRevision, "k1"),
		state.NewPlanDrain("r5", 0, "d1", state.ZoneScope("gulf-a"), epoch, epoch.Add(time.Hour)),
		state.NewPlanDrain("r5", 0, "d2", state.TargetScope("t1"), epoch, time.Time{}),
		state.NewCancelDrain("r6", 8, "d1"),
		state.NewSetShares("bells", "gulf", []state.Share{state.NewShare("gulf", 0.25), state.NewShare("bay", 0.75)}),
		state.NewJoin(state.NewMember("edge-1", 4, "gulf-a", "gulf", "10.0.0.1:80", "10.0.0.1:81")),
		state.NewLeave("edge-1", 4),
		state.NewExpire("edge-1", 4),
		state.NewAssignRole("slots/gulf", "edge-1", 6),
		state.NewMarkSuspect(ident.Fingerprint{7}, 2, epoch.Add(time.Minute)),
		state.NewClaim(key, ident.Fingerprint{9}, holder),
		state.NewResolve(key, holder, once.Ran(result)),
		state.NewResolve(key, holder, once.Ran(once.TooLarge(200))),
		state.NewResolve(key, holder, once.NotRun()),
		state.NewResolve(key, holder, once.Unknown()),
	}
}

// Guards against a field that is lost in the encoding. Replicas that read the
// command from disk or the network would diverge.
func TestCommandRoundTrip(t *testing.T) {
	seen := ident.NewSet[string]()
	for _, c := range allCommands(t) {
		want := state.Stamp(c, epoch)
		seen.Add(want.Kind())
		data, err := EncodeCommand(want)
		if err != nil {
			t.Fatalf("%s: %v", want.Kind(), err)
		}
		got, err := DecodeCommand(data)
		if err != nil {
			t.Fatalf("%s: %v", want.Kind(), err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", want.Kind(), got, want)
		}
	}
	for kind := range commandKinds {
		if !seen.Has(kind) {
			t.Errorf("no sample of command %s", kind)
		}
	}
}
