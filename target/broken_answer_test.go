package target

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"rhubarbrack/intact"
)

// TestMalformedAnswer guards against an answer with a malformed header that is
// passed on, or taken for the proof that a request has run or has not.
func TestMalformedAnswer(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	cases := []struct{ name, answer string }{
		{"status 000", "HTTP/1.1 000 OK\r\n" + body},
		{"status 000 before an answer", "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + body},
		{"status 999", "HTTP/1.1 999 OK\r\n" + body},
		{"other version", "HTTP/3.7 200 OK\r\n" + body},
		{"blank before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n" + body},
		{"blank in a name", "HTTP/1.1 200 OK\r\nFoo Bar: x\r\n" + body},
		{"blank before a name", "HTTP/1.1 200 OK\r\nFoo: x\r\n Bar: y\r\n" + body},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nFoo\x01: x\r\n" + body},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nFoo Bar: x\r\n\r\nHTTP/1.1 200 OK\r\n" + body},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + body},
		{"blank in a name of a refusal", "HTTP/1.1 503 Busy\r\nRhubarbrack-Outcome: not-run\r\nFoo Bar: x\r\n" + body},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startRawServer(t, respond(c.answer, false))
			client := NewClient()
			defer client.Close()
			consumer := &bufferConsumer{}
			got := client.Dispatch(t.Context(), s.address, mustRequest(t, "GET", "/"), consumer)
			if got.Outcome() != Unknown || got.Started() || !errors.Is(got.Err(), intact.ErrMalformed) {
				t.Errorf("%v, started %v, status %d, body %q, %v; want %v, %v",
					got.Outcome(), got.Started(), consumer.status, consumer.String(), got.Err(), Unknown, intact.ErrMalformed)
			}
		})
	}
}

// TestResetDuringUpload guards against an answer without a length that counts as
// whole though the connection was reset while the upload was written.
func TestResetDuringUpload(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"no body", "HTTP/1.1 200 OK\r\n\r\n"},
		{"a part", "HTTP/1.1 200 OK\r\n\r\npart"},
		{"announced close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart"},
		{"failure", "HTTP/1.1 404 Not Found\r\n\r\npart"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startRawServer(t, func(_ int, conn net.Conn) bool {
				_, _ = io.WriteString(conn, c.answer)
				_ = conn.(*net.TCPConn).SetLinger(0)
				return false
			})
			client := NewClient()
			defer client.Close()
			const length = 1 << 20
			r := mustRequest(t, "POST", "/", WithBody(strings.NewReader(strings.Repeat("x", length)), length))
			if got := client.Dispatch(t.Context(), s.address, r, &bufferConsumer{}); got.Outcome() == Ran || got.Err() == nil {
				t.Errorf("%v, %v after %d bytes", got.Outcome(), got.Err(), got.Bytes())
			}
		})
	}
}

// TestAnswerBeforeRequest guards against an answer that the transport has read before
// the request was sent, so that its header was not checked.
func TestAnswerBeforeRequest(t *testing.T) {
	cases := []struct {
		name, text string
		want       error
	}{
		{"before", "", ErrUnpaired},
		{"header incomplete", "HTTP/1.1 200 OK\r\nA: b\r\n", ErrUnpaired},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n", ErrUnpaired},
		{"after", "HTTP/1.1 200 OK\r\n\r\n", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			here, there := net.Pipe()
			t.Cleanup(func() { _, _ = here.Close(), there.Close() })
			x := NewClient().newExchange(t.Context(), "address", mustRequest(t, "GET", "/"))
			defer x.close()
			x.conn = newCountedConn(here)
			x.conn.begin()
			go func() { _, _ = io.WriteString(there, c.text) }()
			if _, err := io.ReadFull(x.conn, make([]byte, len(c.text))); err != nil {
				t.Fatal(err)
			}
			if err := x.pair(&http.Response{StatusCode: http.StatusOK}); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}
