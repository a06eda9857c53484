package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestRepeatedRefusal guards against an earlier refusal that a target writes once
// more on a kept connection and that is taken for the answer to the next request:
// the caller would be told that it has not run, or it would run twice.
func TestRepeatedRefusal(t *testing.T) {
	const first, second = "/once/1", "/once/22"
	refusalOf := func(id string) string {
		return "HTTP/1.1 503 x\r\n" + id + "Unrun: 1\r\nContent-Length: 0\r\n\r\n"
	}
	earlier := refusalOf(fmt.Sprintf("Id: id%d\r\n", len(first)))
	cases := []struct {
		name   string
		answer func(r *http.Request) string
		status int
		run    string
	}{
		{"before the answer", func(r *http.Request) string { return earlier + targetResponse(r, 200, "ok") }, 200, ""},
		{"twice before the answer", func(r *http.Request) string { return earlier + earlier + targetResponse(r, 200, "ok") }, 200, ""},
		{"without an ID", func(r *http.Request) string { return refusalOf("") + targetResponse(r, 200, "ok") }, 200, ""},
		{"instead of the answer", func(*http.Request) string { return "!" + earlier }, 503, "unknown"},
		{"without a length", func(*http.Request) string { return "!" + strings.Replace(earlier, "Content-Length: 0\r\n", "", 1) }, 503, "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, func(n int, r *http.Request) string {
				switch n {
				case 1:
					return notRun(r)
				case 2:
					return targetResponse(r, 200, "ok")
				}
				return c.answer(r)
			})
			client := newClient(t)
			if r, _, err := h.call(t, client, http.MethodPost, first, "key", strings.NewReader("a")); err != nil || r.StatusCode != 200 {
				t.Fatalf("first request: %v, %v", r, err)
			}
			r, _, err := h.call(t, client, http.MethodPost, second, "key", strings.NewReader("b"))
			if err != nil {
				t.Fatal(err)
			}
			if r.StatusCode != c.status || r.Header.Get("Run") != c.run {
				t.Errorf("status %d, run %q, want %d, %q", r.StatusCode, r.Header.Get("Run"), c.status, c.run)
			}
			if n := len(h.target.list()); n != 3 {
				t.Errorf("%d arrivals, want 3", n)
			}
		})
	}
}

// TestResponseCutInHeader guards against a response that ends in the middle of its
// header and reaches the caller as a whole one with an empty or short body.
func TestResponseCutInHeader(t *testing.T) {
	const path = "/once/1"
	whole := func(r *http.Request) string { return targetResponse(r, 200, "ok") }
	sample := whole(&http.Request{Header: http.Header{"Id": {fmt.Sprintf("id%d", len(path))}}})
	header := strings.Index(sample, "\r\n\r\n") + len("\r\n\r\n")
	for cut := range header {
		h := newTestHost(t, func(_ int, r *http.Request) string { return "!" + whole(r)[:cut] })
		r, body, err := h.call(t, newClient(t), http.MethodPost, path, "key", strings.NewReader("a"))
		if err != nil {
			t.Fatal(err)
		}
		if r.StatusCode != 503 || r.Header.Get("Run") != "unknown" {
			t.Errorf("cut after %q: status %d, run %q, body %q", sample[:cut], r.StatusCode, r.Header.Get("Run"), body)
		}
	}
	// The same without a length, where the end of the connection ends the body.
	for _, cut := range []string{"HTTP/1.1 200 x\r\nId: id7\r\nStamp: s", "HTTP/1.1 200 x\r\nId: id7\r\nStamp: s\r\n", "HTTP/1.1 200 x\r\nId: id7\r\nStamp: s\r\n\r"} {
		h := newTestHost(t, func(int, *http.Request) string { return "!" + cut })
		r, body, err := h.call(t, newClient(t), http.MethodPost, path, "key", strings.NewReader("a"))
		if err != nil {
			t.Fatal(err)
		}
		if r.StatusCode != 503 || r.Header.Get("Run") != "unknown" {
			t.Errorf("cut after %q: status %d, run %q, body %q", cut, r.StatusCode, r.Header.Get("Run"), body)
		}
	}
}
