package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/link"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// requestHandler handles one request over all its attempts.
type requestHandler struct {
	handler  *Handler
	writer   http.ResponseWriter
	incoming *http.Request
	request  admit.Request
	ctx      context.Context
	body     []byte
	// longBody is set if the request body exceeds the buffer. Such requests
	// cannot be retried.
	longBody bool
	// newConnection is set if the last attempt opened a connection, or tried to.
	newConnection bool
	// connection is the local address of the last attempt's connection, or "" if
	// there is none, and carried the number of earlier requests on it.
	connection string
	carried    int
	// forwardedAt is when the last attempt through another entry host began.
	forwardedAt time.Time
	// wasLost is set once the connection to a target broke.
	wasLost bool
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// response is the last complete response, if any.
	response *bufferedResponse
}

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// handle carries out the first decision, and those on retries.
func (rh *requestHandler) handle(d admit.Decision) {
	if d.CanRequestToken() {
		d = rh.requestToken(d)
	}
	if reason, refused := d.Refused(); refused {
		rh.writeRefusal(d, reason)
		return
	}
	if err := rh.readBody(); err != nil {
		rh.recordResult(d, spread.Abandoned, Response{})
		rh.handler.log.Info("relay: request body incomplete", "request", rh.request.ID(), "error", err)
		panic(http.ErrAbortHandler)
	}
	d = rh.confirmAfterBody(d)
	if reason, refused := d.Refused(); refused {
		rh.writeRefusal(d, reason)
		return
	}
	ctx, cancel := context.WithDeadline(rh.incoming.Context(), d.State().Deadline())
	defer cancel()
	defer context.AfterFunc(rh.handler.ending, cancel)()
	rh.ctx = ctx
	for {
		next, done := rh.attempt(d)
		if done {
			return
		}
		reason, refused := next.Refused()
		if !refused {
			d = next
			continue
		}
		rh.finish(next, reason)
		return
	}
}

// requestToken requests a token of the reserve when the host's share of a rate
// is used up.
func (rh *requestHandler) requestToken(d admit.Decision) admit.Decision {
	h := rh.handler
	rate, burst := d.State().RateLimit()
	wait := max(minTokenTimeout, time.Duration(tokenTimeoutShare*float64(d.State().Route().LatencyObjective())))
	ctx, cancel := context.WithTimeout(rh.incoming.Context(), wait)
	defer cancel()
	ok, err := h.tokens.RequestToken(ctx, d.State().Team(), rate, burst)
	if err != nil {
		h.log.Info("relay: token request failed", "request", rh.request.ID(), "team", d.State().Team(), "error", err)
	}
	if err != nil || !ok {
		h.admission.ref.Tell(tokenDenied{team: d.State().Team()})
		return d
	}
	next, err := tasks.Ask(rh.incoming.Context(), h.admission.ref, func(reply tasks.Reply[admit.Decision]) any {
		return admitWithToken{state: d.State(), reply: reply}
	})
	if err != nil {
		h.log.Warn("relay: request cancelled before its decision", "request", rh.request.ID(), "error", err)
		return d
	}
	h.meter.Count("token-borrowed", d.State().Team(), "", 1)
	return next
}

// readBody buffers the request body up to bufferedBodyBytes.
func (rh *requestHandler) readBody() error {
	if rh.incoming.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(rh.incoming.Body, bufferedBodyBytes+1))
	rh.body = body
	rh.longBody = len(body) > bufferedBodyBytes
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

// confirmAfterBody confirms the decision once the body is known.
func (rh *requestHandler) confirmAfterBody(d admit.Decision) admit.Decision {
	if len(rh.body) > 0 {
		d = rh.confirm(d)
	}
	if _, refused := d.Refused(); refused {
		return d
	}
	if rh.handler.admission.isSuspected(func() ident.Fingerprint { return rh.fingerprint(d) }) {
		return rh.confirmSuspected(d)
	}
	return d
}

