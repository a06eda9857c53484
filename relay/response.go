package relay

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"rhubarbrack/admit"
	"rhubarbrack/link"
	"rhubarbrack/spread"
)

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// errGivenUp means that the host stops before a response has begun.
const errGivenUp = errors.ConstError("given up at the end of the grace period")

// relayResponse returns a response to the caller, or decides whether to retry
// after a failure.
func (rh *requestHandler) relayResponse(d admit.Decision, exchange *link.Exchange) (admit.Decision, bool) {
	r := exchange.Response()
	response := rh.decodeResponse(d, r)
	if response.foreign || response.notRun {
		return rh.handleNotRun(d, exchange, response)
	}
	rh.mayHaveRun = true
	if !response.genuine || r.Header.Get("Content-Encoding") != "" || r.StatusCode == http.StatusSwitchingProtocols {
		exchange.Abort()
		return rh.handleBroken(d, fmt.Errorf("%w: status %d", link.ErrResponseMismatch, r.StatusCode))
	}
	var body []byte
	var err error
	// A response that is known to be long is streamed from its first byte.
	if r.ContentLength <= bufferedResponseBytes {
		body, err = io.ReadAll(io.LimitReader(r.Body, bufferedResponseBytes+1))
	}
	if err != nil {
		exchange.Abort()
		return rh.handleBroken(d, fmt.Errorf("response incomplete: %w", err))
	}
	rh.reportResponse(d)
	result := spread.Served
	if r.StatusCode >= http.StatusInternalServerError {
		result = spread.Failed
	}
	header := r.Header.Clone()
	dropHopHeaders(header)
	rh.handler.dialect.SetResponseHeaders(header, d.Choice().Target())
	if len(body) > bufferedResponseBytes || r.ContentLength > bufferedResponseBytes {
		if !rh.keep() {
			rh.giveUp()
			exchange.Abort()
			return rh.handleBroken(d, errGivenUp)
		}
		rh.streamResponse(d, exchange, response, result, header, body)
		return admit.Decision{}, true
	}
	exchange.Finish()
	rh.recordResult(d, result, response)
	rh.response = &bufferedResponse{status: r.StatusCode, header: header, body: body}
	if result == spread.Failed && d.State().Route().Kind().IsRetryable() {
		rh.logFailedAttempt(d, result, nil)
		return rh.retry(d, afterFailure), false
	}
	rh.writeResponse(d)
	return admit.Decision{}, true
}

// decodeResponse decodes a response of a target, or one that came through another
// entry host.
func (rh *requestHandler) decodeResponse(d admit.Decision, r *http.Response) Response {
	response := rh.handler.dialect.DecodeResponse(r)
	if _, ok := d.Peer().Get(); ok {
		response.target = rh.handler.peers.TakeTarget(r.Header)
	}
	return response
}

// handleNotRun handles a response that proves that the request has not run.
func (rh *requestHandler) handleNotRun(d admit.Decision, exchange *link.Exchange, response Response) (admit.Decision, bool) {
	exchange.Discard()
	result := spread.Full
	if response.foreign {
		result = spread.Foreign
	}
	rh.recordResult(d, result, response)
	rh.logFailedAttempt(d, result, nil)
	return rh.retry(d, afterFailure), false
}

// writeResponse writes the buffered response.
func (rh *requestHandler) writeResponse(d admit.Decision) {
	rh.beginAnswer()
	h := rh.writer.Header()
	for name, values := range rh.response.header {
		h[name] = values
	}
	if len(rh.response.body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(rh.response.body)))
	}
	rh.writer.WriteHeader(rh.response.status)
	_, err := rh.writer.Write(rh.response.body)
	rh.recordEnd(d, "answered", slog.Int("status", rh.response.status), slog.Int("bytes", len(rh.response.body)), errorAttr(err))
}
