package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestRefusalBeforeExpectedBody guards against a connection that ends behind the
// refusal of a request with an Expect field, without a word about the requests that
// were read whole behind its body.
func TestRefusalBeforeExpectedBody(t *testing.T) {
	expecting := func(request string) string {
		return strings.Replace(request, "Key: key", "Key: wrong\r\nExpect: 100-continue", 1)
	}
	cases := []struct {
		name, first string
		drain       bool
	}{
		{"length", expecting(post("a")), false},
		{"chunks", expecting(chunked("a")), false},
		{"draining", expecting(post("a")), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, func(_ int, r *http.Request) string {
				return targetResponse(r, 200, "body of "+r.Header.Get("Id"))
			})
			if c.drain {
				h.front.Drain()
			}
			caller := newPipeliningCaller(t, h)
			caller.send(c.first + get("/safe/", "b"))
			for status := http.StatusContinue; status == http.StatusContinue; {
				r, err := http.ReadResponse(caller.reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					t.Fatal(err)
				}
				status = r.StatusCode
			}
			caller.expect("b")
		})
	}
}
