package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"rhubarbrack/ident"
	"rhubarbrack/intact"
	"rhubarbrack/once"
	"rhubarbrack/route"
	"rhubarbrack/steer"
	"rhubarbrack/target"
)

// Dispatcher sends requests to targets.
type Dispatcher interface {
	// Dispatch sends the request once and streams the response to the
	// consumer.
	Dispatch(ctx context.Context, address string, r *target.Request, consumer target.ResponseConsumer) target.Result
	// Resume continues an interrupted download from another target.
	Resume(ctx context.Context, address string, r *target.Request, interrupted target.PartialDownload, w io.Writer) target.Result
}

var _ Dispatcher = (*target.Client)(nil)

// exchange is one HTTP request while the router handles it. It is used only by
// the goroutine of the request.
type exchange struct {
	writer       http.ResponseWriter
	request      *http.Request
	dispatcher   Dispatcher
	id           ident.RequestID
	body         []byte
	maxBodyBytes int64
	status       int
	started      bool
	streaming    bool
	// complete records that a response without a length has been written whole. It is
	// nil before the response and for others.
	complete       func()
	partial        target.PartialDownload
	resumable      bool
	recordedBody   bytes.Buffer
	recordOverflow bool
}

var (
	_ route.Exchange          = (*exchange)(nil)
	_ target.ResponseConsumer = (*exchange)(nil)
)

// Body implements route.Exchange.
func (x *exchange) Body(_ context.Context, limit int64) ([32]byte, error) {
	limit = min(limit, x.maxBodyBytes)
	if x.request.ContentLength > limit {
		return [32]byte{}, fmt.Errorf("%d bytes: %w", x.request.ContentLength, route.ErrBodyTooLarge)
	}
	body, err := io.ReadAll(io.LimitReader(x.request.Body, limit+1))
	if err != nil {
		return [32]byte{}, fmt.Errorf("read request body: %w", err)
	}
	if int64(len(body)) > limit {
		return [32]byte{}, fmt.Errorf("more than %d bytes: %w", limit, route.ErrBodyTooLarge)
	}
	x.body = body
	return sha256.Sum256(body), nil
}

// Send implements route.Exchange.
func (x *exchange) Send(ctx context.Context, address string) route.AttemptResult {
	request, err := x.targetRequest()
	if err != nil {
		return route.NewAttemptResult(steer.OutcomeCancelled, route.AttemptNotRun())
	}
	var out target.Result
	if x.started {
		out = x.dispatcher.Resume(ctx, address, request, x.partial, x)
	} else {
		out = x.dispatcher.Dispatch(ctx, address, request, x)
	}
	x.partial, x.resumable = out.Partial()
	return x.attemptResult(ctx, out)
}

// safeMethods are the methods whose requests change nothing at a target.
var safeMethods = map[string]bool{http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true}

// targetRequest returns the request to send to a target.
func (x *exchange) targetRequest() (*target.Request, error) {
	header := x.request.Header.Clone()
	header.Del(HeaderTimeout)
	list := []target.RequestOption{
		target.WithHeader(header), target.WithHost(x.request.Host), target.WithRequestID(x.id),
	}
	if !safeMethods[x.request.Method] {
		// On a reused connection, a target that closes it as idle cannot be
		// distinguished from one that crashed, and the outcome would be
		// unknown.
		list = append(list, target.WithFreshConnection())
	}
	if len(x.body) > 0 {
		list = append(list, target.WithBody(bytes.NewReader(x.body), int64(len(x.body))))
	}
	request, err := target.NewRequest(x.request.Method, x.request.URL.RequestURI(), list...)
	if err != nil {
		return nil, fmt.Errorf("forward request: %w", err)
	}
	return request, nil
}

