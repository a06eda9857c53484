package relay

import (
	"net/http"
	"strings"
	"testing"
)

// malformedAnswers are answers whose header is none of HTTP/1.x, by name. Each is
// the answer of targetResponse, or of notRun, with a part of it replaced.
var malformedAnswers = []struct{ name, old, changed string }{
	{"status 000", "HTTP/1.1 200 x", "HTTP/1.1 000 x"},
	{"status 042", "HTTP/1.1 200 x", "HTTP/1.1 042 x"},
	{"signed status", "HTTP/1.1 200 x", "HTTP/1.1 +20 x"},
	{"status 999", "HTTP/1.1 200 x", "HTTP/1.1 999 x"},
	{"blank before the colon of the length", "\r\nContent-Length: ", "\r\nContent-Length : 2\r\nFoo: "},
	{"blank before the colon of the encoding", "\r\nContent-Length: ", "\r\nTransfer-Encoding : chunked\r\nFoo: "},
	{"blank before the name of the length", "\r\nContent-Length: ", "\r\n Content-Length: 2\r\nFoo: "},
	{"blank in a name", "\r\nId: ", "\r\nFoo Bar: x\r\nId: "},
	{"tab in a name", "\r\nId: ", "\r\nFoo\t: x\r\nId: "},
	{"control byte in a name", "\r\nId: ", "\r\nFoo\x01: x\r\nId: "},
	{"chunks in HTTP/1.0", "HTTP/1.1 200 x\r\n", "HTTP/1.0 200 x\r\nTransfer-Encoding: chunked\r\n"},
	{"no name", "\r\nId: ", "\r\n: x\r\nId: "},
}

// ending returns an answer behind which the target closes the connection if nothing
// else ends the body.
func ending(answer string) string {
	if strings.Contains(answer, "\r\nContent-Length: ") {
		return answer
	}
	return "!" + answer
}

// TestMalformedAnswer guards against an answer with a malformed header that reaches
// the caller, or for which the caller waits until its time is up.
func TestMalformedAnswer(t *testing.T) {
	for _, c := range malformedAnswers {
		t.Run(c.name, func(t *testing.T) {
			malformed := func(r *http.Request) string {
				return ending(strings.Replace(targetResponse(r, 200, "okmore"), c.old, c.changed, 1))
			}
			t.Run("at most once", func(t *testing.T) {
				h := newTestHost(t, func(_ int, r *http.Request) string { return malformed(r) })
				r, body, err := h.call(t, newClient(t), http.MethodPost, "/once/1", "key", strings.NewReader("a"))
				if err != nil {
					t.Fatal(err)
				}
				if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Run") != "unknown" || len(h.target.list()) != 1 {
					t.Errorf("status %d, run %q, body %q, %d arrivals", r.StatusCode, r.Header.Get("Run"), body, len(h.target.list()))
				}
			})
			t.Run("retryable", func(t *testing.T) {
				h := newTestHost(t, func(n int, r *http.Request) string {
					if n == 1 {
						return malformed(r)
					}
					return targetResponse(r, 200, "ok")
				})
				r, body, err := h.call(t, newClient(t), http.MethodGet, "/safe/1", "key", nil)
				if err != nil {
					t.Fatal(err)
				}
				if r.StatusCode != http.StatusOK || body != "ok" || len(h.target.list()) != 2 {
					t.Errorf("status %d, body %q, %d arrivals", r.StatusCode, body, len(h.target.list()))
				}
			})
		})
	}
}

// TestMalformedRefusal guards against a refusal with a malformed header that is
// taken for a proof that the request has not run.
func TestMalformedRefusal(t *testing.T) {
	for _, c := range malformedAnswers {
		t.Run(c.name, func(t *testing.T) {
			old := strings.Replace(c.old, "200", "503", 1)
			h := newTestHost(t, func(_ int, r *http.Request) string {
				return ending(strings.Replace(notRun(r), old, c.changed, 1))
			})
			r, _, err := h.call(t, newClient(t), http.MethodPost, "/once/1", "key", strings.NewReader("a"))
			if err != nil {
				t.Fatal(err)
			}
			if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Run") != "unknown" || len(h.target.list()) != 1 {
				t.Errorf("status %d, run %q, %d arrivals", r.StatusCode, r.Header.Get("Run"), len(h.target.list()))
			}
		})
	}
}
