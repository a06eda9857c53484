package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
)

// maxEarlyBytes is the size up to which the response to an early request is
// buffered until it is its turn.
const maxEarlyBytes = bufferedResponseBytes

// earlyRequest is a request that is handled while a request before it on the
// same connection is unanswered.
type earlyRequest struct {
	number   uint64
	request  *http.Request
	response *earlyResponse
	cancel   context.CancelFunc
	// done is closed when the request has been handled.
	done chan struct{}
	// The fields below are set before done is closed.
	skipped bool
	aborted bool
}

// newEarlyRequest returns the request with the given header, which is not yet
// being handled. The number counts the requests of the connection.
func newEarlyRequest(ctx context.Context, number uint64, head []byte) (*earlyRequest, error) {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil {
		return nil, fmt.Errorf("read pipelined request: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	return &earlyRequest{
		number: number, request: r.WithContext(ctx), cancel: cancel, done: make(chan struct{}),
		response: newEarlyResponse(ctx),
	}, nil
}

// serve handles the request if the handler allows it. If the handler aborts,
// the connection is aborted when it is this response's turn.
func (e *earlyRequest) serve(handler FrontHandler, log *slog.Logger) {
	defer close(e.done)
	defer func() {
		if cause := recover(); cause != nil {
			e.aborted = true
			if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				log.Error("relay: handler of a pipelined request failed", "cause", cause, "stack", string(debug.Stack()))
			}
		}
	}()
	if !handler.IsRetryable(e.request) {
		e.skipped = true
		return
	}
	handler.ServeHTTP(e.response, e.request)
}

// isSame reports whether the server has read the same request.
func (e *earlyRequest) isSame(r *http.Request) bool {
	return e.request.Method == r.Method && e.request.RequestURI == r.RequestURI && e.request.Host == r.Host
}

// deliver writes the response once the responses before it are complete. It
// returns false if the request was not handled.
func (e *earlyRequest) deliver(w http.ResponseWriter) bool {
	defer e.cancel()
	select {
	case <-e.done:
	case <-e.response.full:
	}
	if e.skipped {
		return false
	}
	e.response.attach(w)
	<-e.done
	if e.aborted {
		panic(http.ErrAbortHandler)
	}
	return true
}

// earlyResponse buffers the beginning of a response until it is its turn.
type earlyResponse struct {
	ctx    context.Context
	header http.Header
	// full is closed when the buffer cannot take the next bytes.
	full chan struct{}
	// attached is closed when the rest can be written to the caller.
	attached chan struct{}
	once     sync.Once
	status   int
	buffer   []byte
	writer   http.ResponseWriter
}

var _ http.ResponseWriter = (*earlyResponse)(nil)

func newEarlyResponse(ctx context.Context) *earlyResponse {
	return &earlyResponse{ctx: ctx, header: http.Header{}, full: make(chan struct{}), attached: make(chan struct{})}
}

// Header implements http.ResponseWriter.
func (e *earlyResponse) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *earlyResponse) WriteHeader(status int) {
	if e.status == 0 {
		e.status = status
	}
}

// Write implements http.ResponseWriter. It waits for the response's turn if the
// buffer is full.
func (e *earlyResponse) Write(b []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if len(e.buffer)+len(b) <= maxEarlyBytes && e.writer == nil {
		e.buffer = append(e.buffer, b...)
		return len(b), nil
	}
	e.once.Do(func() { close(e.full) })
	select {
	case <-e.attached:
	case <-e.ctx.Done():
		return 0, fmt.Errorf("wait for the responses before: %w", context.Cause(e.ctx))
	}
	n, err := e.writer.Write(b)
	if err != nil {
		return n, fmt.Errorf("write response: %w", err)
	}
	return n, nil
}

// attach writes the buffered part to the caller. It is called when the request
// has been handled or Write waits.
func (e *earlyResponse) attach(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range e.header {
		h[name] = values
	}
	if e.status > 0 {
		w.WriteHeader(e.status)
	}
	// An error means that the caller has gone, which the server notices too.
	_, _ = w.Write(e.buffer)
	e.writer, e.buffer = w, nil
	close(e.attached)
}
