package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/link"
	"rhubarbrack/tasks"
)

const (
	// heldBodyBytes is the size up to which a request body is read before the
	// request is sent, so that it can be sent again.
	heldBodyBytes = 64 << 10
	// heldAnswerBytes is the size up to which an answer is read before its
	// first byte goes to the caller, so that a broken one can be replaced.
	heldAnswerBytes = 32 << 10
	// copyBytes is the size of the buffer for longer answers.
	copyBytes = 32 << 10
)

// Meter counts what happens to requests.
type Meter interface {
	Count(name string, team ident.Team, class ident.Class, n int64)
	Refuse(team ident.Team, class ident.Class, reason string)
	Observe(name string, team ident.Team, class ident.Class, d time.Duration)
}

// TokenSource asks the rest of the fleet for a token of a team's rate.
type TokenSource interface {
	RequestToken(ctx context.Context, team ident.Team, rate, burst float64) (bool, error)
}

const (
	// leastBorrowTime is how long any request may wait for a token. It is
	// several round trips between regions.
	leastBorrowTime = 150 * time.Millisecond
	// borrowPart is the part of its route's aim that a request may wait for a
	// token: on a slow link the answer queues behind others.
	borrowPart = 0.5
)

// Handler serves the requests of callers.
type Handler struct {
	desk    *Admission
	pool    *link.Pool
	dialect Dialect
	clock   clock.Clock
	log     *slog.Logger
	meter   Meter
	lender  TokenSource
	// pacer is nil where the link is fast.
	pacer   *Pacer
	stopped atomic.Bool
}

// HandlerOption sets an optional property of a handler.
type HandlerOption func(*Handler)

// WithPacer passes long answers on as a slow link allows.
func WithPacer(p *Pacer) HandlerOption { return func(h *Handler) { h.pacer = p } }

// NewHandler returns a handler.
func NewHandler(
	desk *Admission, pool *link.Pool, dialect Dialect, lender TokenSource, c clock.Clock, log *slog.Logger, m Meter,
	list ...HandlerOption,
) *Handler {
	h := &Handler{desk: desk, pool: pool, dialect: dialect, lender: lender, clock: c, log: log, meter: m}
	for _, apply := range list {
		apply(h)
	}
	return h
}

var _ http.Handler = (*Handler)(nil)

// Stop refuses all requests that arrive from now on. It is called before
// connections are closed, so that no request is passed on whose connection
// is about to end.
func (h *Handler) Stop() { h.stopped.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := h.dialect.DecodeRequest(r)
	if h.stopped.Load() {
		x := &course{handler: h, writer: w, caller: r, request: request}
		x.refuse(admit.Decision{}.WithRefusal(admit.NotReady), admit.NotReady)
		return
	}
	d, err := tasks.Ask(r.Context(), h.desk.ref, func(reply tasks.Reply[admit.Decision]) any {
		return ask{request: request, reply: reply}
	})
	if err != nil {
		h.log.Warn("relay: request ended before its decision", "request", request.ID(), "error", err)
		panic(http.ErrAbortHandler)
	}
	x := &course{handler: h, writer: w, caller: r, request: request}
	x.run(d)
}
