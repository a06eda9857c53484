package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	headerOutcome        = "Rhubarbrack-Outcome"
	headerReason         = "Rhubarbrack-Reason"
	headerDeadline       = "Rhubarbrack-Deadline"
	headerIdempotencyKey = "Idempotency-Key"

	headerValueNotRun  = "not-run"
	headerValueUnknown = "unknown"

	// reasonRate is the reason of a refusal by rate.
	reasonRate = "rate-exceeded"
	// reasonRunning means that the first attempt of a resent request is still
	// running.
	reasonRunning = "already-running"

	// maxIdleConnsPerHost bounds the idle connections to one host.
	maxIdleConnsPerHost = 256
)

// errUnsent marks an error that occurred before anything was sent.
var errUnsent = errors.New("no connection")

// newTransport returns a transport without proxies and HTTP/2. Requests are
// sent with a body that cannot be rewound, so that the transport never retries
// a request on its own; see package target.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", errUnsent, err)
			}
			return conn, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		Protocols:           protocols,
	}
}

// opaqueBody hides the concrete type of a reader from net/http, which could
// otherwise rewind the body.
type opaqueBody struct{ io.Reader }

// Close implements io.Closer.
func (opaqueBody) Close() error { return nil }

// attemptResult is the result of one attempt.
type attemptResult struct {
	status        int
	outcomeHeader string
	reason        string
	err           error
}

// send makes one attempt. The error in the result is nil if a complete response
// arrived.
func send(ctx context.Context, transport http.RoundTripper, address, apiKey, requestID string, r Route) attemptResult {
	request, err := newRequest(ctx, address, apiKey, requestID, r)
	if err != nil {
		return attemptResult{err: err}
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return attemptResult{err: fmt.Errorf("send to %s: %w", address, err)}
	}
	defer func() { _ = response.Body.Close() }()
	result := attemptResult{status: response.StatusCode, outcomeHeader: response.Header.Get(headerOutcome), reason: response.Header.Get(headerReason)}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		result.err = fmt.Errorf("read response of %s: %w", address, err)
	}
	return result
}

func newRequest(ctx context.Context, address, apiKey, requestID string, r Route) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Host = r.host
	request.Body, request.ContentLength = opaqueBody{bytes.NewReader(nil)}, -1
	if r.body > 0 {
		request.Body, request.ContentLength = opaqueBody{newBody(requestID, r.body)}, int64(r.body)
	} else {
		request.TransferEncoding = []string{"identity"}
	}
	if apiKey != "" {
		request.Header.Set("Authorization", "Bearer "+apiKey)
	}
	if r.hasIdempotencyKey {
		request.Header.Set(headerIdempotencyKey, requestID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(headerDeadline, deadline.UTC().Format(time.RFC3339Nano))
	}
	return request, nil
}

// newBody returns a body that differs between requests and is the same for all
// attempts of one request.
func newBody(requestID string, size int) io.Reader {
	line := []byte(requestID + "\n")
	return bytes.NewReader(bytes.Repeat(line, size/len(line)+1)[:size])
}

// requestID returns the Idempotency-Key of a request. It contains the start
// time of the run, because the system under test stores keys for longer than a
// run takes.
func requestID(runStart int64, stream uint64, number int) string {
	return strconv.FormatInt(runStart, 36) + "-" + strconv.FormatUint(stream, 10) + "-" + strconv.Itoa(number)
}