// confirm asks the admission controller whether the target may still get the
// request: a body may have taken long to arrive.
func (rh *requestHandler) confirm(d admit.Decision) admit.Decision {
	ctx := context.WithoutCancel(rh.incoming.Context())
	next, err := tasks.Ask(ctx, rh.handler.admission.ref, func(reply tasks.Reply[admit.Decision]) any {
		return confirmChoice{decision: d, reply: reply}
	})
	if err != nil {
		rh.handler.log.Warn("relay: choice not confirmed", "request", rh.request.ID(), "error", err)
		rh.recordResult(d, spread.Abandoned, Response{})
		return d.WithRefusal(admit.NotReady)
	}
	return next
}

// attempt sends the request to one target. It returns true if the caller got a
// response, or else the next decision.
func (rh *requestHandler) attempt(d admit.Decision) (admit.Decision, bool) {
	if peer, ok := d.Peer().Get(); ok {
		return rh.forward(d, peer)
	}
	h := rh.handler
	started := h.clock.Now()
	conn, err := rh.connect(d.Choice().Target().Address())
	rh.newConnection = err != nil || !conn.IsReused()
	if err != nil {
		result := spread.Unreachable
		if rh.ctx.Err() != nil {
			// The caller has gone, or its deadline came before the connection
			// was open: that says nothing about the target.
			result = spread.Abandoned
		}
		rh.recordResult(d, result, Response{})
		rh.logFailedAttempt(d, result, err)
		return rh.retry(d, afterUnreachable), false
	}
	if rh.newConnection {
		h.admission.ObserveRTT(d.Choice().Target().Region(), h.clock.Now().Sub(started))
	}
	exchange, err := h.pool.Send(rh.ctx, conn, rh.targetRequest(d), rh.isResponse)
	if err != nil {
		return rh.handleBroken(d, err)
	}
	return rh.relayResponse(d, exchange)
}

// connect returns a connection to a target or another entry host, and sets the
// properties of the last attempt's connection.
func (rh *requestHandler) connect(address string) (*link.Conn, error) {
	rh.connection, rh.carried = "", 0
	conn, err := rh.handler.pool.Get(rh.ctx, address, rh.request.ID())
	if err != nil {
		return nil, fmt.Errorf("connection for an attempt: %w", err)
	}
	rh.connection, rh.carried = conn.LocalAddress(), conn.Carried()
	return conn, nil
}

// targetRequest returns the request to send to a target.
func (rh *requestHandler) targetRequest(d admit.Decision) *http.Request {
	header := rh.incoming.Header.Clone()
	dropHopHeaders(header)
	left := max(d.State().Deadline().Sub(rh.handler.clock.Now()), time.Millisecond)
	rh.handler.dialect.SetOutboundHeaders(header, d.Choice().Target().ID(), left, d.State().Team())
	if _, ok := header["User-Agent"]; !ok {
		// net/http adds its own User-Agent unless the header is present.
		header["User-Agent"] = []string{""}
	}
	r := &http.Request{
		Method: rh.incoming.Method, URL: outboundURL(rh.incoming), Host: rh.incoming.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: rh.incoming.ContentLength,
	}
	switch {
	case rh.incoming.ContentLength == 0:
	case rh.longBody:
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(rh.body), rh.incoming.Body))
	default:
		r.ContentLength = int64(len(rh.body))
		r.Body = io.NopCloser(bytes.NewReader(rh.body))
	}
	return r
}

// handleBroken handles an attempt without a usable response.
func (rh *requestHandler) handleBroken(d admit.Decision, err error) (admit.Decision, bool) {
	rh.mayHaveRun = true
	result := spread.Lost
	switch {
	case rh.incoming.Context().Err() != nil:
		result = spread.Abandoned
	case rh.ctx.Err() != nil:
		result = spread.Silent
	}
	rh.recordResult(d, result, Response{})
	rh.logFailedAttempt(d, result, err)
	if result == spread.Lost {
		rh.reportLoss(d, err)
	}
	if result != spread.Lost || !d.State().Route().Kind().IsRetryable() {
		return rh.refuseRetry(d, result), false
	}
	return rh.retry(d, afterFailure), false
}

