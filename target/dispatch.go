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

// ResponseConsumer receives an answer. Its methods are called from the goroutine that
// called Dispatch.
type ResponseConsumer interface {
	// Start receives status and header before the body. The header belongs
	// to the sink.
	Start(status int, header http.Header) error
	// Write receives the next part of the body. It must not keep p.
	io.Writer
}

// Dispatch sends the request to the target at address, in the form host:port,
// and streams the answer to the sink. It never sends the request twice. The
// deadline of ctx travels in the header Rhubarbrack-Deadline, and the end of
// ctx closes the connection, by which the target learns of a cancellation.
// Nothing else bounds the time that a target takes.
//
// A request whose body has been read from is not sent again: the outcome is
// NotRun, and the error wraps ErrSpent.
func (c *Client) Dispatch(ctx context.Context, address string, r *Request, sink ResponseConsumer) Result {
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
		return x.shed(response)
	}
	if response.StatusCode < http.StatusOK {
		// Upgrade is not forwarded, so 101 answers no request of ours.
		return x.broken(fmt.Errorf("target %s: %w: status %d", x.address, ErrLost, response.StatusCode), nil)
	}
	return x.relay(response, sink)
}

// exchange is one request on its way to one target.
type exchange struct {
	client  *Client
	ctx     context.Context
	cancel  context.CancelFunc
	address string
	request *http.Request
	body    *sourceBody
	fresh   bool
	result  Result

	mutex       sync.Mutex
	conn        *countedConn
	conns       int
	reused      bool
	writesStart int64
	readStart   int64
}

func (c *Client) newExchange(ctx context.Context, address string, r *Request) *exchange {
	x := &exchange{client: c, address: address, fresh: r.fresh, body: &sourceBody{source: r.body, spent: &r.spent}}
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
			// chunks, and does not wait for the first byte of the body.
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
// method even when the body is empty.
func announcesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.conns++
	if ok {
		x.conn, x.reused = conn, info.Reused
		x.writesStart, x.readStart = conn.counts()
	}
}

// close ends the exchange. A body that the transport still reads is closed.
func (x *exchange) close() {
	x.cancel()
	_ = x.body.Close()
}

// send returns the answer, or a nil response and the result.
func (x *exchange) send() (*http.Response, Result) {
	via := x.client.transport
	if x.fresh {
		via = x.client.fresh
	}
	response, err := via.RoundTrip(x.request)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.result.reused = x.reused
	if err == nil {
		return response, Result{}
	}
	x.result.outcome, x.result.err = x.classify(err)
	return nil, x.result
}

// classify decides the outcome of a request without an answer. The caller
// holds the mutex.
func (x *exchange) classify(err error) (Outcome, error) {
	switch {
	case x.conns > 1:
		return Unknown, fmt.Errorf("target %s: %w: %w", x.address, ErrResent, err)
	case x.conn == nil && x.conns == 0:
		return NotRun, x.unsent(err)
	case x.conn == nil:
		return Unknown, fmt.Errorf("target %s: %w: %w", x.address, ErrLost, err)
	}
	writes, read := x.conn.seal()
	if writes == x.writesStart {
		return NotRun, x.unsent(err)
	}
	if cause := x.ended(); cause != nil {
		return Unknown, fmt.Errorf("target %s: no answer: %w", x.address, cause)
	}
	if source := x.sourceFault(err); source != nil {
		return Unknown, fmt.Errorf("target %s: %w: %w", x.address, ErrRequestBody, source)
	}
	if read == x.readStart {
		return Crashed, fmt.Errorf("target %s: %w before its answer: %w", x.address, ErrLost, err)
	}
	return Unknown, fmt.Errorf("target %s: %w: %w", x.address, ErrLost, err)
}

// unsent wraps the error of a request of which nothing was written.
func (x *exchange) unsent(err error) error {
	if cause := x.ended(); cause != nil {
		return fmt.Errorf("target %s: not sent: %w", x.address, cause)
	}
	if errors.Is(err, ErrDial) {
		return fmt.Errorf("target %s: %w", x.address, err)
	}
	if x.conns == 0 {
		return fmt.Errorf("target %s: %w: %w", x.address, ErrMalformedRequest, err)
	}
	return fmt.Errorf("target %s: %w before the request: %w", x.address, ErrLost, err)
}

// ended returns the cause with which the context ended, or nil.
func (x *exchange) ended() error {
	if x.ctx.Err() == nil {
		return nil
	}
	return context.Cause(x.ctx)
}

// sourceFault returns the error of the request body, or nil. Only the
// transport reports a body that is shorter than announced.
func (x *exchange) sourceFault(err error) error {
	if fault := x.body.err(); fault != nil {
		return fault
	}
	if x.body.short(x.request.ContentLength) {
		return fmt.Errorf("source ended early: %w", err)
	}
	return nil
}

func isShed(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(HeaderOutcome) == OutcomeNotRun
}

// shed reads the rest of a refusal so that its connection can be used again.
func (x *exchange) shed(r *http.Response) Result {
	_, _ = io.CopyN(io.Discard, r.Body, shedBodyBytes)
	x.result.outcome = Shed
	x.result.retryAfter = x.client.retryAfter(r.Header.Get("Retry-After"))
	x.result.err = fmt.Errorf("target %s: %w: %s", x.address, ErrShed, r.Header.Get(HeaderReason))
	return x.result
}

// retryAfter parses seconds or a date and returns zero for anything else.
func (c *Client) retryAfter(value string) time.Duration {
	if seconds, err := strconv.Atoi(value); err == nil {
		return max(0, time.Duration(seconds)*time.Second)
	}
	if date, err := http.ParseTime(value); err == nil {
		return max(0, date.Sub(c.clock.Now()))
	}
	return 0
}

// relay passes the answer on.
func (x *exchange) relay(r *http.Response, sink ResponseConsumer) Result {
	partial := partialOf(x.request, r)
	delimited := isDelimited(r)
	if err := sink.Start(r.StatusCode, answerHeader(r.Header)); err != nil {
		return x.broken(fmt.Errorf("target %s: start of answer: %w: %w", x.address, ErrConsumer, err), nil)
	}
	x.result.started = true
	if err := x.copyBody(r, sink); err != nil {
		return x.broken(err, partial)
	}
	if !delimited {
		return x.broken(fmt.Errorf("target %s: %w", x.address, ErrUndelimited), nil)
	}
	x.result.outcome = Ran
	return x.result
}

// broken returns the result of an answer that did not pass completely.
func (x *exchange) broken(err error, partial *PartialDownload) Result {
	x.result.outcome, x.result.err = Unknown, err
	if partial != nil && !errors.Is(err, ErrConsumer) {
		partial.next += x.result.bytes
		x.result.partial = partial
	}
	return x.result
}

// isDelimited reports whether the end of the body can be told from a lost
// connection.
func isDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}
