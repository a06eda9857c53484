package link

import (
	"net/http"
	"strings"
	"testing"

	"rhubarbrack/ident"
)

// TestJoinedHeader guards against the beginning of an earlier response that comes
// once more and joins the header of the response that is due: the status or the
// proof of the one would count with the ID of the other.
func TestJoinedHeader(t *testing.T) {
	cases := []struct{ name, earlier string }{
		{"another process", "HTTP/1.1 421 Misdirected Request\r\nId: 7\r\nContent-Length: 0\r\n\r\n"},
		{"date before the ID", "HTTP/1.1 421 Misdirected Request\r\nDate: Sun, 06 Dec\r\nId: 7\r\nContent-Length: 0\r\n\r\n"},
		{"proof before the ID", "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nId: 7\r\nContent-Length: 0\r\n\r\n"},
		{"success", "HTTP/1.1 200 OK\r\nStamp: s\r\nId: 7\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, c := range cases {
		for cut := range c.earlier {
			respond := func(id string) string {
				if id == "7" {
					return c.earlier
				}
				// The target closes the connection, so that no rest is waited for.
				return c.earlier[:cut] + strings.Replace(response(id, "own!"), "200 OK", "500 x", 1)
			}
			p := newPool(t)
			s := newTarget(t, serve(respond))
			if _, _, err := send(t, p, s.address(), "7"); err != nil {
				t.Fatal(err)
			}
			status, header := statusOf(t, p, s.address(), "8")
			if status != 0 && (status != 500 || header.Get("Unrun") != "" || header.Get("Stamp") != "") {
				t.Errorf("%s, cut after %q: status %d, header %v", c.name, c.earlier[:cut], status, header)
			}
		}
	}
}

// TestJoinedMalformedHeader guards against the beginning of an earlier response that
// comes once more and joins a malformed one: in the place of a value, the status line of
// that one is not checked, and it becomes a response with the status of the other.
func TestJoinedMalformedHeader(t *testing.T) {
	const earlier = "HTTP/1.1 421 Misdirected Request\r\nDate: Sun, 06 Dec\r\nId: 7\r\nContent-Length: 0\r\n\r\n"
	cases := []struct{ name, statusLine string }{
		{"status 000", "HTTP/1.1 000 OK"},
		{"status below 100", "HTTP/1.1 042 OK"},
		{"status above 599", "HTTP/1.1 999 OK"},
		{"signed status", "HTTP/1.1 +20 OK"},
		{"status of one digit", "HTTP/1.1 2 OK"},
		{"unknown minor version, status 000", "HTTP/1.7 000 OK"},
		{"unknown major version", "HTTP/3.7 200 OK"},
		{"major version alone", "HTTP/2 200 OK"},
		{"two blanks", "HTTP/1.1  200 OK"},
	}
	for _, c := range cases {
		for cut := range earlier {
			respond := func(id string) string {
				if id == "7" {
					return earlier
				}
				return earlier[:cut] + strings.Replace(response(id, "own!"), "HTTP/1.1 200 OK", c.statusLine, 1)
			}
			p := newPool(t)
			s := newTarget(t, serve(respond))
			if _, _, err := send(t, p, s.address(), "7"); err != nil {
				t.Fatal(err)
			}
			if status, header := statusOf(t, p, s.address(), "8"); status != 0 {
				t.Errorf("%s, cut after %q: status %d, header %v", c.name, earlier[:cut], status, header)
			}
		}
	}
}

// TestStatusLineInHeader guards against a target whose headers contain a status
// line, and whose responses would all be taken for joined ones.
func TestStatusLineInHeader(t *testing.T) {
	p := newPool(t)
	s := newTarget(t, serve(func(id string) string {
		return strings.Replace(response(id, "ok"), "\r\n\r\n", "\r\nUpstream: HTTP/1.1 200 OK\r\n\r\n", 1)
	}))
	for _, id := range []string{"1", "2", "3"} {
		if body, reused, err := send(t, p, s.address(), id); err != nil || body != "ok" || reused {
			t.Errorf("request %s: body %q, reused %v, error %v", id, body, reused, err)
		}
	}
}

// statusOf sends a request and returns the status and the header of its response,
// or 0 after an error.
func statusOf(t *testing.T, p *Pool, address, id string) (int, http.Header) {
	t.Helper()
	c, err := p.Get(t.Context(), address, ident.RequestID(id))
	if err != nil {
		t.Fatal(err)
	}
	x, err := p.Send(t.Context(), c, request(id), func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return 0, nil
	}
	x.Discard()
	return x.Response().StatusCode, x.Response().Header
}
