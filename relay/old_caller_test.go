package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestEndOfAnswerInOldVersion guards against an answer that breaks off and looks
// whole to a caller of HTTP/1.0, for which the end of the connection is the end of
// an answer without a length, and against a reset behind a whole answer.
func TestEndOfAnswerInOldVersion(t *testing.T) {
	const length = 400_000
	body := strings.Repeat("y", length)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", length, body)
	chunked := func(r *http.Request, text string) string {
		return earlyHead("HTTP/1.1 200 OK", r.Header.Get("Id"), "Transfer-Encoding: chunked\r\n") + text
	}
	cases := []struct {
		name    string
		answer  func(r *http.Request) string
		isWhole bool
	}{
		{"in chunks", func(r *http.Request) string { return chunked(r, chunk+"0\r\n\r\n") }, true},
		{"until the end", func(r *http.Request) string { return "!" + earlyHead("HTTP/1.1 200 OK", r.Header.Get("Id"), "") + body }, true},
		{"with a length", func(r *http.Request) string { return targetResponse(r, 200, body) }, true},
		{"breaks off between chunks", func(r *http.Request) string { return "!" + chunked(r, chunk) }, false},
		{"breaks off in a chunk", func(r *http.Request) string { return "!" + chunked(r, chunk[:length/2]) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, func(_ int, r *http.Request) string { return c.answer(r) })
			caller, err := net.Dial("tcp", h.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = caller.Close() }()
			if _, err := io.WriteString(caller, "GET /safe/1 HTTP/1.0\r\nHost: h\r\nId: 1\r\nKey: key\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(caller)
			_, got, _ := strings.Cut(string(text), "\r\n\r\n")
			if (err == nil) != c.isWhole || c.isWhole && len(got) != length {
				t.Errorf("%d bytes of a body, error %v; want a whole one %v", len(got), err, c.isWhole)
			}
		})
	}
}
