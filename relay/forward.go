package relay

import (
	"log/slog"
	"net/http"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/link"
	"rhubarbrack/reach"
	"rhubarbrack/spread"
)

// PeerCodec encodes requests that are sent through another entry host, and decodes
// what that host adds to its responses. It makes no decisions.
type PeerCodec interface {
	// SetTerms adds the terms of a request to its header.
	SetTerms(h http.Header, t admit.Terms) error
	// TakeRefusal returns the refusal of the other host, if the response is one.
	TakeRefusal(h http.Header) (PeerRefusal, bool)
	// TakeTarget removes and returns the target that responded.
	TakeTarget(h http.Header) ident.Option[ForwardedTarget]
}

// ForwardedTarget is the process of a target that another entry host has sent a
// request to.
type ForwardedTarget struct {
	id        ident.Target
	startedAt int64
}

// NewForwardedTarget returns a target process that started at the given time in
// Unix milliseconds.
func NewForwardedTarget(id ident.Target, startedAt int64) ForwardedTarget {
	return ForwardedTarget{id: id, startedAt: startedAt}
}

// ID returns the ID of the target.
func (t ForwardedTarget) ID() ident.Target { return t.id }

// StartedAt returns when the process started, in Unix milliseconds.
func (t ForwardedTarget) StartedAt() int64 { return t.startedAt }

// PeerRefusal is the refusal of another entry host.
type PeerRefusal struct {
	outcome    Outcome
	reason     admit.Reason
	retryAfter time.Duration
	sends      int
}

// NewPeerRefusal returns a refusal after the given number of attempts at targets.
func NewPeerRefusal(outcome Outcome, reason admit.Reason, retryAfter time.Duration, sends int) PeerRefusal {
	return PeerRefusal{outcome: outcome, reason: reason, retryAfter: retryAfter, sends: sends}
}

// isFinal reports whether the refusal holds for the request. Otherwise the other
// host reaches no target, or is stopping, and another one may handle the request.
func (r PeerRefusal) isFinal() bool {
	return r.outcome != NotRun || r.sends > 0 || r.reason != admit.NoTarget && r.reason != admit.NotReady && r.reason != admit.NoRoute
}

// forward sends the request through another entry host. It returns true if the
// caller got a response, or else the next decision.
func (rh *requestHandler) forward(d admit.Decision, peer reach.Peer) (admit.Decision, bool) {
	h := rh.handler
	rh.forwardedAt = h.clock.Now()
	conn, err := rh.connect(peer.Address())
	if err != nil {
		result := spread.Unreachable
		if rh.ctx.Err() != nil {
			result = spread.Abandoned
		}
		rh.recordResult(d, result, Response{})
		rh.logFailedAttempt(d, result, err)
		return rh.retry(d, afterPeer), false
	}
	r := rh.targetRequest(d)
	if err := h.peers.SetTerms(r.Header, d.State().Terms()); err != nil {
		h.pool.Put(conn)
		rh.recordResult(d, spread.Abandoned, Response{})
		h.log.Error("relay: request cannot be forwarded", "request", rh.request.ID(), "error", err)
		return d.WithRefusal(admit.NoTarget), false
	}
	exchange, err := h.pool.Send(rh.ctx, conn, r, rh.isResponse)
	if err != nil {
		return rh.handleBroken(d, err)
	}
	refusal, refused := h.peers.TakeRefusal(exchange.Response().Header)
	if !refused {
		return rh.relayResponse(d, exchange)
	}
	return rh.handlePeerRefusal(d, exchange, refusal)
}

// handlePeerRefusal handles a refusal of the other entry host.
func (rh *requestHandler) handlePeerRefusal(d admit.Decision, exchange *link.Exchange, r PeerRefusal) (admit.Decision, bool) {
	exchange.Discard()
	if r.isFinal() {
		rh.recordResult(d, spread.Full, Response{})
		rh.mayHaveRun = rh.mayHaveRun || r.outcome != NotRun
		rh.logFailedAttempt(d, spread.Full, nil, slog.String("reason", string(r.reason)), slog.String("run", r.outcome.String()))
		return d.WithPeerRefusal(r.reason, r.retryAfter), false
	}
	rh.recordResult(d, spread.Unreachable, Response{})
	rh.logFailedAttempt(d, spread.Unreachable, nil, slog.String("reason", string(r.reason)))
	// The rest of a long body may have been sent, so it cannot be sent again.
	if rh.longBody {
		return d.WithPeerRefusal(r.reason, r.retryAfter), false
	}
	return rh.retry(d, afterPeer), false
}

// maxLoggedID is the length in bytes up to which an ID that a target has sent is
// logged.
const maxLoggedID = 64

// isResponse reports whether a response belongs to the request. It logs those
// that do not, since such a response is the only trace of a target that responds
// more often than it should.
func (rh *requestHandler) isResponse(r *http.Response) bool {
	h := rh.handler
	response := h.dialect.DecodeResponse(r)
	if response.request == rh.request.ID() {
		return true
	}
	h.log.Warn("relay: response skipped", "request", rh.request.ID(),
		"response-to", response.request[:min(len(response.request), maxLoggedID)],
		"status", r.StatusCode, "not-run", response.notRun, rh.connectionAttr())
	h.meter.Count("response-skipped", "", "", 1)
	return false
}

// recordPeerResult reports the result of an attempt through another entry host to
// the admission controller.
func (rh *requestHandler) recordPeerResult(d admit.Decision, peer reach.Peer, result spread.Result, response Response) {
	m := peerResult{peer: peer, service: d.State().Service(), began: rh.forwardedAt, result: reach.Available}
	switch result {
	case spread.Abandoned:
		m.result = reach.Inconclusive
	case spread.Unreachable, spread.Lost, spread.Silent:
		m.result = reach.Unavailable
	}
	if stated, ok := response.stated(result).Get(); ok {
		m.target, m.statement = response.target, stated
	}
	rh.handler.admission.ref.Tell(m)
}

// peerAttr returns the log attribute of the entry host through which a request was
// sent.
func peerAttr(d admit.Decision) slog.Attr {
	if peer, ok := d.Peer().Get(); ok {
		return slog.String("peer", peer.Address())
	}
	return slog.Attr{}
}
