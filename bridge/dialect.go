package bridge

import (
	"log/slog"
	"net/http"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/relay"
	"rhubarbrack/spread"
)

// Dialect is the protocol of requests that come from other entry hosts: that of
// callers with the headers of this package.
type Dialect struct {
	callers relay.Dialect
	log     *slog.Logger
}

var _ relay.Dialect = Dialect{}

// NewDialect returns the dialect for requests of callers in the given one.
func NewDialect(callers relay.Dialect, log *slog.Logger) Dialect {
	return Dialect{callers: callers, log: log}
}

// DecodeRequest implements relay.Dialect. A request without valid terms matches no
// route.
func (d Dialect) DecodeRequest(r *http.Request) admit.Request {
	decoded := d.callers.DecodeRequest(r)
	terms, err := termsOf(r.Header)
	if err != nil {
		d.log.Error("bridge: request of another host cannot be decoded", "request", decoded.ID(), "error", err)
		return admit.NewRequest(decoded.ID(), "", "", "", "", 0)
	}
	return admit.NewForwardedRequest(decoded.ID(), terms, decoded.Timeout())
}

// SetOutboundHeaders implements relay.Dialect.
func (d Dialect) SetOutboundHeaders(h http.Header, target ident.Target, left time.Duration, team ident.Team) {
	h.Del(headerTerms)
	d.callers.SetOutboundHeaders(h, target, left, team)
}

// DecodeResponse implements relay.Dialect.
func (d Dialect) DecodeResponse(r *http.Response) relay.Response { return d.callers.DecodeResponse(r) }

// SetResponseHeaders implements relay.Dialect.
func (d Dialect) SetResponseHeaders(h http.Header, target spread.Target) {
	h.Del(headerRefusal)
	if err := setJSON(h, headerTarget, targetRecord{ID: string(target.ID()), StartedAt: target.StartedAt()}); err != nil {
		d.log.Error("bridge: target of a response is left out", "target", target.ID(), "error", err)
	}
}

// WriteRefusal implements relay.Dialect.
func (d Dialect) WriteRefusal(w http.ResponseWriter, r relay.Refusal) {
	record := refusalRecord{
		Outcome: uint8(r.Outcome()), Reason: string(r.Reason()), RetryAfterMs: ceilMillis(r.RetryAfter()), Sends: r.Sends(),
	}
	if err := setJSON(w.Header(), headerRefusal, record); err != nil {
		d.log.Error("bridge: refusal is left out", "request", r.Request(), "error", err)
	}
	d.callers.WriteRefusal(w, r)
}

// ceilMillis returns a duration in whole milliseconds, rounded up, so that nobody
// comes back too early.
func ceilMillis(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
