package relay

import (
	"slices"
	"strings"
	"testing"
)

// TestHeadScanner guards against requests that are understood in another way
// than by the server: one that hides in another, or that has a body.
func TestHeadScanner(t *testing.T) {
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	line := func(field string) string { return "GET /a HTTP/1.1\r\nHost: h\r\n" + field + "\r\n\r\n" }
	cases := []struct {
		name   string
		text   string
		heads  []string
		gaveUp bool
	}{
		{"one", get, []string{get}, false},
		{"two and a half", get + get + get[:9], []string{get, get}, false},
		{"field", line("Id: 5"), []string{line("Id: 5")}, false},
		{"method with a body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi" + get, nil, true},
		{"get, then a body", get + strings.Replace(get, "GET", "PUT", 1) + get, []string{get}, true},
		{"length", line("Content-Length: 5"), nil, true},
		{"chunked", line("transfer-encoding: chunked"), nil, true},
		{"close", line("Connection: close") + get, nil, true},
		{"expect", line("Expect: 100-continue"), nil, true},
		{"other version", "GET /a HTTP/1.0\r\nHost: h\r\n\r\n", nil, true},
		{"absolute form", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", nil, true},
		{"no host", "GET /a HTTP/1.1\r\nId: 5\r\n\r\n", nil, true},
		{"two hosts", line("Host: i"), nil, true},
		{"no fields", "GET /a HTTP/1.1\r\n\r\n", nil, true},
		{"bare line feed", line("A: b\nContent-Length: 5"), nil, true},
		{"header that ends with bare line feeds", "GET /a HTTP/1.1\nHost: h\n\n" + get, nil, true},
		{"bare carriage return", line("A: b\rC: d"), nil, true},
		{"folded line", line("A: b\r\n Content-Length: 5"), nil, true},
		{"space before the colon", line("Content-Length : 5"), nil, true},
		{"empty line first", "\r\n" + get, nil, true},
		{"not ASCII", line("A: \xe9"), nil, true},
		{"endless header", strings.Repeat("a", maxScannedHead+1), nil, true},
	}
	for _, c := range cases {
		for _, size := range []int{1, 7, len(c.text)} {
			var s headScanner
			var heads []string
			for chunk := range slices.Chunk([]byte(c.text), size) {
				for _, h := range s.feed(chunk) {
					heads = append(heads, string(h))
				}
			}
			if !slices.Equal(heads, c.heads) || s.gaveUp != c.gaveUp {
				t.Errorf("%s in steps of %d: %q, gave up %v; want %q, %v", c.name, size, heads, s.gaveUp, c.heads, c.gaveUp)
			}
		}
	}
}

// FuzzHeadScanner guards against panics, and against splitting a stream in a
// way that depends on how it arrives.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"), 3)
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"), 50)
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		if len(text) > maxScannedHead || split < 0 || split > len(text) {
			return
		}
		var whole, parts headScanner
		want := whole.feed(text)
		got := append(parts.feed(text[:split]), parts.feed(text[split:])...)
		equal := func(a, b []byte) bool { return string(a) == string(b) }
		if !slices.EqualFunc(got, want, equal) || whole.gaveUp != parts.gaveUp {
			t.Errorf("split at %d: %q, whole: %q", split, got, want)
		}
	})
}
