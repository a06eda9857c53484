package state

import (
	"container/list"
	"time"

	"rhubarbrack/ident"
)

const (
	// requestRetention is the time for which the outcome of an operator's
	// command is kept for resends.
	requestRetention = 24 * time.Hour
	// maxRequests bounds the kept outcomes. At 14,000 changes a day they all
	// fit; beyond it the oldest is forgotten, and its resend meets the check of
	// the expected revision.
	maxRequests = 30_000
	// maxRequestID bounds a request id in bytes, of operators and of callers.
	maxRequestID = 255
)

func validRequest(id ident.RequestID) bool { return id != "" && len(id) <= maxRequestID }

// OperatorRequest is an operator's command with its first outcome.
type OperatorRequest struct {
	id      ident.RequestID
	digest  ident.Fingerprint
	at      time.Time
	outcome Outcome
}

// NewOperatorRequest returns a kept outcome for a snapshot.
func NewOperatorRequest(id ident.RequestID, digest ident.Fingerprint, at time.Time, outcome Outcome) OperatorRequest {
	return OperatorRequest{id: id, digest: digest, at: clean(at), outcome: outcome}
}

// ID returns the request id.
func (r OperatorRequest) ID() ident.RequestID { return r.id }

// Digest returns the digest of the command.
func (r OperatorRequest) Digest() ident.Fingerprint { return r.digest }

// At returns the time of the command.
func (r OperatorRequest) At() time.Time { return r.at }

// Outcome returns the first outcome, without the source text of a conflict.
func (r OperatorRequest) Outcome() Outcome { return r.outcome }

type requests struct {
	byID  map[ident.RequestID]*list.Element
	order *list.List
}

func newRequests() *requests {
	return &requests{byID: make(map[ident.RequestID]*list.Element), order: list.New()}
}

func (r *requests) find(op OperatorCommand) (Outcome, bool) {
	e, ok := r.byID[op.Request()]
	if !ok {
		return Outcome{}, false
	}
	first := e.Value.(OperatorRequest)
	if first.digest != digest(op) {
		outcome := refuse(ReasonRequestReused, "request id %q was used for a different command", op.Request())
		outcome.revision = first.outcome.revision
		return outcome, true
	}
	first.outcome.resent, first.outcome.changed, first.outcome.shared = true, false, false
	return first.outcome, true
}

// keep stores the first outcome of a command.
func (r *requests) keep(op OperatorCommand, outcome Outcome) {
	outcome.source = ""
	r.add(OperatorRequest{id: op.Request(), digest: digest(op), at: op.At(), outcome: outcome})
}

func (r *requests) add(q OperatorRequest) {
	if r.order.Len() >= maxRequests {
		r.drop(r.order.Front())
	}
	r.byID[q.id] = r.order.PushBack(q)
}

func (r *requests) expire(at time.Time) {
	for e := r.order.Front(); e != nil && at.Sub(e.Value.(OperatorRequest).at) >= requestRetention; e = r.order.Front() {
		r.drop(e)
	}
}

func (r *requests) drop(e *list.Element) {
	delete(r.byID, e.Value.(OperatorRequest).id)
	r.order.Remove(e)
}

func (r *requests) all() []OperatorRequest {
	out := make([]OperatorRequest, 0, r.order.Len())
	for e := r.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(OperatorRequest))
	}
	return out
}
