package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
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
	// giveUp ends ctx. The handler calls it when attempts in flight are given up,
	// unless keep has been called before, which returns false if it is too late.
	giveUp context.CancelFunc
	keep   func() bool
	body   []byte
	// longBody is set if the request body exceeds the buffer. Such requests
	// cannot be retried.
	longBody bool
	// upload is the rest of a long body while it is sent to a target.
	upload *upload
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
	// answered is set once a whole response was sent.
	answered bool
	// response is the last complete response, if any.
	response *bufferedResponse
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
	defer func() { rh.handler.admission.ref.Tell(requestEnded{state: d.State(), answered: rh.answered}) }()
	if err := rh.incoming.Context().Err(); err != nil {
		rh.recordResult(d, spread.Abandoned, Response{})
		rh.handler.log.Warn("relay: request cancelled before its decision", "request", rh.request.ID(), "error", err)
		// A caller that has closed only its sending half still reads.
		rh.writeRefusal(d.WithRefusal(admit.NotReady), admit.NotReady)
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
	rh.ctx, rh.giveUp = ctx, cancel
	rh.keep = context.AfterFunc(rh.handler.ending, cancel)
	defer rh.keep()
	defer rh.endUpload()
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
	// An accepted request is counted until its handler ends it, so the decision is
	// awaited even if the caller has gone.
	next, err := tasks.Ask(context.WithoutCancel(rh.incoming.Context()), h.admission.ref, func(reply tasks.Reply[admit.Decision]) any {
		return admitWithToken{state: d.State(), reply: reply}
	})
	if err != nil {
		h.log.Warn("relay: request not decided", "request", rh.request.ID(), "error", err)
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
		rh.upload = newUpload(rh.incoming, len(rh.body))
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(rh.body), rh.upload))
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
	rh.beginAnswer()
	h := rh.handler
	refusal := NewRefusal(rh.request.ID(), outcome, reason, d.RetryAfter(), sends(d))
	h.dialect.WriteRefusal(rh.writer, refusal)
	team, class := labels(d)
	h.meter.Refuse(team, class, string(reason))
	rh.recordEnd(d, "refused", slog.String("reason", string(reason)), slog.String("run", outcome.String()),
		slog.Int64("after-ms", millis(d.RetryAfter())))
}
