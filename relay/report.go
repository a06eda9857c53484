package relay

import (
	"context"
	"log/slog"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
)

// recordResult reports the result of an attempt to the admission controller.
func (rh *requestHandler) recordResult(d admit.Decision, result spread.Result, response Response) {
	h := rh.handler
	if peer, ok := d.Peer().Get(); ok {
		rh.recordPeerResult(d, peer, result, response)
		return
	}
	h.admission.ref.Tell(recordResult{
		choice: d.Choice(), result: result, newConnection: rh.newConnection, load: response.load, coldFor: response.coldFor,
		statement: response.stated(result),
	})
	if _, ok := response.statement.Limit().Rate(); ok {
		team, class := labels(d)
		h.meter.Count("target-limited", team, class, 1)
	}
}

// logFailedAttempt logs and counts an attempt without a final response.
func (rh *requestHandler) logFailedAttempt(d admit.Decision, result spread.Result, err error, attrs ...any) {
	c := d.Choice()
	if result == spread.Lost {
		attrs = append(attrs, slog.String("fingerprint", rh.fingerprint(d).String()))
	}
	rh.handler.log.Warn("relay: attempt failed", "request", rh.request.ID(), "target", c.Target().ID(),
		"verdict", result.String(), "choice", c.Reason(), "load", c.Load(),
		"load-age-ms", millis(min(c.LoadAge(), time.Hour)), "sends", d.State().Attempts(), peerAttr(d), rh.connectionAttr(), errorAttr(err),
		slog.Group("", attrs...))
	team, class := labels(d)
	rh.handler.meter.Count("send-"+result.String(), team, class, 1)
}

// fingerprint returns the fingerprint of the request.
func (rh *requestHandler) fingerprint(d admit.Decision) ident.Fingerprint {
	return fingerprint(rh.incoming, d.State().Team(), rh.body, rh.longBody)
}

// recordEnd logs and counts the end of a request.
func (rh *requestHandler) recordEnd(d admit.Decision, outcome string, attrs ...any) {
	h := rh.handler
	team, class := labels(d)
	fields := []any{"request", rh.request.ID(), "outcome", outcome}
	if t := d.State(); t != nil {
		took := h.clock.Now().Sub(t.Arrived())
		h.meter.Observe("latency", team, class, took)
		c := d.Choice()
		fields = append(fields, "route", t.Route().Name(), "team", t.Team(), "service", t.Service(),
			"version", t.ConfigVersion(), "took-ms", millis(took), "left-ms", millis(t.Deadline().Sub(h.clock.Now())),
			"sends", t.Attempts(), "target", c.Target().ID(), "choice", c.Reason(), "load", c.Load(),
			"load-age-ms", millis(min(c.LoadAge(), time.Hour)), peerAttr(d), rh.connectionAttr(), stopAttr(t))
	}
	if _, ok := d.Peer().Get(); ok {
		h.meter.Count("forwarded", team, class, 1)
	}
	h.meter.Count("request-"+outcome, team, class, 1)
	// Warnings have a log budget of their own, so that lines about successful
	// requests never displace those that explain a failure.
	level := slog.LevelWarn
	if rh.answered = outcome == "answered"; rh.answered {
		level = slog.LevelInfo
	}
	h.log.Log(context.Background(), level, "relay: request ended", append(fields, attrs...)...)
}

// connectionAttr returns the log attributes of the last attempt's connection: its
// local address, and how many requests it had carried before.
func (rh *requestHandler) connectionAttr() slog.Attr {
	if rh.connection == "" {
		return slog.Attr{}
	}
	return slog.Group("", slog.String("connection", rh.connection), slog.Int("carried", rh.carried))
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

func errorAttr(err error) slog.Attr {
	if err == nil {
		return slog.Attr{}
	}
	return slog.String("error", err.Error())
}

// sends returns the number of attempts at targets for a request.
func sends(d admit.Decision) int {
	if d.State() == nil {
		return 0
	}
	return d.State().Attempts()
}

func labels(d admit.Decision) (ident.Team, ident.Class) {
	t := d.State()
	if t == nil {
		return "", ""
	}
	return t.Team(), ident.Class(className(t.Route().Kind()))
}

func className(k scheme.Kind) string {
	switch k {
	case scheme.AtMostOnce:
		return "once"
	case scheme.Bulk:
		return "bulk"
	}
	return "repeatable"
}
