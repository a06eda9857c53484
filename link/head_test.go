package link

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"rhubarbrack/ident"
)

// TestHead guards against a body that is taken for responses, and responses that
// are taken for a body, when responses to requests with and without the method
// HEAD meet on one connection.
func TestHead(t *testing.T) {
	const planted = "HTTP/1.1 503 x\r\nId: 8\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
	head := func(id string, length int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, length)
	}
	swallowed := len(head("8", len(planted)))
	cases := []struct {
		name          string
		first, second string
		// earlier is the response to the first request, and comes once more.
		earlier string
		own     string
	}{
		{"HEAD second", http.MethodGet, http.MethodHead, head("7", len(planted)) + planted, head("8", 3)},
		{"HEAD first", http.MethodHead, http.MethodGet, head("7", swallowed), head("8", len(planted)) + planted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPool(t)
			s := newTarget(t, func(conn net.Conn, r *bufio.Reader) {
				defer func() { _ = conn.Close() }()
				for earlier := ""; ; earlier = c.earlier {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					text := earlier + c.own
					if q.Header.Get("Id") == "7" {
						text = c.earlier
					} else if earlier == "" {
						text = c.own
					}
					if _, err := io.WriteString(conn, text); err != nil || earlier != "" {
						return
					}
				}
			})
			for _, q := range []struct{ id, method string }{{"7", c.first}, {"8", c.second}} {
				connection, err := p.Get(t.Context(), s.address(), ident.RequestID(q.id))
				if err != nil {
					t.Fatal(err)
				}
				r := request(q.id)
				r.Method = q.method
				x, err := p.Send(t.Context(), connection, r, func(r *http.Response) bool { return r.Header.Get("Id") == q.id })
				if err != nil {
					// A connection that breaks promises nothing.
					continue
				}
				x.Discard()
				if x.Response().StatusCode != 200 {
					t.Errorf("request %s: status %d, want 200 or an error", q.id, x.Response().StatusCode)
				}
			}
		})
	}
}
