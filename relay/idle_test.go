package relay

import (
	"testing"
)

// TestShutdownBeforeBufferedRequest guards against a connection that counts as
// idle between two requests although the second one lies in the server's buffer.
// The read deadline of the close then ends the second one while its target works.
func TestShutdownBeforeBufferedRequest(t *testing.T) {
	cases := []struct{ name, first, second string }{
		{"GET, GET", get("/long/", "a"), get("/long/", "b")},
		{"GET, POST", get("/long/", "a"), post("b")},
		{"POST, GET", post("a"), get("/long/", "b")},
		{"POST, POST", post("a"), post("b")},
		{"chunks, GET", chunked("a"), get("/long/", "b")},
		{"lenient forms", lenient("a"), lenient("b")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := heldHandler{begun: make(chan string, 2), released: make(chan struct{}, 2)}
			front, conns := startRecordedFront(t, h)
			caller := newPipeliningCaller(t, &testHost{address: front.listener.Addr().String()})
			caller.send(c.first + c.second)
			<-h.begun
			beginShutdown(t, front)
			h.released <- struct{}{}
			caller.expect("a")
			<-h.begun
			done := beginShutdown(t, front)
			if d := (<-conns).readDeadline(); !d.IsZero() {
				t.Errorf("the connection is read until %v while its second request is handled", d)
			}
			h.released <- struct{}{}
			caller.expect("b")
			caller.expectEnd()
			if err := caller.conn.Close(); err != nil {
				t.Fatal(err)
			}
			<-done
		})
	}
}
