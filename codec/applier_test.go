package codec

import (
	"errors"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// Guards against a host that skips a command which other hosts may have
// applied. Its state would diverge undetected.
func TestApplier(t *testing.T) {
	encode := func(c state.Command) []byte {
		data, err := EncodeCommand(state.Stamp(c, epoch))
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	unknown, err := msgpack.Marshal(&envelope{Version: envelopeVersion, Kind: "lift"})
	if err != nil {
		t.Fatal(err)
	}
	later, err := msgpack.Marshal(&envelope{Version: envelopeVersion + 1, Kind: "leave"})
	if err != nil {
		t.Fatal(err)
	}
	member := state.NewMember("edge-1", 1, "gulf-a", "gulf", "10.0.0.1:1", "10.0.0.1:2")
	cases := []struct {
		name   string
		data   []byte
		status state.Status // empty for an error
	}{
		{"accepted", encode(state.NewJoin(member)), state.Accepted},
		{"refused", encode(state.NewLeave("edge-2", 1)), state.Refused},
		{"corrupt", []byte{0xc1}, state.Refused},
		{"unknown kind", unknown, ""},
		{"later version", later, ""},
	}
	a := NewApplier()
	for i, c := range cases {
		got := a.Apply(ident.Revision(i+1), c.data)
		outcome, ok := got.(state.Outcome)
		if err, failed := got.(error); failed != (c.status == "") || ok != (c.status != "") || outcome.Status() != c.status {
			t.Errorf("%s: got %+v, %v, want status %q", c.name, got, err, c.status)
		}
	}
	data, err := a.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	b := NewApplier()
	var corrupt *CorruptError
	if err := b.Restore(1, data); !errors.As(err, &corrupt) || len(b.Machine().Config().Members()) != 0 {
		t.Errorf("snapshot of a later revision: got error %v", err)
	}
	if err := b.Restore(5, data); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a.Machine().Config().Members(), b.Machine().Config().Members()) {
		t.Errorf("got %+v", b.Machine().Config().Members())
	}
}
