package board

import (
	"testing"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// TestBoard guards against replicas that come to different states: by orders,
// and by a snapshot with the orders after it.
func TestBoard(t *testing.T) {
	type order struct {
		data    []byte
		changes bool
	}
	must := func(data []byte, err error) []byte {
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	orders := []order{
		{must(EncodePut(5, []byte("five"))), true},
		{must(EncodePut(4, []byte("four"))), false},
		{must(EncodeEvacuate("a", true)), true},
		{must(EncodeEvacuate("a", true)), false},
		{must(EncodePut(9, []byte("nine"))), true},
		{must(EncodeEvacuate("b", true)), true},
		{must(EncodeEvacuate("a", false)), true},
	}
	var last scheme.DesiredState
	tell := func(_ ident.Revision, l scheme.DesiredState) { last = l }
	first := New(tell)
	var snapshot []byte
	for i, o := range orders {
		if got := first.Apply(ident.Revision(i+1), o.data); got != o.changes {
			t.Errorf("order %d: changed %v, want %v", i, got, o.changes)
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
	second := New(tell)
	if err := second.Restore(4, snapshot); err != nil {
		t.Fatal(err)
	}
	for i, o := range orders[4:] {
		second.Apply(ident.Revision(i+5), o.data)
	}
	if last.Version() != 9 || last.Version() != want.Version() || string(last.Source()) != string(want.Source()) ||
		len(last.Evacuated()) != 1 || last.Evacuated()[0] != "b" {
		t.Errorf("after the snapshot: %+v, want %+v", last, want)
	}
	if _, ok := second.Apply(8, []byte("rubbish")).(error); !ok {
		t.Error("an unreadable order was applied")
	}
	if err := second.Restore(9, []byte("rubbish")); err == nil {
		t.Error("an unreadable snapshot was restored")
	}
}
