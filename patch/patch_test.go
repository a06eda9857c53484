package patch

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

// document returns a document of the given number of lines, each with a random
// name, as a configuration has.
func document(lines int, seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	var b bytes.Buffer
	for range lines {
		fmt.Fprintf(&b, "route %016x prefix /%08x/ timeout 1200 attempts 2 kind safe\n", r.Uint64(), r.Uint32())
	}
	return b.Bytes()
}

// edited returns the document with a line inserted in the middle.
func edited(d []byte) []byte {
	middle := len(d) / 2
	return append(append(append([]byte(nil), d[:middle]...), "route added\n"...), d[middle:]...)
}

// TestCodec guards against documents that change on their way, and against
// differences as large as the document.
func TestCodec(t *testing.T) {
	large := document(10000, 1)
	cases := []struct {
		name           string
		base, document []byte
		maxBytes       int
	}{
		{"whole", nil, large, len(large) / 2},
		{"one line added", large, edited(large), 1000},
		{"unchanged", large, large, 1000},
		{"unrelated base", document(10000, 2), large, len(large) / 2},
		{"empty document", large, nil, 100},
	}
	for _, c := range cases {
		encoded, err := Encode(c.base, c.document)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if len(encoded) > c.maxBytes {
			t.Errorf("%s: %d bytes, want at most %d", c.name, len(encoded), c.maxBytes)
		}
		got, err := Decode(c.base, encoded, DigestOf(c.document))
		if err != nil || !bytes.Equal(got, c.document) {
			t.Errorf("%s: decoded %d bytes, error %v", c.name, len(got), err)
		}
	}
}

// TestCorruptEncoding guards against putting damaged documents in force.
func TestCorruptEncoding(t *testing.T) {
	base := document(100, 1)
	next := edited(base)
	encoded, err := Encode(base, next)
	if err != nil {
		t.Fatal(err)
	}
	flipped := bytes.Clone(encoded)
	flipped[len(flipped)/2] ^= 1
	cases := []struct {
		name          string
		base, encoded []byte
	}{
		{"flipped bit", base, flipped},
		{"cut off", base, encoded[:len(encoded)/2]},
		{"other base", document(100, 2), encoded},
		{"no base", nil, encoded},
		{"nothing", base, nil},
	}
	for _, c := range cases {
		if _, err := Decode(c.base, c.encoded, DigestOf(next)); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: error %v, want %v", c.name, err, ErrCorrupt)
		}
	}
}

// TestArchive guards against differences to versions that the archive does not
// have, and against an archive that grows without limit.
func TestArchive(t *testing.T) {
	a := NewArchive()
	if p, err := a.Piece(NewRequest(1, 0, 0, 100)); err != nil || p.Version() != 0 || p.IsIntact() {
		t.Errorf("empty archive: %+v, %v", p, err)
	}
	for v := range uint64(12) {
		a.Add(10*(v+1), document(100, v))
	}
	a.Add(50, nil)
	const size = 1 << 20
	cases := []struct {
		name    string
		request Request
		version uint64
		base    uint64
	}{
		{"whole", NewRequest(120, 0, 0, size), 120, 0},
		{"difference", NewRequest(120, 110, 0, size), 120, 110},
		{"earlier version", NewRequest(100, 90, 0, size), 100, 90},
		{"removed version", NewRequest(20, 0, 0, size), 120, 0},
		{"removed base", NewRequest(120, 20, 0, size), 120, 0},
		{"base newer than version", NewRequest(100, 110, 0, size), 100, 0},
		{"version of the future", NewRequest(500, 110, 0, size), 120, 110},
		{"offset beyond the end", NewRequest(120, 0, size, size), 120, 0},
		{"negative offset", NewRequest(120, 0, -5, size), 120, 0},
		{"size of nothing", NewRequest(120, 0, 0, 0), 120, 0},
	}
	for _, c := range cases {
		p, err := a.Piece(c.request)
		if err != nil || !p.IsIntact() || p.Version() != c.version || p.Base() != c.base {
			t.Errorf("%s: version %d base %d intact %v error %v, want version %d base %d",
				c.name, p.Version(), p.Base(), p.IsIntact(), err, c.version, c.base)
		}
	}
	if len(a.versions) != maxVersions {
		t.Errorf("%d versions kept, want %d", len(a.versions), maxVersions)
	}
	for v := range uint64(5) {
		a.Add(1000+v, make([]byte, maxArchiveBytes))
	}
	if len(a.versions) != minVersions {
		t.Errorf("%d large versions kept, want %d", len(a.versions), minVersions)
	}
}

// FuzzDecode guards against encodings that crash the decoder.
func FuzzDecode(f *testing.F) {
	base := document(20, 1)
	for _, b := range [][]byte{nil, base} {
		encoded, err := Encode(b, edited(base))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if _, err := Decode(base, encoded, Digest{}); !errors.Is(err, ErrCorrupt) {
			t.Errorf("error %v, want %v", err, ErrCorrupt)
		}
	})
}
