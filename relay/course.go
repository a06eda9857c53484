package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/link"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// course is the way of one request.
type course struct {
	handler *Handler
	writer  http.ResponseWriter
	caller  *http.Request
	request admit.Request
	ctx     context.Context
	body    []byte
	long    bool
	mayRun  bool
	answer  *held
}

// held is a complete answer that waits to be passed on.
type held struct {
	status int
	header http.Header
	body   []byte
}

func (x *course) run(d admit.Decision) {
	if d.CanRequestToken() {
		d = x.borrow(d)
	}
	if reason, refused := d.Refused(); refused {
		x.refuse(d, reason)
		return
	}
	if err := x.readBody(); err != nil {
		x.handler.tell(d, spread.Abandoned, Response{})
		x.handler.log.Info("relay: body of the request ended early", "request", x.request.ID(), "error", err)
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithDeadline(x.caller.Context(), d.State().Deadline())
	defer cancel()
	x.ctx = ctx
	for {
		next, ended := x.attempt(d)
		if ended {
			return
		}
		reason, refused := next.Refused()
		if !refused {
			d = next
			continue
		}
		x.finish(next, reason)
		return
	}
}

// borrow asks for a token of the reserve when the host's share of a rate is
// used up.
func (x *course) borrow(d admit.Decision) admit.Decision {
	h := x.handler
	rate, burst := d.State().RateLimit()
	wait := max(leastBorrowTime, time.Duration(borrowPart*float64(d.State().Route().LatencyObjective())))
	ctx, cancel := context.WithTimeout(x.caller.Context(), wait)
	defer cancel()
	ok, err := h.lender.RequestToken(ctx, d.State().Team(), rate, burst)
	if err != nil {
		h.log.Info("relay: no token of the reserve", "request", x.request.ID(), "team", d.State().Team(), "error", err)
	}
	if err != nil || !ok {
		h.desk.ref.Tell(denied{team: d.State().Team()})
		return d
	}
	next, err := tasks.Ask(x.caller.Context(), h.desk.ref, func(reply tasks.Reply[admit.Decision]) any {
		return paid{ticket: d.State(), reply: reply}
	})
	if err != nil {
		h.log.Warn("relay: request ended before its decision", "request", x.request.ID(), "error", err)
		return d
	}
	h.meter.Count("token-borrowed", d.State().Team(), "", 1)
	return next
}

// readBody reads a short body whole.
func (x *course) readBody() error {
	if x.caller.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(x.caller.Body, heldBodyBytes+1))
	x.body = body
	x.long = len(body) > heldBodyBytes
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

// attempt sends the request to one target. It returns true when the caller
// has its answer, or else the next decision.
func (x *course) attempt(d admit.Decision) (admit.Decision, bool) {
	h := x.handler
	started := h.clock.Now()
	conn, err := h.pool.Get(x.ctx, d.Choice().Target().Address())
	if err != nil {
		verdict := spread.Unreached
		if x.caller.Context().Err() != nil {
			verdict = spread.Abandoned
		}
		h.tell(d, verdict, Response{})
		x.note(d, verdict, err)
		return x.again(d, true), false
	}
	if !conn.IsReused() {
		h.desk.ObserveRTT(d.Choice().Target().Region(), h.clock.Now().Sub(started))
	}
	exchange, err := h.pool.Send(x.ctx, conn, x.outbound(d), func(r *http.Response) bool {
		a := h.dialect.DecodeResponse(r)
		return a.request == x.request.ID()
	})
	if err != nil {
		return x.broken(d, err)
	}
	return x.relay(d, exchange)
}

// outbound returns the request for a target.
func (x *course) outbound(d admit.Decision) *http.Request {
	header := x.caller.Header.Clone()
	dropHopHeaders(header)
	left := max(d.State().Deadline().Sub(x.handler.clock.Now()), time.Millisecond)
	x.handler.dialect.SetOutboundHeaders(header, d.Choice().Target().ID(), left, d.State().Team())
	if _, ok := header["User-Agent"]; !ok {
		// net/http adds a name of its own unless the header is empty.
		header["User-Agent"] = []string{""}
	}
	r := &http.Request{
		Method: x.caller.Method, URL: &url.URL{Opaque: x.caller.RequestURI}, Host: x.caller.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: x.caller.ContentLength,
	}
	switch {
	case x.caller.ContentLength == 0:
	case x.long:
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(x.body), x.caller.Body))
	default:
		r.ContentLength = int64(len(x.body))
		r.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return r
}

// broken handles a send without a usable answer.
func (x *course) broken(d admit.Decision, err error) (admit.Decision, bool) {
	x.mayRun = true
	verdict := spread.Lost
	switch {
	case x.caller.Context().Err() != nil:
		verdict = spread.Abandoned
	case x.ctx.Err() != nil:
		verdict = spread.Silent
	}
	x.handler.tell(d, verdict, Response{})
	x.note(d, verdict, err)
	if verdict != spread.Lost || !d.State().Route().Kind().IsRetryable() {
		return x.stop(d, verdict), false
	}
	return x.again(d, false), false
}

// stop returns the decision to send the request no more.
func (x *course) stop(d admit.Decision, v spread.Result) admit.Decision {
	if v == spread.Silent {
		return d.WithRefusal(admit.OutOfTime)
	}
	return d.WithRefusal(admit.NoAttempts)
}

