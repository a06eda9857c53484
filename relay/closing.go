package relay

import (
	"net/http"
)

// maxUnannounced is the number of responses after which a connection that is to
// be closed is closed although the host does not know what was read behind the
// last one. It bounds callers that send requests without end in a form that the
// scanner does not follow.
const maxUnannounced = 16

// frontResponse decides with the header of a response whether it closes the
// connection: requests may be read while the response is prepared.
type frontResponse struct {
	http.ResponseWriter
	isLast   func() bool
	hasBegun bool
}

// WriteHeader implements http.ResponseWriter.
func (f *frontResponse) WriteHeader(status int) {
	if status >= http.StatusOK {
		f.beginHeader()
	}
	f.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (f *frontResponse) Write(b []byte) (int, error) {
	f.beginHeader()
	return f.ResponseWriter.Write(b)
}

// Unwrap returns the response writer of the server, for http.ResponseController.
func (f *frontResponse) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// beginHeader announces the close of the connection if this response is to be
// the last one.
func (f *frontResponse) beginHeader() {
	if f.hasBegun {
		return
	}
	f.hasBegun = true
	if f.isLast() {
		f.Header().Set("Connection", "close")
	}
}

// beginResponse records that the response to the request that is handled is sent
// from now on, and reports whether it closes the connection, if the host wants
// that. It does not while a request behind it was read whole, or may be by a read
// that has begun. From then on, no byte behind the request is read but one, by
// which the server notices the end of the connection.
func (p *pipeline) beginResponse(wantsClose bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isAnswering = true
	p.isSealed = p.isSealed || wantsClose
	if !p.isSealed || len(p.early) > 0 || p.isReading || p.serverReads > p.dueBytes() {
		return false
	}
	if p.scanner.isLost {
		p.unannounced++
		p.isClosing = p.unannounced > maxUnannounced
	} else {
		p.isClosing = p.scanner.whole <= p.begun && !p.scanner.isAlmostWhole(p.begun)
	}
	return p.isClosing
}

// dueBytes returns the number of bytes that can be read without reading a
// request behind the one that is handled.
func (p *pipeline) dueBytes() int {
	if p.scanner.isLost || p.scanner.heads != p.begun {
		return 1
	}
	return p.scanner.body.dueBytes()
}

// awaitNext records that the server waits for the next request and has none in
// its buffer. A scanner that has lost track starts again there. Fewer than four
// bytes of the request may be in the buffer, which cannot tell its length.
func (p *pipeline) awaitNext() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scanner.isLost && len(p.ahead) == 0 && !p.isReading {
		p.scanner = requestScanner{heads: p.begun, whole: p.begun, gaveUp: true}
	}
}

// limitRead returns the part of a buffer into which the server may read.
func (p *pipeline) limitRead(b []byte) []byte {
	if p.isClosing {
		return b[:min(len(b), p.dueBytes())]
	}
	return b
}
