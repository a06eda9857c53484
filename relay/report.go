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

// tell reports the end of a send to the desk.
func (h *Handler) tell(d admit.Decision, v spread.Result, a Response) {
	h.desk.ref.Tell(done{choice: d.Choice(), verdict: v, load: a.load, cold: a.cold})
}

// note logs a send that did not bring the answer.
func (x *course) note(d admit.Decision, v spread.Result, err error) {
	c := d.Choice()
	x.handler.log.Warn("relay: send failed", "request", x.request.ID(), "target", c.Target().ID(),
		"verdict", v.String(), "choice", c.Reason(), "load", c.Load(),
		"load-age-ms", millis(min(c.LoadAge(), time.Hour)), "sends", d.State().Attempts(), failure(err))
	team, class := labels(d)
	x.handler.meter.Count("send-"+v.String(), team, class, 1)
}

// end logs and counts the end of the request.
func (x *course) end(d admit.Decision, outcome string, more ...any) {
	h := x.handler
	team, class := labels(d)
	fields := []any{"request", x.request.ID(), "outcome", outcome}
	if t := d.State(); t != nil {
		took := h.clock.Now().Sub(t.Arrived())
		h.meter.Observe("latency", team, class, took)
		c := d.Choice()
		fields = append(fields, "route", t.Route().Name(), "team", t.Team(), "service", t.Service(),
			"version", t.ConfigVersion(), "took-ms", millis(took), "left-ms", millis(t.Deadline().Sub(h.clock.Now())),
			"sends", t.Attempts(), "target", c.Target().ID(), "choice", c.Reason(), "load", c.Load(),
			"load-age-ms", millis(min(c.LoadAge(), time.Hour)))
	}
	h.meter.Count("request-"+outcome, team, class, 1)
	// Warnings have a budget of their own, so that answers never displace what
	// explains a failure.
	level := slog.LevelWarn
	if outcome == "answered" {
		level = slog.LevelInfo
	}
	h.log.Log(context.Background(), level, "relay: request ended", append(fields, more...)...)
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

func failure(err error) slog.Attr {
	if err == nil {
		return slog.Attr{}
	}
	return slog.String("error", err.Error())
}

func labels(d admit.Decision) (ident.Team, ident.Class) {
	t := d.State()
	if t == nil {
		return "", ""
	}
	return t.Team(), ident.Class(kindName(t.Route().Kind()))
}

func kindName(k scheme.Kind) string {
	switch k {
	case scheme.AtMostOnce:
		return "once"
	case scheme.Bulk:
		return "bulk"
	}
	return "repeatable"
}