// relay passes an answer on, or decides what follows a failure.
func (x *course) relay(d admit.Decision, exchange *link.Exchange) (admit.Decision, bool) {
	r := exchange.Response()
	a := x.handler.dialect.DecodeResponse(r)
	if a.foreign || a.notRun {
		return x.turnedAway(d, exchange, a)
	}
	x.mayRun = true
	if !a.genuine || r.Header.Get("Content-Encoding") != "" || r.StatusCode == http.StatusSwitchingProtocols {
		exchange.Abort()
		return x.broken(d, fmt.Errorf("%w: status %d", link.ErrResponseMismatch, r.StatusCode))
	}
	var body []byte
	var err error
	// A long answer is passed on from its first byte.
	if r.ContentLength <= heldAnswerBytes {
		body, err = io.ReadAll(io.LimitReader(r.Body, heldAnswerBytes+1))
	}
	if err != nil {
		exchange.Abort()
		return x.broken(d, fmt.Errorf("answer ended early: %w", err))
	}
	verdict := spread.Served
	if r.StatusCode >= http.StatusInternalServerError {
		verdict = spread.Failed
	}
	header := r.Header.Clone()
	dropHopHeaders(header)
	if len(body) > heldAnswerBytes || r.ContentLength > heldAnswerBytes {
		x.stream(d, exchange, a, verdict, header, body)
		return admit.Decision{}, true
	}
	exchange.Finish()
	x.handler.tell(d, verdict, a)
	x.answer = &held{status: r.StatusCode, header: header, body: body}
	if verdict == spread.Failed && d.State().Route().Kind().IsRetryable() {
		x.note(d, verdict, nil)
		return x.again(d, false), false
	}
	x.deliver(d)
	return admit.Decision{}, true
}

// turnedAway handles an answer that proves that the request has not run.
func (x *course) turnedAway(d admit.Decision, exchange *link.Exchange, a Response) (admit.Decision, bool) {
	if _, err := io.CopyN(io.Discard, exchange.Response().Body, copyBytes); errors.Is(err, io.EOF) {
		exchange.Finish()
	} else {
		exchange.Abort()
	}
	verdict := spread.Full
	if a.foreign {
		verdict = spread.Foreign
	}
	x.handler.tell(d, verdict, a)
	x.note(d, verdict, nil)
	return x.again(d, false), false
}

// again asks for the next target.
func (x *course) again(d admit.Decision, unsent bool) admit.Decision {
	if x.long || x.caller.Context().Err() != nil {
		return d.WithRefusal(admit.NoAttempts)
	}
	// The desk answers at once; the context of the request may have ended.
	ctx := context.WithoutCancel(x.caller.Context())
	next, err := tasks.Ask(ctx, x.handler.desk.ref, func(reply tasks.Reply[admit.Decision]) any {
		return again{ticket: d.State(), unsent: unsent, reply: reply}
	})
	if err != nil {
		x.handler.log.Warn("relay: no further decision", "request", x.request.ID(), "error", err)
		return d.WithRefusal(admit.NoAttempts)
	}
	return next
}

// finish ends a request that is sent no more.
func (x *course) finish(d admit.Decision, reason admit.Reason) {
	if x.answer != nil {
		x.deliver(d)
		return
	}
	x.refuse(d, reason)
}

// deliver passes a complete answer on.
func (x *course) deliver(d admit.Decision) {
	h := x.writer.Header()
	for name, values := range x.answer.header {
		h[name] = values
	}
	if len(x.answer.body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(x.answer.body)))
	}
	x.writer.WriteHeader(x.answer.status)
	_, err := x.writer.Write(x.answer.body)
	x.end(d, "answered", slog.Int("status", x.answer.status), slog.Int("bytes", len(x.answer.body)), failure(err))
}

// stream passes a long answer on as it arrives. When it breaks, the
// connection to the caller ends, so that the answer does not look complete.
func (x *course) stream(
	d admit.Decision, exchange *link.Exchange, a Response, verdict spread.Result, header http.Header, first []byte,
) {
	r := exchange.Response()
	h := x.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	if r.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	x.writer.WriteHeader(r.StatusCode)
	// The time until the first bytes is the time of the work; the rest
	// depends on the links.
	x.handler.tell(d, verdict, a)
	written, err := x.writer.Write(first)
	if err == nil {
		var n int64
		n, err = io.CopyBuffer(writerOnly{x.writer}, x.paced(r.Body), make([]byte, copyBytes))
		written += int(n)
	}
	if err != nil {
		exchange.Abort()
		x.end(d, "broken-off", slog.Int("status", r.StatusCode), slog.Int("bytes", written), failure(err))
		panic(http.ErrAbortHandler)
	}
	exchange.Finish()
	x.end(d, "answered", slog.Int("status", r.StatusCode), slog.Int("bytes", written))
}

// paced returns the rest of a long answer as the link of the host allows.
func (x *course) paced(body io.Reader) io.Reader {
	h := x.handler
	if h.pacer == nil {
		return body
	}
	return h.pacer.reader(x.ctx, body, h.clock.Now())
}

// writerOnly hides io.ReaderFrom, which would ignore the copy buffer.
type writerOnly struct{ io.Writer }

func (x *course) refuse(d admit.Decision, reason admit.Reason) {
	outcome := NotRun
	if x.mayRun {
		outcome = Unknown
		if reason == admit.OutOfTime {
			outcome = Late
		}
	}
	h := x.handler
	refusal := NewRefusal(x.request.ID(), outcome, reason, d.RetryAfter())
	h.dialect.WriteRefusal(x.writer, refusal)
	team, class := labels(d)
	h.meter.Refuse(team, class, string(reason))
	x.end(d, "refused", slog.String("reason", string(reason)), slog.String("run", outcome.String()),
		slog.Int64("after-ms", millis(d.RetryAfter())))
}