// attemptResult translates the result of a dispatch.
func (x *exchange) attemptResult(ctx context.Context, out target.Result) route.AttemptResult {
	var list []route.AttemptOption
	if x.started {
		list = append(list, route.AttemptStarted(x.resumable))
	}
	if out.RetryAfter() > 0 {
		list = append(list, route.AttemptRetryAfter(out.RetryAfter()))
	}
	switch out.Outcome() {
	case target.Ran:
		list = append(list, route.AttemptComplete())
		if out.Status() >= http.StatusInternalServerError {
			return route.NewAttemptResult(steer.OutcomeFailed, list...)
		}
		return route.NewAttemptResult(steer.OutcomeOK, list...)
	case target.NotRun:
		list = append(list, route.AttemptNotRun())
		if ctx.Err() != nil || errors.Is(out.Err(), target.ErrMalformedRequest) {
			return route.NewAttemptResult(steer.OutcomeCancelled, list...)
		}
		return route.NewAttemptResult(steer.OutcomeUnreachable, list...)
	case target.Shed:
		return route.NewAttemptResult(steer.OutcomeShed, append(list, route.AttemptNotRun())...)
	}
	return route.NewAttemptResult(incompleteOutcome(ctx, out), list...)
}

// incompleteOutcome returns what the target is held responsible for when no
// complete response arrived.
func incompleteOutcome(ctx context.Context, out target.Result) steer.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return steer.OutcomeTimeout
	case ctx.Err() != nil || errors.Is(out.Err(), target.ErrConsumer):
		return steer.OutcomeCancelled
	case out.Outcome() == target.Crashed:
		return steer.OutcomeCrashed
	default:
		return steer.OutcomeFailed
	}
}

// Start implements target.ResponseConsumer.
func (x *exchange) Start(status int, header http.Header) error {
	out := x.writer.Header()
	for name, values := range header {
		out[name] = values
	}
	out.Set(HeaderOutcome, string(route.Ran))
	out.Set(HeaderRequest, string(x.id))
	x.started, x.status = true, status
	x.streaming = header.Get("Content-Length") == ""
	if x.streaming {
		x.complete = intact.GuardEnd(x.writer, x.request, connOf(x.request))
	}
	x.writer.WriteHeader(status)
	return nil
}

// Write implements target.ResponseConsumer.
func (x *exchange) Write(p []byte) (int, error) {
	x.recordBody(p)
	n, err := x.writer.Write(p)
	if err != nil {
		return n, fmt.Errorf("write to caller: %w", err)
	}
	if x.streaming {
		// A response of unknown length may be a stream whose reader waits
		// for each part.
		if err := http.NewResponseController(x.writer).Flush(); err != nil {
			return n, fmt.Errorf("flush to caller: %w", err)
		}
	}
	return n, nil
}

// recordBody keeps a copy of the response to a request with an idempotency
// key, because the claim may have to record it.
func (x *exchange) recordBody(p []byte) {
	if x.recordOverflow || x.request.Header.Get(HeaderIdempotencyKey) == "" {
		return
	}
	if x.recordedBody.Len()+len(p) > once.DefaultMaxResultBytes {
		x.recordOverflow = true
		x.recordedBody.Reset()
		return
	}
	x.recordedBody.Write(p)
}

// RecordedResponse implements route.Exchange.
func (x *exchange) RecordedResponse() once.Result {
	if x.recordOverflow {
		return once.TooLarge(x.status)
	}
	var headers []once.Header
	for _, name := range recordedHeaders {
		if value := x.writer.Header().Get(name); value != "" {
			headers = append(headers, once.NewHeader(name, value))
		}
	}
	return once.NewResult(x.status, headers, bytes.Clone(x.recordedBody.Bytes()))
}

// recordedHeaders are the response headers that a replay includes.
var recordedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified"}

// Replay implements route.Exchange.
func (x *exchange) Replay(_ context.Context, result once.Result) error {
	header := x.writer.Header()
	for _, h := range result.Headers() {
		header.Set(h.Name(), h.Value())
	}
	header.Set(HeaderOutcome, string(route.Ran))
	header.Set(HeaderReason, string(route.ReasonReplayed))
	header.Set(HeaderRequest, string(x.id))
	header.Set("Content-Length", strconv.Itoa(len(result.Body())))
	x.writer.WriteHeader(result.Status())
	if _, err := x.writer.Write(result.Body()); err != nil {
		return fmt.Errorf("write recorded answer: %w", err)
	}
	return nil
}
