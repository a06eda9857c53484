package node

import (
	"log/slog"
	"testing"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// TestControllerOfHost guards against settings of a host that do not reach its
// choice of targets: the drain time, without which a service whose targets are
// all leaving is refused at once, and the name, without which all hosts send to a
// target with a rate limit at the same time.
func TestControllerOfHost(t *testing.T) {
	start := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	query := spread.NewQuery("s", "x", time.Second, false, nil, nil, nil)
	controller := func(host ident.Host, statement spread.Statement) *admit.Controller {
		c := NewHostConfig(host, "z", map[ident.Zone]ident.Region{"z": "r"}, "127.0.0.1", 1, nil,
			clock.NewManual(start), slog.New(slog.DiscardHandler)).WithDrainTime(time.Second).newController()
		c.Table().Update([]spread.Target{spread.NewTarget("i", "s", "127.0.0.1:1", "z", "r", 4, false, time.Time{})})
		choice := c.Table().Choose(start, query)
		c.RecordResult(start, choice, spread.Served, ident.None[spread.Load]())
		c.Table().Observe(start, choice, statement)
		return c
	}
	leaving := controller("a", spread.NewStatement(spread.WithLeaving()))
	if !leaving.Table().Choose(start, query).IsFound() {
		t.Error("the only target is leaving and gets no request within the drain time")
	}
	limited := spread.NewStatement(spread.WithLimit(spread.NewRateLimit(1)))
	a := controller("a", limited).Table().Choose(start, query)
	b := controller("b", limited).Table().Choose(start, query)
	if a.IsFound() || b.IsFound() || a.RetryAfter() == b.RetryAfter() {
		t.Errorf("two hosts send again after %v and %v", a.RetryAfter(), b.RetryAfter())
	}
}
