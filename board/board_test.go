package board

import (
	"testing"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// TestBoard guards against replicas that diverge: one applies all commands, the
// other restores a snapshot and applies the commands after it.
func TestBoard(t *testing.T) {
	type testCommand struct {
		data    []byte
		changes bool
	}
	must := func(data []byte, err error) []byte {
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	commands := []testCommand{
		{must(EncodePut(5, []byte("five"), Origin{})), true},
		{must(EncodePut(4, []byte("four"), Origin{})), false},
		{must(EncodeEvacuate("a", true, Origin{})), true},
		{must(EncodeEvacuate("a", true, Origin{})), false},
		{must(EncodePut(9, []byte("nine"), Origin{})), true},
		{must(EncodeEvacuate("b", true, Origin{})), true},
		{must(EncodeEvacuate("a", false, Origin{})), true},
	}
	var last scheme.DesiredState
	notify := func(_ ident.Revision, s scheme.DesiredState) { last = s }
	first := New(notify)
	var snapshot []byte
	for i, command := range commands {
		if got := first.Apply(ident.Revision(i+1), command.data); got != command.changes {
			t.Errorf("command %d: changed %v, want %v", i, got, command.changes)
		}
		if i == 3 {
			data, err := first.Snapshot()()
			if err != nil {
				t.Fatal(err)
			}
			snapshot = data
		}
	}
	want := last
	second := New(notify)
	if err := second.Restore(4, snapshot); err != nil {
		t.Fatal(err)
	}
	for i, command := range commands[4:] {
		second.Apply(ident.Revision(i+5), command.data)
	}
	if last.Version() != 9 || last.Version() != want.Version() || string(last.Source()) != string(want.Source()) ||
		len(last.Evacuated()) != 1 || last.Evacuated()[0] != "b" {
		t.Errorf("after the snapshot: %+v, want %+v", last, want)
	}
	if _, ok := second.Apply(8, []byte("rubbish")).(error); !ok {
		t.Error("an undecodable command was applied")
	}
	if err := second.Restore(9, []byte("rubbish")); err == nil {
		t.Error("an undecodable snapshot was restored")
	}
}
