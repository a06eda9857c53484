package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// copyingScript returns a script that responds to the first request with the given
// response, and to later ones with 200. On the connection that carried the first
// response it writes copies of that response before the 200.
func copyingScript(first func(*http.Request) string, copies int) func(int, *http.Request) string {
	var connection, response string
	return func(n int, r *http.Request) string {
		if n == 1 {
			connection, response = r.RemoteAddr, first(r)
			return response
		}
		answer := targetResponse(r, 200, "ok")
		if r.RemoteAddr == connection {
			return strings.Repeat(response, copies) + answer
		}
		return answer
	}
}

func foreignProcess(r *http.Request) string {
	return "HTTP/1.1 421 x\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
}

func refusalWithBody(r *http.Request) string {
	return strings.Replace(notRun(r), "Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nfull", 1)
}

func failure(r *http.Request) string { return targetResponse(r, 500, "sorry") }

// TestCopyDuringRetry guards against the copy of a response that is taken for the
// response to the same request when it is tried again at the same address: the
// caller would be told that a request has not run that did, or it would run twice.
func TestCopyDuringRetry(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		first  func(r *http.Request) string
		copies int
	}{
		{"target is full", "/once/1", notRun, 1},
		{"another process", "/once/1", foreignProcess, 1},
		{"refusal with a body", "/once/1", refusalWithBody, 1},
		{"two copies", "/once/1", notRun, 2},
		{"request may run twice", "/safe/1", notRun, 1},
		{"failure", "/safe/1", failure, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, copyingScript(c.first, c.copies))
			// A connection is reused for certain only after a request without a body.
			r, body, err := h.call(t, newClient(t), http.MethodPost, c.path, "key", nil)
			if err != nil {
				t.Fatal(err)
			}
			if r.StatusCode != 200 || body != "ok" {
				t.Errorf("status %d, run %q, body %q, want 200", r.StatusCode, r.Header.Get("Run"), body)
			}
			if n := len(h.target.list()); n != 2 {
				t.Errorf("%d arrivals, want 2", n)
			}
		})
	}
}

// TestCopyForRepeatedID guards against the copy of an earlier response that is
// taken for the response to a later request with the same ID, or with none.
func TestCopyForRepeatedID(t *testing.T) {
	cases := []struct {
		name string
		id   string
	}{
		{"the caller repeats an ID", "id"},
		{"requests without an ID", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, copyingScript(failure, 1))
			client := newClient(t)
			for i, status := range []int{500, 200} {
				request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/once/%d", h.address, i), nil)
				if err != nil {
					t.Fatal(err)
				}
				request.Host = "h"
				request.Header.Set("Key", "key")
				if c.id != "" {
					request.Header.Set("Id", c.id)
				}
				response, err := client.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close()
				if response.StatusCode != status {
					t.Errorf("request %d: status %d, want %d", i, response.StatusCode, status)
				}
			}
			if n := len(h.target.list()); n != 2 {
				t.Errorf("%d arrivals, want 2", n)
			}
		})
	}
}
