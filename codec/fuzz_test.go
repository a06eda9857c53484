package codec

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

// isDocumentedError reports whether a decoding error has one of the documented
// types.
func isDocumentedError(err error) bool {
	var version *VersionError
	var kind *KindError
	var corrupt *CorruptError
	var document *DocumentError
	var invalid *prof.ValidationError
	var field *prof.FieldError
	return errors.As(err, &version) || errors.As(err, &kind) || errors.As(err, &corrupt) ||
		errors.As(err, &document) || errors.As(err, &invalid) || errors.As(err, &field)
}

// FuzzDocument guards against texts that crash the process, return an
// undocumented error type or decode to a document that does not round-trip.
func FuzzDocument(f *testing.F) {
	samples, err := Samples()
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range samples {
		f.Add([]byte(s.Source()))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := DecodeDocument(data)
		if err != nil {
			var e *DocumentError
			if !errors.As(err, &e) || len(e.Violations()) == 0 || e.Violations()[0].Line() < 1 || e.Violations()[0].Column() < 1 {
				t.Fatalf("got %v, want a DocumentError with a position", err)
			}
			return
		}
		text, err := EncodeDocument(document)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeDocument(text)
		if err != nil || !reflect.DeepEqual(decoded, document) {
			t.Fatalf("got %+v, %v from %q, want %+v", decoded, err, text, document)
		}
	})
}

// FuzzCommand guards against data that crashes the process, returns an
// undocumented error type or decodes to a command that does not round-trip or
// crashes a Machine.
func FuzzCommand(f *testing.F) {
	for _, c := range allCommands(f) {
		data, err := EncodeCommand(state.Stamp(c, epoch))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := DecodeCommand(data)
		if err != nil {
			if !isDocumentedError(err) {
				t.Fatalf("got an undocumented error type %v", err)
			}
			return
		}
		first, err := EncodeCommand(command)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeCommand(first)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := EncodeCommand(decoded); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("got %x, %v, want %x", second, err, first)
		}
		state.NewMachine().Apply(1, command)
	})
}

// FuzzSnapshot guards against snapshots that crash the process, on decoding or
// when the next commands are applied, and against undocumented error types.
func FuzzSnapshot(f *testing.F) {
	m := fullMachine(f)
	data, err := EncodeMachine(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	if data, err = EncodeConfig(m.Config()); err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	commands := allCommands(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		if config, err := DecodeConfig(data); err == nil {
			if _, err := EncodeConfig(config); err != nil {
				t.Fatal(err)
			}
		} else if !isDocumentedError(err) {
			t.Fatalf("got an undocumented error type %v", err)
		}
		m, err := DecodeMachine(data)
		if err != nil {
			if !isDocumentedError(err) {
				t.Fatalf("got an undocumented error type %v", err)
			}
			return
		}
		for _, c := range commands {
			m.Apply(m.Revision()+1, state.Stamp(c, epoch))
		}
		if _, err := EncodeMachine(m); err != nil {
			t.Fatal(err)
		}
	})
}

// fullMachine returns a Machine with records of every kind.
func fullMachine(t testing.TB) *state.Machine {
	t.Helper()
	m := state.NewMachine()
	apply := func(c state.Command) {
		if o := m.Apply(m.Revision()+1, state.Stamp(c, epoch)); o.Err() != nil {
			t.Fatalf("%s: %v", c.Kind(), o.Err())
		}
	}
	samples, err := Samples()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range samples {
		apply(state.NewPutDocument(ident.RequestID(string(s.Document().Kind())+"-"+s.Document().Name()), 0, s.Document(), s.Source()))
	}
	key, holder := once.NewKey("pilots", "r1"), once.NewHolder("edge-1", 1, 1)
	apply(state.NewIssueKey("i1", "k1", "pilots", [32]byte{1}))
	apply(state.NewPlanDrain("p1", 0, "d1", state.ZoneScope("gulf-a"), epoch, epoch.AddDate(0, 0, 1)))
	apply(state.NewJoin(state.NewMember("edge-1", 1, "gulf-a", "gulf", "10.0.0.1:1", "10.0.0.1:2")))
	apply(state.NewJoin(state.NewMember("edge-2", 1, "gulf-a", "gulf", "10.0.0.2:1", "10.0.0.2:2")))
	apply(state.NewExpire("edge-2", 1))
	apply(state.NewAssignRole("rates/0", "edge-1", 1))
	apply(state.NewSetShares("bells", "gulf", []state.Share{state.NewShare("gulf", 1)}))
	apply(state.NewMarkSuspect(ident.Fingerprint{1}, 1, epoch.AddDate(1, 0, 0)))
	apply(state.NewClaim(key, ident.Fingerprint{2}, holder))
	apply(state.NewClaim(once.NewKey("pilots", "r2"), ident.Fingerprint{3}, holder))
	apply(state.NewResolve(key, holder, once.Ran(once.NewResult(200, []once.Header{once.NewHeader("a", "b")}, []byte("x")))))
	return m
}
