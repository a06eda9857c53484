package relay

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
)

// UnansweredCause tells why a request that was read whole has no complete
// response.
type UnansweredCause string

// The causes of requests without a complete response.
const (
	// CallerLeft means that the caller has ended the connection.
	CallerLeft UnansweredCause = "caller-left"
	// BrokenOff means that the response has broken off, or has not begun.
	BrokenOff UnansweredCause = "broken-off"
	// Undelivered means that the request was handled early, and the connection
	// has ended before it was its response's turn.
	Undelivered UnansweredCause = "undelivered"
	// NotBegun means that the connection has ended before the request was
	// handled.
	NotBegun UnansweredCause = "not-begun"
)

// requestState is how far the handling of a request has come.
type requestState int

const (
	requestWaiting requestState = iota
	// requestEarly means that the request was begun before its turn.
	requestEarly
	// requestBegun means that the server handles the request.
	requestBegun
	// requestHandled means that the handler has returned its response. A part of
	// it may wait to be written.
	requestHandled
)

// receivedRequest is a request of a connection, from its header to the last
// byte of its response.
type receivedRequest struct {
	number uint64
	head   scannedHead
	state  requestState
	// incoming is the request that the server has read, or nil.
	incoming *http.Request
}

// request returns the request, or nil if its header cannot be read.
func (r *receivedRequest) request() *http.Request {
	if r.incoming != nil {
		return r.incoming
	}
	request, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(r.head.text), len(r.head.text)))
	if err != nil {
		return nil
	}
	return request
}

// cause returns why the request has no response.
func (r *receivedRequest) cause() UnansweredCause {
	switch r.state {
	case requestWaiting:
		return NotBegun
	case requestEarly:
		return Undelivered
	default:
		return BrokenOff
	}
}

// beginReceived records that the server has begun a request. The scanner does
// not know of it if it has lost track.
func (p *pipeline) beginReceived(r *http.Request) {
	if p.scanner.heads < p.begun {
		p.scanner.lose()
	}
	current := p.current()
	if current == nil {
		current = &receivedRequest{number: p.begun}
		p.received = slices.Insert(p.received, 0, current)
	}
	current.state, current.incoming, current.head.text = requestBegun, r, nil
}

// current returns the request that the server has begun last, or nil if its
// response is complete.
func (p *pipeline) current() *receivedRequest {
	i := slices.IndexFunc(p.received, func(r *receivedRequest) bool { return r.number == p.begun })
	if i < 0 {
		return nil
	}
	return p.received[i]
}

// completeResponse records that the response to the request that was handled
// last has been written.
func (p *pipeline) completeResponse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received = slices.DeleteFunc(p.received, func(r *receivedRequest) bool { return r.state == requestHandled })
}

// noteEnd ends the requests of the connection if an error tells that it has
// ended, and records whether the caller has ended it.
func (p *pipeline) noteEnd(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	p.end()
	if !errors.Is(err, net.ErrClosed) {
		p.hasCallerLeft = true
	}
}

// noteWrite records an error of a write.
func (p *pipeline) noteWrite(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasWriteFailed = true
	p.noteEnd(err)
}

// endsWithAnswer reports whether the connection is closed behind a complete
// response, and not because it is idle or the host or the caller ends it.
func (p *pipeline) endsWithAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.current()
	return current != nil && current.state == requestHandled && !p.hasWriteFailed && p.ctx.Err() == nil
}

// close ends the requests of the connection, and records the ones that were
// read whole and have no complete response.
func (p *pipeline) close() {
	p.end()
	p.mu.Lock()
	var unanswered []*receivedRequest
	for _, r := range p.received {
		isComplete := r.state == requestHandled && !p.hasWriteFailed
		if p.isWhole(r) && !isComplete {
			unanswered = append(unanswered, r)
		}
	}
	p.received = nil
	hasCallerLeft := p.hasCallerLeft
	p.mu.Unlock()
	for _, r := range unanswered {
		cause := r.cause()
		if hasCallerLeft {
			cause = CallerLeft
		}
		p.handler.RecordUnanswered(r.request(), cause)
	}
}

// isWhole reports whether a request was read whole. Where the scanner has lost
// track, that is known of requests without a body.
func (p *pipeline) isWhole(r *receivedRequest) bool {
	return r.number <= p.scanner.whole || r.incoming != nil && r.incoming.ContentLength == 0
}
