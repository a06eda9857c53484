package relay

import (
	"net/http"
	"slices"
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