// refuseRetry returns the decision not to retry after the given result.
func (rh *requestHandler) refuseRetry(d admit.Decision, result spread.Result) admit.Decision {
	if result == spread.Silent {
		return d.WithRefusal(admit.OutOfTime)
	}
	return d.WithRefusal(admit.NoAttempts)
}

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

// retry asks the admission controller for another attempt.
func (rh *requestHandler) retry(d admit.Decision, after attemptEnd) admit.Decision {
	// The rest of a long body is read while it is sent, so it can be sent once.
	if rh.longBody && after == afterFailure || rh.incoming.Context().Err() != nil {
		return d.WithRefusal(admit.NoAttempts)
	}
	if rh.ctx.Err() != nil {
		// The deadline has passed, or the host is about to exit.
		return d.WithRefusal(admit.OutOfTime)
	}
	// The admission task replies at once, even if the request's context has
	// ended.
	ctx := context.WithoutCancel(rh.incoming.Context())
	next, err := tasks.Ask(ctx, rh.handler.admission.ref, func(reply tasks.Reply[admit.Decision]) any {
		return retryRequest{state: d.State(), after: after, reply: reply}
	})
	if err != nil {
		rh.handler.log.Warn("relay: retry not decided", "request", rh.request.ID(), "error", err)
		return d.WithRefusal(admit.NoAttempts)
	}
	return next
}

// finish ends a request that is not retried, with the last response if there
// is one.
func (rh *requestHandler) finish(d admit.Decision, reason admit.Reason) {
	if rh.response != nil {
		rh.writeResponse(d)
		return
	}
	rh.writeRefusal(d, reason)
}

// writeResponse writes the buffered response.
func (rh *requestHandler) writeResponse(d admit.Decision) {
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

// streamResponse streams a long response. If it breaks off, the caller's
// connection is closed, so that the response does not look complete.
func (rh *requestHandler) streamResponse(
	d admit.Decision, exchange *link.Exchange, response Response, result spread.Result, header http.Header, first []byte,
) {
	r := exchange.Response()
	h := rh.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	if r.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	rh.writer.WriteHeader(r.StatusCode)
	// The latency of the target is the time to the first bytes; the rest
	// depends on the network.
	rh.recordResult(d, result, response)
	written, err := rh.writer.Write(first)
	if err == nil {
		var n int64
		n, err = io.CopyBuffer(writerOnly{rh.writer}, rh.paced(r.Body), make([]byte, copyBufferBytes))
		written += int(n)
	}
	if err != nil {
		exchange.Abort()
		rh.recordEnd(d, "broken-off", slog.Int("status", r.StatusCode), slog.Int("bytes", written), errorAttr(err))
		panic(http.ErrAbortHandler)
	}
	exchange.Finish()
	rh.recordEnd(d, "answered", slog.Int("status", r.StatusCode), slog.Int("bytes", written))
}

// paced returns the rest of a long response, paced if the host has a slow
// link.
func (rh *requestHandler) paced(body io.Reader) io.Reader {
	h := rh.handler
	if h.pacer == nil {
		return body
	}
	return h.pacer.reader(rh.ctx, body, h.clock.Now())
}

// writerOnly hides io.ReaderFrom, which would ignore the copy buffer.
type writerOnly struct{ io.Writer }

// writeRefusal refuses the request, and tells the caller whether it may have
// run.
func (rh *requestHandler) writeRefusal(d admit.Decision, reason admit.Reason) {
	outcome := NotRun
	if rh.mayHaveRun {
		outcome = Unknown
		if reason == admit.OutOfTime {
			outcome = Late
		}
	}
	h := rh.handler
	refusal := NewRefusal(rh.request.ID(), outcome, reason, d.RetryAfter(), sends(d))
	h.dialect.WriteRefusal(rh.writer, refusal)
	team, class := labels(d)
	h.meter.Refuse(team, class, string(reason))
	rh.recordEnd(d, "refused", slog.String("reason", string(reason)), slog.String("run", outcome.String()),
		slog.Int64("after-ms", millis(d.RetryAfter())))
}
