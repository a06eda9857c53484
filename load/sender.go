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
	headerOutcome  = "Rhubarbrack-Outcome"
	headerReason   = "Rhubarbrack-Reason"
	headerDeadline = "Rhubarbrack-Deadline"
	headerKey      = "Idempotency-Key"

	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"

	// reasonRate is the reason of a refusal by rate.
	reasonRate = "rate-exceeded"
	// reasonRunning says that the first attempt of a resent request runs.
	reasonRunning = "already-running"

	// idleConns is the number of idle connections kept per host.
	idleConns = 256
)

// errUnsent marks an error before anything was sent.
var errUnsent = errors.New("no connection")

// newTransport returns a transport without proxies and HTTP/2. Requests go
// out with a body that cannot be rewound, so that the transport resends none
// by itself; see package target.
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
		MaxIdleConnsPerHost: idleConns,
		Protocols:           protocols,
	}
}

// opaqueBody hides the type of a reader from net/http.
type opaqueBody struct{ io.Reader }

// Close implements io.Closer.
func (opaqueBody) Close() error { return nil }

// verdict is the answer to one attempt.
type verdict struct {
	status  int
	outcome string
	reason  string
	err     error
}

// send makes one attempt. The error is nil when a whole answer arrived.
func send(ctx context.Context, via http.RoundTripper, address, key, id string, r Route) verdict {
	request, err := newRequest(ctx, address, key, id, r)
	if err != nil {
		return verdict{err: err}
	}
	response, err := via.RoundTrip(request)
	if err != nil {
		return verdict{err: fmt.Errorf("send to %s: %w", address, err)}
	}
	defer func() { _ = response.Body.Close() }()
	v := verdict{status: response.StatusCode, outcome: response.Header.Get(headerOutcome), reason: response.Header.Get(headerReason)}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		v.err = fmt.Errorf("answer of %s: %w", address, err)
	}
	return v
}

func newRequest(ctx context.Context, address, key, id string, r Route) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Host = r.host
	request.Body, request.ContentLength = opaqueBody{bytes.NewReader(nil)}, -1
	if r.body > 0 {
		request.Body, request.ContentLength = opaqueBody{newBody(id, r.body)}, int64(r.body)
	} else {
		request.TransferEncoding = []string{"identity"}
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if r.keyed {
		request.Header.Set(headerKey, id)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(headerDeadline, deadline.UTC().Format(time.RFC3339Nano))
	}
	return request, nil
}

// newBody returns a body that differs between requests and is equal for each
// attempt of one request.
func newBody(id string, size int) io.Reader {
	unit := []byte(id + "\n")
	return bytes.NewReader(bytes.Repeat(unit, size/len(unit)+1)[:size])
}

// requestID returns the Idempotency-Key of a request. The run is part of it,
// because the system under test remembers keys longer than a run lasts.
func requestID(run int64, stream uint64, number int) string {
	return strconv.FormatInt(run, 36) + "-" + strconv.FormatUint(stream, 10) + "-" + strconv.Itoa(number)
}
