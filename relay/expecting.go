package relay

import (
	"bytes"
	"io"
	"net/http"
)

// readExpected reads the body of a request with an Expect field if it has arrived
// whole with the header. The server closes the connection behind a response to such a
// request whose body is unread, even if it has read further requests behind it.
func (p *pipeline) readExpected(r *http.Request) {
	if r.Header.Get("Expect") == "" || r.ContentLength == 0 || !p.hasWholeCurrent() {
		return
	}
	// An error is returned again when the handler reads on.
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), r.Body))
}

// hasWholeCurrent reports whether the request that is handled was read whole.
func (p *pipeline) hasWholeCurrent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scanner.whole >= p.begun
}
