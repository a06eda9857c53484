package relay

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// TestOutboundURL guards against a request that reaches a target with another path
// or query than the caller has sent.
func TestOutboundURL(t *testing.T) {
	cases := []struct{ target string }{
		{"/"},
		{"/a/b?c=d"},
		{"/a//b"},
		{"/a%2Fb?x=%20&y"},
		{"/a?"},
		{"//"},
		{"//a/b"},
		{"//a:1/b@c"},
		{"//a%2fb/%20?x=%2F"},
		{"//a?"},
		{"///a"},
	}
	for _, c := range cases {
		incoming, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + c.target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			t.Fatalf("%s: %v", c.target, err)
		}
		var sent bytes.Buffer
		if err := (&http.Request{Method: http.MethodGet, Host: "h", URL: outboundURL(incoming)}).Write(&sent); err != nil {
			t.Fatalf("%s: %v", c.target, err)
		}
		if line, _, _ := strings.Cut(sent.String(), "\r\n"); line != "GET "+c.target+" HTTP/1.1" {
			t.Errorf("%s: sent as %q", c.target, line)
		}
	}
}
