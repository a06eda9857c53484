package conf

import (
	"errors"
	"testing"

	"rhubarbrack/codec"
)

// FuzzDecode guards against invalid settings that panic, or whose error does not
// give the line of the mistake.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(entryText))
	f.Add([]byte(controlText))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Decode(data)
		var e *codec.DocumentError
		if err != nil && (!errors.As(err, &e) || len(e.Violations()) == 0 || e.Violations()[0].Line() < 1) {
			t.Fatalf("got %v, want a DocumentError with a line", err)
		}
	})
}
