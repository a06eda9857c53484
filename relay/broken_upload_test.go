package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// uploadBytes is the size of the request bodies, which is more than the buffers of
// a connection hold.
const uploadBytes = 1 << 20

// startEarlyTarget starts a target that answers each request as soon as it has read
// its header, and returns its address. The script may read the body, which begins
// with what the reader has buffered. The connection is closed after it.
func startEarlyTarget(t *testing.T, script func(c *net.TCPConn, body io.Reader, id string)) string {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				script(c.(*net.TCPConn), r.Body, r.Header.Get("Id"))
			}()
		}
	}()
	return l.Addr().String()
}

// earlyHead returns the header of a response without a length.
func earlyHead(first, id, fields string) string {
	return first + "\r\nId: " + id + "\r\nStamp: s\r\n" + fields + "\r\n"
}

// upload sends a long request that may run once.
func upload(t *testing.T, h *testHost) (*http.Response, string, error) {
	t.Helper()
	return h.call(t, newClient(t), http.MethodPost, "/once/1", "key", strings.NewReader(strings.Repeat("x", uploadBytes)))
}

// uploadPlays is how often a reset is played: whether the write or the read gets its
// error differs from play to play.
const uploadPlays = 5

// TestResetDuringUpload guards against an answer without a length that is reset
// while the upload is written, and reaches the caller as a whole one.
func TestResetDuringUpload(t *testing.T) {
	cases := []struct {
		name, first, fields string
		bytes               int
	}{
		{"no body", "HTTP/1.1 200 OK", "", 0},
		{"short", "HTTP/1.1 200 OK", "", 10},
		{"long", "HTTP/1.1 200 OK", "", 5000},
		{"longer than the buffer", "HTTP/1.1 200 OK", "", 400_000},
		{"announced close", "HTTP/1.1 200 OK", "Connection: close\r\n", 10},
		{"HTTP/1.0", "HTTP/1.0 200 OK", "", 10},
		{"failure", "HTTP/1.1 404 Not Found", "", 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := startEarlyTarget(t, func(conn *net.TCPConn, _ io.Reader, id string) {
				_, _ = io.WriteString(conn, earlyHead(c.first, id, c.fields)+strings.Repeat("y", c.bytes))
				_ = conn.SetLinger(0)
			})
			for range uploadPlays {
				// A host avoids targets that have failed it.
				r, body, err := upload(t, newTestHostAt(t, target))
				if err != nil {
					// The caller sees that the answer has ended early.
					continue
				}
				if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Run") != "unknown" {
					t.Errorf("status %d, run %q, whole body of %d bytes", r.StatusCode, r.Header.Get("Run"), len(body))
				}
			}
		})
	}
}

// TestEarlyAnswerToUpload guards against refusing a whole answer without a length
// that a target gives before it has read the upload.
func TestEarlyAnswerToUpload(t *testing.T) {
	cases := []struct {
		name string
		end  func(c *net.TCPConn, body io.Reader)
	}{
		{"reads the upload and closes", func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }},
		{"closes its half and reads the upload", func(c *net.TCPConn, body io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		}},
	}
	for _, c := range cases {
		for _, bytes := range []int{0, 10, 5000} {
			t.Run(fmt.Sprintf("%s, %d bytes", c.name, bytes), func(t *testing.T) {
				h := newTestHostAt(t, startEarlyTarget(t, func(conn *net.TCPConn, body io.Reader, id string) {
					_, _ = io.WriteString(conn, earlyHead("HTTP/1.1 200 OK", id, "")+strings.Repeat("y", bytes))
					c.end(conn, body)
				}))
				for range uploadPlays {
					r, body, err := upload(t, h)
					if err != nil || r.StatusCode != http.StatusOK || len(body) != bytes {
						t.Fatalf("response %+v, %d bytes, error %v; want %d bytes", r, len(body), err, bytes)
					}
				}
			})
		}
	}
}
