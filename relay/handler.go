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
	// bufferedBodyBytes is the size up to which a request body is buffered
	// before the first attempt, so that the request can be retried.
	bufferedBodyBytes = 64 << 10
	// bufferedResponseBytes is the size up to which a response is buffered
	// before its first byte goes to the caller, so that a broken one can be
	// replaced.
	bufferedResponseBytes = 32 << 10
	// copyBufferBytes is the size of the copy buffer for longer responses.
	copyBufferBytes = 32 << 10
)

// Meter records metrics of requests.
type Meter interface {
	Count(name string, team ident.Team, class ident.Class, n int64)
	Refuse(team ident.Team, class ident.Class, reason string)
	Observe(name string, team ident.Team, class ident.Class, d time.Duration)
}

// TokenSource requests a token of a team's rate from the reserve.
type TokenSource interface {
	RequestToken(ctx context.Context, team ident.Team, rate, burst float64) (bool, error)
}

const (
	// minTokenTimeout is the least timeout of a token request. It covers
	// several round trips between regions.
	minTokenTimeout = 150 * time.Millisecond
	// tokenTimeoutShare is the share of the route's latency objective that a
	// token request may take, because on a slow link its response queues
	// behind others.
	tokenTimeoutShare = 0.5
)

// Handler is the HTTP handler for callers' requests.
type Handler struct {
	admission *Admission
	pool      *link.Pool
	dialect   Dialect
	clock     clock.Clock
	log       *slog.Logger
	meter     Meter
	tokens    TokenSource
	// pacer is nil if the link needs no pacing.
	pacer *Pacer
	// peers is nil if requests are never sent through other entry hosts.
	peers   PeerCodec
	stopped atomic.Bool
	// ending ends when the attempts without a response are to be given up.
	ending context.Context
	end    context.CancelFunc
}

// HandlerOption sets an optional property of a handler.
type HandlerOption func(*Handler)

// WithPacer paces long responses for a slow link. A nil pacer does not.
func WithPacer(p *Pacer) HandlerOption { return func(h *Handler) { h.pacer = p } }

// WithPeers makes the handler send requests through other entry hosts, encoded by
// the codec, when the admission controller decides so.
func WithPeers(codec PeerCodec) HandlerOption { return func(h *Handler) { h.peers = codec } }

// NewHandler returns a handler.
func NewHandler(
	admission *Admission, pool *link.Pool, dialect Dialect, tokens TokenSource, c clock.Clock, log *slog.Logger, m Meter,
	options ...HandlerOption,
) *Handler {
	ending, end := context.WithCancel(context.Background())
	h := &Handler{
		admission: admission, pool: pool, dialect: dialect, tokens: tokens, clock: c, log: log, meter: m,
		ending: ending, end: end,
	}
	for _, apply := range options {
		apply(h)
	}
	return h
}

var _ FrontHandler = (*Handler)(nil)

// Stop refuses all requests that arrive from now on. It is called before
// connections are closed, so that no request is forwarded whose connection is
// about to close.
func (h *Handler) Stop() { h.stopped.Store(true) }

// End gives up all attempts in flight without a response. Their requests are answered
// as ones that may have run, so that no caller is left without an answer when the
// process exits. Long responses that have begun go on, since nothing else can follow
// their first byte.
func (h *Handler) End() { h.end() }

// IsRetryable implements FrontHandler. It counts the requests for which it
// returns true, since they are handled early.
func (h *Handler) IsRetryable(r *http.Request) bool {
	request := h.dialect.DecodeRequest(r)
	ok, err := tasks.Ask(r.Context(), h.admission.ref, func(reply tasks.Reply[bool]) any {
		return getRetryable{request: request, reply: reply}
	})
	if err != nil || !ok {
		return false
	}
	h.meter.Count("pipelined", "", "", 1)
	return true
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := h.dialect.DecodeRequest(r)
	rh := &requestHandler{handler: h, writer: w, incoming: r, request: request}
	if h.stopped.Load() {
		rh.writeRefusal(admit.Decision{}.WithRefusal(admit.NotReady), admit.NotReady)
		return
	}
	// An accepted request is counted until its handler ends it, so the decision is
	// awaited even if the caller has gone.
	d, err := tasks.Ask(context.WithoutCancel(r.Context()), h.admission.ref, func(reply tasks.Reply[admit.Decision]) any {
		return admitRequest{request: request, reply: reply}
	})
	if err != nil {
		h.log.Warn("relay: request not decided", "request", request.ID(), "error", err)
		rh.writeRefusal(admit.Decision{}.WithRefusal(admit.NotReady), admit.NotReady)
		return
	}
	rh.handle(d)
}
