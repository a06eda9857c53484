package relay

import (
	"bufio"
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
)

// TestRequestsBehindStream guards against requests that are passed on, or read,
// behind a response that is being sent. If that breaks off, the connection ends
// and nothing can be said about them.
func TestRequestsBehindStream(t *testing.T) {
	c := &scriptedConn{texts: make(chan string, 2), begun: make(chan struct{}, 10)}
	h := countingHandler{begun: make(chan struct{}, 10)}
	p := newPipeline(context.Background(), c, h, make(chan struct{}, 10), slog.New(slog.DiscardHandler))
	defer p.end()
	begin := func(text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		p.begin(r, false)
	}
	read := func(text string) {
		c.texts <- text
		if _, err := p.read(make([]byte, len(text))); err != nil {
			t.Fatal(err)
		}
	}
	state := func() (int, bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.early), p.isReading
	}
	read(get("/a", "1"))
	begin(get("/a", "1"))
	if p.beginResponse(false) {
		t.Fatal("the connection is closed")
	}
	read(get("/b", "2") + get("/c", "3"))
	if early, isReading := state(); early > 0 || isReading {
		t.Errorf("%d requests were begun behind a response that is being sent, reading on: %v", early, isReading)
	}
	p.finish(true)
	p.completeResponse()
	begin(get("/b", "2"))
	if early, _ := state(); early != 1 {
		t.Errorf("%d requests were begun behind the next one, want 1", early)
	}
	close(c.texts)
}
