package relay

import (
	"net/http"
	"slices"
	"strings"
	"testing"
)

// answeringHandler answers requests without reading them.
type answeringHandler struct{}

var _ FrontHandler = answeringHandler{}

func (answeringHandler) IsRetryable(*http.Request) bool                  { return false }
func (answeringHandler) RecordUnanswered(*http.Request, UnansweredCause) {}

func (answeringHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = w.Write([]byte("body of " + r.Header.Get("Id")))
}

// TestAnswerBeforeUnreadBody guards against closing a connection at once while
// a body is unread: the reset can overtake the answer. The server closes the
// sending half first, which it can only do if the connection allows it.
func TestAnswerBeforeUnreadBody(t *testing.T) {
	front, conns := startRecordedFront(t, answeringHandler{})
	caller := newPipeliningCaller(t, &testHost{address: front.listener.Addr().String()})
	caller.send("POST / HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 1000000\r\n\r\nbody")
	caller.expect("a")
	caller.expectEnd()
	<-beginShutdown(t, front)
	if ends := (<-conns).closedEnds(); !slices.Equal(ends, []string{"sending half", "connection"}) {
		t.Errorf("closed: %q, want the sending half first", ends)
	}
}

// TestRequestsBehindClosingAnswer guards against a reset in place of the answer
// that closes the connection, while the caller has sent something behind it, and
// against reading what is not answered any more.
func TestRequestsBehindClosingAnswer(t *testing.T) {
	cases := []struct{ name, sent, behind string }{
		{"header", get("/long/", "a"), get("/long/", "b")},
		{"body", post("a"), post("b")},
		{"much", get("/long/", "a"), post("b") + strings.Repeat("x", 1<<18)},
		{"lenient form", strings.Replace(lenient("a"), "Key", "Connection: close\nKey", 1), lenient("b")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := heldHandler{begun: make(chan string, 2), released: make(chan struct{}, 2)}
			front, conns := startRecordedFront(t, h)
			front.Drain()
			caller := newPipeliningCaller(t, &testHost{address: front.listener.Addr().String()})
			caller.send(c.sent)
			<-h.begun
			caller.send(c.behind)
			h.released <- struct{}{}
			caller.expect("a")
			caller.expectEnd()
			if len(h.begun) > 0 {
				t.Errorf("%s was begun behind the answer that closes the connection", <-h.begun)
			}
			<-beginShutdown(t, front)
			// The server and the close read one byte each to notice the end.
			if n := (<-conns).lateBytes(); n > 2 {
				t.Errorf("%d bytes were read behind the answer that closes the connection", n)
			}
		})
	}
}
