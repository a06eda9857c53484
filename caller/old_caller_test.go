package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"rhubarbrack/route"
	"rhubarbrack/script"
)

// TestEndOfAnswerInOldVersion guards against an answer that breaks off and looks
// whole to a caller of HTTP/1.0, for which the end of the connection is the end of
// an answer without a length, and against a reset behind a whole answer.
func TestEndOfAnswerInOldVersion(t *testing.T) {
	const length = 400_000
	body := strings.Repeat("y", length)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", length, body)
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, answer string
		isWhole      bool
	}{
		{"in chunks", chunked + chunk + "0\r\n\r\n", true},
		{"with a length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, body), true},
		{"without a length", "HTTP/1.1 200 OK\r\n\r\n" + body, false},
		{"breaks off between chunks", chunked + chunk, false},
		{"breaks off in a chunk", chunked + chunk[:length/2], false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := must(script.Start(t.Context(), script.OnRequests(func(conn *net.TCPConn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.answer)
				return false
			})))
			base := startServer(t, func(ctx context.Context, _ route.Request, x route.Exchange) route.Result {
				return route.ResultOfAttempt(x.Send(ctx, address))
			})
			caller := must(net.Dial("tcp", strings.TrimPrefix(base, "http://")))
			defer func() { _ = caller.Close() }()
			if _, err := io.WriteString(caller, "GET / HTTP/1.0\r\nHost: s.test\r\n\r\n"); err != nil {
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
