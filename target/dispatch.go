package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

// ResponseConsumer receives a response. Its methods are called from the
// goroutine that called Dispatch.
type ResponseConsumer interface {
	// Start receives status and header before the body. The consumer owns the
	// header.
	Start(status int, header http.Header) error
	// Write receives the next part of the body. It must not keep p.
	io.Writer
}

// Dispatch sends the request to the target at address, in the form host:port,
// and streams the response to the consumer. It never sends the request twice.
// The header Rhubarbrack-Deadline carries the deadline of ctx. When ctx ends,
// the connection is closed, which tells the target of a cancellation. Nothing
// else limits the time that a target takes.
//
// A request whose body has been read from is not sent again: the outcome is
// NotRun, and the error wraps ErrBodyConsumed.
func (c *Client) Dispatch(ctx context.Context, address string, r *Request, consumer ResponseConsumer) Result {
	if r.IsBodyConsumed() {
		return Result{outcome: NotRun, err: fmt.Errorf("target %s: %w", address, ErrBodyConsumed)}
	}
	x := c.newExchange(ctx, address, r)
	defer x.close()
	response, result := x.send()
	if response == nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	x.result.status = response.StatusCode
	if isShed(response) {
		return x.shedResult(response)
	}
	if response.StatusCode < http.StatusOK {
		// Upgrade is not forwarded, so a 101 is never a valid response.
		return x.incompleteResult(fmt.Errorf("target %s: %w: status %d", x.address, ErrLost, response.StatusCode), nil)
	}
	return x.forwardResponse(response, consumer)
}

// exchange is one attempt to send a request to one target.
type exchange struct {
	client          *Client
	ctx             context.Context
	cancel          context.CancelFunc
	address         string
	request         *http.Request
	body            *requestBody
	freshConnection bool
	result          Result

	mutex           sync.Mutex
	conn            *countedConn
	connCount       int
	reused          bool
	writesBefore    int64
	bytesReadBefore int64
}

func (c *Client) newExchange(ctx context.Context, address string, r *Request) *exchange {
	x := &exchange{client: c, address: address, freshConnection: r.freshConnection, body: &requestBody{source: r.body, consumed: &r.consumed}}
	x.ctx, x.cancel = context.WithCancel(ctx)
	target := *r.url
	target.Scheme, target.Host, target.User = "http", address, nil
	request := &http.Request{
		Method: r.method, URL: &target, Host: r.host, Header: requestHeader(r.header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: x.body, ContentLength: r.length,
	}
	if !r.HasBody() {
		x.body.source = nil
		request.ContentLength = UnknownLength
		if !announcesBody(r.method) {
			// With "identity", net/http writes neither a length nor
			// chunks and does not wait for the first byte of the body.
			request.TransferEncoding = []string{"identity"}
		}
	}
	if r.id != "" {
		request.Header.Set(HeaderRequest, string(r.id))
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(HeaderDeadline, deadline.UTC().Format(time.RFC3339Nano))
	}
	x.request = request.WithContext(httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{GotConn: x.gotConn}))
	return x
}

// announcesBody reports whether servers expect a length or chunks with the
// method even if the body is empty.
func announcesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.connCount++
	if ok {
		x.conn, x.reused = conn, info.Reused
		x.writesBefore, x.bytesReadBefore = conn.counts()
	}
}

// close ends the exchange. If the transport is still reading the body, the
// body is closed.
func (x *exchange) close() {
	x.cancel()
	_ = x.body.Close()
}

// send returns the response, or a nil response and the result.
func (x *exchange) send() (*http.Response, Result) {
	transport := x.client.transport
	if x.freshConnection {
		transport = x.client.freshTransport
	}
	response, err := transport.RoundTrip(x.request)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.result.reused = x.reused
	if err == nil {
		return response, Result{}
	}
	x.result.outcome, x.result.err = x.classify(err)
	return nil, x.result
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
	if read == x.bytesReadBefore {
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

func isShed(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(HeaderOutcome) == OutcomeNotRun
}

// shedResult returns the result of a shed request. It reads the rest of the
// response so that the connection can be reused.
func (x *exchange) shedResult(r *http.Response) Result {
	_, _ = io.CopyN(io.Discard, r.Body, maxShedBodyBytes)
	x.result.outcome = Shed
	x.result.retryAfter = x.client.retryAfter(r.Header.Get("Retry-After"))
	x.result.err = fmt.Errorf("target %s: %w: %s", x.address, ErrShed, r.Header.Get(HeaderReason))
	return x.result
}

// retryAfter parses a number of seconds or a date and returns zero for
// anything else.
func (c *Client) retryAfter(value string) time.Duration {
	if seconds, err := strconv.Atoi(value); err == nil {
		return max(0, time.Duration(seconds)*time.Second)
	}
	if date, err := http.ParseTime(value); err == nil {
		return max(0, date.Sub(c.clock.Now()))
	}
	return 0
}

// forwardResponse passes the response on to the consumer.
func (x *exchange) forwardResponse(r *http.Response, consumer ResponseConsumer) Result {
	partial := newPartial(x.request, r)
	delimited := isDelimited(r)
	if err := consumer.Start(r.StatusCode, responseHeader(r.Header)); err != nil {
		return x.incompleteResult(fmt.Errorf("target %s: start of response: %w: %w", x.address, ErrConsumer, err), nil)
	}
	x.result.started = true
	if err := x.copyBody(r, consumer); err != nil {
		return x.incompleteResult(err, partial)
	}
	if !delimited {
		return x.incompleteResult(fmt.Errorf("target %s: %w", x.address, ErrUndelimited), nil)
	}
	x.result.outcome = Ran
	return x.result
}

// incompleteResult returns the result of a response that was not passed on
// completely.
func (x *exchange) incompleteResult(err error, partial *PartialDownload) Result {
	x.result.outcome, x.result.err = Unknown, err
	if partial != nil && !errors.Is(err, ErrConsumer) {
		partial.next += x.result.bytes
		x.result.partial = partial
	}
	return x.result
}

// isDelimited reports whether the end of the body can be distinguished from a
// lost connection.
func isDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}
