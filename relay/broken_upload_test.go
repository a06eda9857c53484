package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"rhubarbrack/script"
)

// uploadBytes is the size of the request bodies, which is more than the buffers of
// a connection hold.
const uploadBytes = 1 << 20

// longAnswerBytes is the length of an answer that is streamed to the caller.
const longAnswerBytes = 400_000

// startEarlyTarget starts a target that answers each request as soon as it has read
// its header, and returns its address. It may read the body, which begins
// with what the reader has buffered. The connection is closed after it.
func startEarlyTarget(t *testing.T, answer func(c *net.TCPConn, body io.Reader, id string)) string {
	t.Helper()
	address, err := script.Start(t.Context(), script.OnRequests(func(c *net.TCPConn, r *http.Request) bool {
		answer(c, r.Body, r.Header.Get("Id"))
		return false
	}))
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// earlyHead returns the header of a response without a length.
func earlyHead(first, id, fields string) string {
	return first + "\r\nId: " + id + "\r\nStamp: s\r\n" + fields + "\r\n"
}

// sendUpload sends a long request that may run once.
func sendUpload(t *testing.T, h *testHost) (*http.Response, string, error) {
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
				r, body, err := sendUpload(t, newTestHostAt(t, target))
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
		for _, bytes := range []int{0, 10, 5000, longAnswerBytes} {
			t.Run(fmt.Sprintf("%s, %d bytes", c.name, bytes), func(t *testing.T) {
				h := newTestHostAt(t, startEarlyTarget(t, func(conn *net.TCPConn, body io.Reader, id string) {
					_, _ = io.WriteString(conn, earlyHead("HTTP/1.1 200 OK", id, "")+strings.Repeat("y", bytes))
					c.end(conn, body)
				}))
				for range uploadPlays {
					r, body, err := sendUpload(t, h)
					if err != nil || r.StatusCode != http.StatusOK || len(body) != bytes {
						t.Fatalf("response %+v, %d bytes, error %v; want %d bytes", r, len(body), err, bytes)
					}
				}
			})
		}
	}
}

// TestUploadBehindEarlyAnswer guards against a host that takes the rest of an upload
// away from a target that has answered early and reads on, or holds the answer back
// until the rest has come.
func TestUploadBehindEarlyAnswer(t *testing.T) {
	const length = 3 * bufferedBodyBytes
	sent := strings.Repeat("0123456789abcdef", length/16)
	answer := strings.Repeat("y", longAnswerBytes)
	cases := []struct{ name, head, first, rest string }{
		{"length", fmt.Sprintf("Content-Length: %d", length), sent[:length/2], sent[length/2:]},
		{
			"chunks", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", length/2, sent[:length/2]),
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", length/2, sent[length/2:]),
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			uploaded := make(chan string, 1)
			h := newTestHostAt(t, startEarlyTarget(t, func(conn *net.TCPConn, body io.Reader, id string) {
				_, _ = io.WriteString(conn, earlyHead("HTTP/1.1 200 OK", id, fmt.Sprintf("Content-Length: %d\r\n", len(answer)))+answer[1:])
				got, _ := io.ReadAll(body)
				uploaded <- string(got)
				_, _ = io.WriteString(conn, answer[:1])
			}))
			caller := newPipeliningCaller(t, h)
			caller.send("POST /once/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: key\r\n" + c.head + "\r\n\r\n" + c.first)
			r, err := http.ReadResponse(caller.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			caller.send(c.rest)
			body, err := io.ReadAll(r.Body)
			if err != nil || r.StatusCode != http.StatusOK || string(body) != answer {
				t.Errorf("status %d, %d bytes, error %v", r.StatusCode, len(body), err)
			}
			if got := <-uploaded; got != sent {
				t.Errorf("the target got %d bytes of the upload, want %d as they were sent", len(got), len(sent))
			}
			caller.send(get("/once/2", "b"))
			if _, err := http.ReadResponse(caller.reader, nil); err != nil && !r.Close {
				t.Errorf("the connection ended behind the answer without notice: %v", err)
			}
		})
	}
}

// TestAnswerDuringPausedUpload guards against an answer that is held back until the
// caller goes on with its upload, and against a connection that stays open behind it.
func TestAnswerDuringPausedUpload(t *testing.T) {
	cases := []struct {
		name   string
		script func(c *net.TCPConn, body io.Reader, id string)
		status int
		run    string
	}{
		{"short answer", func(c *net.TCPConn, _ io.Reader, id string) {
			_, _ = io.WriteString(c, earlyHead("HTTP/1.1 404 Not Found", id, "Content-Length: 2\r\n")+"no")
			_, _ = io.Copy(io.Discard, c)
		}, 404, ""},
		{"long answer", func(c *net.TCPConn, _ io.Reader, id string) {
			_, _ = io.WriteString(c, earlyHead("HTTP/1.1 200 OK", id, fmt.Sprintf("Content-Length: %d\r\n", longAnswerBytes))+
				strings.Repeat("y", longAnswerBytes))
			_, _ = io.Copy(io.Discard, c)
		}, 200, ""},
		{"reset", func(c *net.TCPConn, _ io.Reader, _ string) { _ = c.SetLinger(0) }, 503, "unknown"},
		{"no answer in time", func(_ *net.TCPConn, body io.Reader, _ string) { _, _ = io.Copy(io.Discard, body) }, 503, "late"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			caller := newPipeliningCaller(t, newTestHostAt(t, startEarlyTarget(t, c.script)))
			caller.send(fmt.Sprintf("POST /once/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: key\r\nTimeout: 300ms\r\nContent-Length: %d\r\n\r\n", uploadBytes),
				strings.Repeat("x", uploadBytes/2))
			r, err := http.ReadResponse(caller.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil || r.StatusCode != c.status || r.Header.Get("Run") != c.run || !r.Close {
				t.Errorf("status %d, run %q, closes %v, error %v; want %d, %q", r.StatusCode, r.Header.Get("Run"), r.Close, err, c.status, c.run)
			}
			caller.expectEnd()
		})
	}
}
