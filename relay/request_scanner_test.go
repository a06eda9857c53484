package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// TestRequestScanner guards against requests that are understood in another way
// than by the server: one that hides in another, or that has a body.
func TestRequestScanner(t *testing.T) {
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
			var s requestScanner
			var heads []string
			for chunk := range slices.Chunk([]byte(c.text), size) {
				for _, h := range s.feed(chunk) {
					if h.isPlain {
						heads = append(heads, string(h.text))
					}
				}
			}
			if !slices.Equal(heads, c.heads) || s.gaveUp != c.gaveUp {
				t.Errorf("%s in steps of %d: %q, gave up %v; want %q, %v", c.name, size, heads, s.gaveUp, c.heads, c.gaveUp)
			}
		}
	}
}

// TestWholeRequests guards against requests that are counted before their last
// byte has arrived, later, or where the server reads other ones.
func TestWholeRequests(t *testing.T) {
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	post := func(fields, body string) string { return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body }
	cases := []struct {
		name    string
		text    string
		whole   uint64
		partial bool
		isLost  bool
	}{
		{"length", post("Content-Length: 2\r\n", "hi") + get, 2, false, false},
		{"body without its last byte", get + post("Content-Length: 3\r\n", "hi"), 1, true, false},
		{"body that looks like a request", post("Content-Length: 28\r\n", get) + get, 2, false, false},
		{"no body", post("Content-Length: 0\r\n", "") + get, 2, false, false},
		{"body that is waited for", post("Expect: 100-continue\r\nContent-Length: 1\r\n", "x") + get, 2, false, false},
		{"field that is not ASCII", post("A: \xe9\r\n", "") + get, 2, false, false},
		{"chunks", post("Transfer-Encoding: chunked\r\n", "2\r\nhi\r\na\r\n0123456789\r\n0\r\n\r\n") + get, 2, false, false},
		{"chunks without the last line end", post("Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n0\r\n\r"), 0, true, false},
		{"chunk extension", post("Transfer-Encoding: chunked\r\n", "2;a=b\r\nhi\r\n0\r\n\r\n") + get, 0, true, true},
		{"trailer", post("Transfer-Encoding: chunked\r\n", "0\r\nA: b\r\n\r\n") + get, 0, true, true},
		{"negative size", post("Transfer-Encoding: chunked\r\n", "-1\r\n") + get, 0, true, true},
		{"endless size", post("Transfer-Encoding: chunked\r\n", strings.Repeat("0", 40)), 0, true, true},
		{"other coding", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n") + get, 0, false, true},
		{"length and chunks", post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n") + get, 0, false, true},
		{"two lengths", post("Content-Length: 1\r\nContent-Length: 1\r\n", "x") + get, 0, false, true},
		{"negative length", post("Content-Length: -1\r\n", "x") + get, 0, false, true},
		{"last one", get + post("Connection: keep-alive, Close\r\n", "") + get, 2, false, false},
		{"other version", "GET /a HTTP/1.0\r\nHost: h\r\n\r\n" + get, 0, false, true},
		{"bare line feeds", get + "GET /a HTTP/1.1\nHost: h\n\n", 1, false, true},
	}
	for _, c := range cases {
		for _, size := range []int{1, 7, len(c.text)} {
			var s requestScanner
			for chunk := range slices.Chunk([]byte(c.text), size) {
				s.feed(chunk)
			}
			if s.whole != c.whole || s.hasPartial() != c.partial || s.isLost != c.isLost {
				t.Errorf("%s in steps of %d: %d whole, partial %v, lost %v", c.name, size, s.whole, s.hasPartial(), s.isLost)
			}
		}
	}
}

// countRequests returns the number of whole requests that net/http reads.
func countRequests(text []byte) uint64 {
	reader := bufio.NewReader(bytes.NewReader(text))
	for n := uint64(0); ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return n
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return n
		}
	}
}

// FuzzRequestScanner guards against panics, against splitting a stream in a way
// that depends on how it arrives, and against counting other requests than
// net/http reads.
func FuzzRequestScanner(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"), 3)
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"), 50)
	f.Add([]byte("PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"), 60)
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		if len(text) > maxScannedHead || split < 0 || split > len(text) {
			return
		}
		var whole, parts requestScanner
		want := whole.feed(text)
		got := append(parts.feed(text[:split]), parts.feed(text[split:])...)
		equal := func(a, b scannedHead) bool { return string(a.text) == string(b.text) && a.isPlain == b.isPlain }
		if !slices.EqualFunc(got, want, equal) || whole.gaveUp != parts.gaveUp || whole.whole != parts.whole {
			t.Errorf("split at %d: %v, whole: %v", split, got, want)
		}
		if n := countRequests(text); whole.whole > n || whole.whole < n && !whole.isLost && !whole.isEnded {
			t.Errorf("%d whole requests, net/http reads %d", whole.whole, n)
		}
	})
}
