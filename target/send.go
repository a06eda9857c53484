package target

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"

	"rhubarbrack/intact"
)

// gotConn runs before the request is written. A connection that was given up
// meanwhile rejects the request; its body stays unread, so that it can be sent
// on another connection.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.connCount++; x.connCount > 1 {
		x.retireConn()
		x.releaseConn()
	}
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	usable := conn.begin()
	x.conn, x.holdsConn, x.reused = conn, true, info.Reused
	x.writesBefore, x.bytesReadBefore = conn.counts()
	if !usable {
		_ = x.body.Close()
	}
}

// releaseConn lets the next exchange use the connection. The caller holds the
// mutex.
func (x *exchange) releaseConn() {
	if x.holdsConn {
		x.holdsConn = false
		x.conn.end()
	}
}

// send returns the response, or a nil response and the result. When a kept
// connection is closed before anything of the request was written to it, a new
// one takes its place.
func (x *exchange) send() (*http.Response, Result) {
	transport := x.client.transport
	if x.freshConnection {
		transport = x.client.freshTransport
	}
	response, result := x.roundTrip(transport)
	if response == nil && x.canReplaceConn(result) {
		x.replaceConn()
		return x.roundTrip(x.client.freshTransport)
	}
	return response, result
}

// canReplaceConn reports whether the request can be sent on a new connection
// because nothing of it was written or read.
func (x *exchange) canReplaceConn(result Result) bool {
	return result.outcome == NotRun && x.reused && x.contextCause() == nil && !x.body.isUsed()
}

// replaceConn prepares the exchange for a new connection.
func (x *exchange) replaceConn() {
	_ = x.body.Close()
	x.body = &requestBody{source: x.body.source, consumed: x.body.consumed}
	x.request.Body = x.body
	x.result = Result{}
	x.conn, x.connCount, x.reused, x.retired = nil, 0, false, false
}

// roundTrip sends the request by the transport and decides whether the next
// request may use the connection.
func (x *exchange) roundTrip(transport *http.Transport) (*http.Response, Result) {
	response, err := transport.RoundTrip(x.request)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	defer x.releaseConn()
	x.result.reused = x.reused
	if err != nil {
		x.result.outcome, x.result.err = x.classify(err)
		x.retireConn()
		return nil, x.result
	}
	if err := x.pair(response); err != nil {
		_ = response.Body.Close()
		x.result.outcome, x.result.err = Unknown, err
		return nil, x.result
	}
	return response, Result{}
}

// classify determines the outcome of a request without a response. The caller
// holds the mutex.
func (x *exchange) classify(err error) (Outcome, error) {
	switch {
	case x.connCount > 1:
		return Unknown, fmt.Errorf("target %s: %w: %w", x.address, ErrResent, err)
	case x.conn == nil && x.connCount == 0:
		return NotRun, x.notRunError(err)
	case x.conn == nil:
		return Unknown, fmt.Errorf("target %s: %w: %w", x.address, ErrLost, err)
	}
	writes, read := x.conn.seal()
	if writes == x.writesBefore {
		return NotRun, x.notRunError(err)
	}
	if cause := x.contextCause(); cause != nil {
		return Unknown, fmt.Errorf("target %s: no response: %w", x.address, cause)
	}
	if bodyErr := x.bodyError(err); bodyErr != nil {
		return Unknown, fmt.Errorf("target %s: %w: %w", x.address, ErrRequestBody, bodyErr)
	}
	// A malformed header has arrived, though nothing of it was read.
	if read == x.bytesReadBefore && !errors.Is(err, intact.ErrMalformed) {
		return Crashed, fmt.Errorf("target %s: %w before its response: %w", x.address, ErrLost, err)
	}
	return Unknown, fmt.Errorf("target %s: %w: %w", x.address, ErrLost, err)
}

// notRunError wraps the error of a request of which nothing was written.
func (x *exchange) notRunError(err error) error {
	if cause := x.contextCause(); cause != nil {
		return fmt.Errorf("target %s: not sent: %w", x.address, cause)
	}
	if errors.Is(err, ErrDial) {
		return fmt.Errorf("target %s: %w", x.address, err)
	}
	if x.connCount == 0 {
		return fmt.Errorf("target %s: %w: %w", x.address, ErrMalformedRequest, err)
	}
	return fmt.Errorf("target %s: %w before the request: %w", x.address, ErrLost, err)
}

// contextCause returns the cause of the end of the context, or nil if it has
// not ended.
func (x *exchange) contextCause() error {
	if x.ctx.Err() == nil {
		return nil
	}
	return context.Cause(x.ctx)
}

// bodyError returns the error of the request body, or nil. Only the transport
// reports a body that is shorter than announced.
func (x *exchange) bodyError(err error) error {
	if readErr := x.body.err(); readErr != nil {
		return readErr
	}
	if x.body.endedEarly(x.request.ContentLength) {
		return fmt.Errorf("source ended early: %w", err)
	}
	return nil
}
