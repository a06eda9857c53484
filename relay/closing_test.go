package relay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// expectClosing reads the responses to the requests with the given IDs, of which
// only the last one may announce the end of the connection, and that end.
func (c *pipeliningCaller) expectClosing(announced bool, ids ...string) {
	c.t.Helper()
	for i, id := range ids {
		r, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			c.t.Fatalf("response to %s: %v", id, err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != "body of "+id {
			c.t.Fatalf("response to %s: status %d body %q error %v", id, r.StatusCode, body, err)
		}
		if want := announced && i == len(ids)-1; r.Close != want {
			c.t.Errorf("response to %s announces the close: %v, want %v", id, r.Close, want)
		}
	}
	c.expectEnd()
}

// TestRequestsReadTogether guards against a response that closes the connection
// in front of a request that was read whole with the one before it. It would get
// neither a response nor a refusal.
func TestRequestsReadTogether(t *testing.T) {
	closings := []struct {
		name  string
		begin func(t *testing.T, h *testHost)
	}{
		{"draining", func(_ *testing.T, h *testHost) { h.front.Drain() }},
		{"many connections", func(t *testing.T, h *testHost) {
			for range testConnections/2 + 1 {
				newPipeliningCaller(t, h)
			}
			// Connections are accepted in order.
			last := newPipeliningCaller(t, h)
			last.send(get("/safe/", "a"))
			last.expectClosing(true, "a")
		}},
	}
	cases := []struct {
		name string
		sent []string
		// behind is the part of a request behind them.
		behind string
		// unannounced is set if the host cannot know which request is the last.
		unannounced bool
	}{
		{"GET, GET", []string{get("/safe/", "0"), get("/safe/", "1")}, "", false},
		{"GET, POST", []string{get("/safe/", "0"), post("1")}, "", false},
		{"POST, GET", []string{post("0"), get("/safe/", "1")}, "", false},
		{"POST, POST", []string{post("0"), post("1")}, "", false},
		{"chunks, GET, chunks", []string{chunked("0"), get("/safe/", "1"), chunked("2")}, "", false},
		{"lenient form", []string{get("/safe/", "0"), lenient("1"), lenient("2")}, "", true},
		{"one", []string{get("/safe/", "0")}, "", false},
		{"part of a header behind it", []string{get("/safe/", "0")}, post("1")[:50], false},
		{"part of a body behind it", []string{get("/safe/", "0")}, post("1")[:72], false},
		{"part of chunks behind it", []string{get("/safe/", "0")}, strings.TrimSuffix(chunked("1"), "\r\n"), false},
	}
	for _, closing := range closings {
		for _, c := range cases {
			t.Run(closing.name+"/"+c.name, func(t *testing.T) {
				h := newTestHost(t, func(_ int, r *http.Request) string {
					return targetResponse(r, 200, "body of "+r.Header.Get("Id"))
				})
				caller := newPipeliningCaller(t, h)
				closing.begin(t, h)
				caller.send(strings.Join(c.sent, ""), c.behind)
				var ids []string
				for i := range c.sent {
					ids = append(ids, fmt.Sprint(i))
				}
				if c.unannounced {
					caller.expect(ids...)
					return
				}
				caller.expectClosing(true, ids...)
			})
		}
	}
}

// TestCloseAfterLenientForm guards against a connection that never announces its
// close because a request on it was not in strict form.
func TestCloseAfterLenientForm(t *testing.T) {
	front, _ := startRecordedFront(t, answeringHandler{})
	front.Drain()
	caller := newPipeliningCaller(t, &testHost{address: front.listener.Addr().String()})
	caller.send(lenient("a"))
	caller.expect("a")
	caller.send(get("/safe/", "b"))
	caller.expectClosing(true, "b")
}

// TestEndlessRequests guards against callers that send requests without end and
// so keep a stopping host from closing their connections.
func TestEndlessRequests(t *testing.T) {
	cases := []struct{ name, request string }{
		{"GET", get("/safe/", "a")},
		{"POST", post("a")},
		{"chunks", chunked("a")},
		{"long body", strings.Replace(post("a"), "Length: 4", "Length: 20004", 1) + strings.Repeat("x", 20000)},
		{"lenient form", lenient("a")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			front, _ := startRecordedFront(t, answeringHandler{})
			caller := newPipeliningCaller(t, &testHost{address: front.listener.Addr().String()})
			go func() {
				for {
					if _, err := io.WriteString(caller.conn, c.request); err != nil {
						return
					}
				}
			}()
			caller.expect("a", "a", "a")
			done := beginShutdown(t, front)
			for isClosing := false; !isClosing; {
				r, err := http.ReadResponse(caller.reader, nil)
				if err != nil {
					t.Fatalf("no response announces the close: %v", err)
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					t.Fatal(err)
				}
				isClosing = r.Close
			}
			<-done
		})
	}
}

// TestShutdownBehindLineEnd guards against a shutdown that waits for the idle time
// of a connection on which a line end was sent behind a body, as some callers do.
func TestShutdownBehindLineEnd(t *testing.T) {
	for _, end := range []string{"\r\n", "\n", "\r\n\r"} {
		t.Run(fmt.Sprintf("%q", end), func(t *testing.T) {
			t.Parallel()
			front, _ := startRecordedFront(t, answeringHandler{})
			caller := newPipeliningCaller(t, &testHost{address: front.listener.Addr().String()})
			caller.send(post("a") + end)
			caller.expect("a")
			done := beginShutdown(t, front)
			caller.expectEnd()
			if err := caller.conn.Close(); err != nil {
				t.Fatal(err)
			}
			<-done
		})
	}
}
