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
// The header Rhubarbrack-Deadline carries the deadline of ctx, and
// Rhubarbrack-Attempt an ID of this dispatch that the response should bear. When
// ctx ends, the connection is closed, which tells the target of a cancellation.
// Nothing else limits the time that a target takes.
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
	attempt         string
	result          Result

	mutex     sync.Mutex
	conn      *countedConn
	connCount int
	reused    bool
	// holdsConn is set while the exchange has not decided about conn, and
	// retired when no other exchange may use it.
	holdsConn, retired bool
	writesBefore       int64
	bytesReadBefore    int64
}

func (c *Client) newExchange(ctx context.Context, address string, r *Request) *exchange {
	x := &exchange{client: c, address: address, freshConnection: r.freshConnection, attempt: c.attempts.next(),
		body: &requestBody{source: r.body, consumed: &r.consumed}}
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
	request.Header.Set(HeaderAttempt, x.attempt)
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

// close ends the exchange. If the transport is still reading the body, the
// body is closed.
func (x *exchange) close() {
	x.cancel()
	_ = x.body.Close()
	if x.retired {
		_ = x.conn.Close()
	}
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
