package state

import (
	"container/list"
	"time"

	"rhubarbrack/ident"
)

const (
	// requestRetention is how long the outcome of an operator command is
	// retained for retries.
	requestRetention = 24 * time.Hour
	// maxRequests bounds the number of retained outcomes. It holds all outcomes
	// of a day with 14,000 changes. When it is exceeded, the oldest outcome is
	// evicted, and a retry of its command is checked against the expected
	// revision only.
	maxRequests = 30_000
	// maxRequestID bounds the length in bytes of request IDs of operators and
	// callers.
	maxRequestID = 255
)

func isValidRequestID(id ident.RequestID) bool { return id != "" && len(id) <= maxRequestID }

// OperatorRequest is the record of an operator command and its first outcome.
type OperatorRequest struct {
	id      ident.RequestID
	digest  ident.Fingerprint
	at      time.Time
	outcome Outcome
}

// NewOperatorRequest returns a record read from a snapshot.
func NewOperatorRequest(id ident.RequestID, digest ident.Fingerprint, at time.Time, outcome Outcome) OperatorRequest {
	return OperatorRequest{id: id, digest: digest, at: canonicalTime(at), outcome: outcome}
}

// ID returns the request ID.
func (r OperatorRequest) ID() ident.RequestID { return r.id }

// Digest returns the digest of the command.
func (r OperatorRequest) Digest() ident.Fingerprint { return r.digest }

// At returns the time of the command.
func (r OperatorRequest) At() time.Time { return r.at }

// Outcome returns the first outcome, without the source text in case of a
// conflict.
func (r OperatorRequest) Outcome() Outcome { return r.outcome }

// requests holds the outcomes of operator commands, from oldest to newest.
type requests struct {
	byID  map[ident.RequestID]*list.Element
	order *list.List
}

func newRequests() *requests {
	return &requests{byID: make(map[ident.RequestID]*list.Element), order: list.New()}
}

// find returns the retained outcome for a retry of a command, or a refusal if
// the request ID belongs to a different command.
func (r *requests) find(op OperatorCommand) (Outcome, bool) {
	e, ok := r.byID[op.Request()]
	if !ok {
		return Outcome{}, false
	}
	first := e.Value.(OperatorRequest)
	if first.digest != commandDigest(op) {
		outcome := refuse(ReasonRequestReused, "request id %q was used for a different command", op.Request())
		outcome.revision = first.outcome.revision
		return outcome, true
	}
	first.outcome.isRetry, first.outcome.changed, first.outcome.shared = true, false, false
	return first.outcome, true
}

// record retains the first outcome of a command, without the source text.
func (r *requests) record(op OperatorCommand, outcome Outcome) {
	outcome.source = ""
	r.add(OperatorRequest{id: op.Request(), digest: commandDigest(op), at: op.At(), outcome: outcome})
}

func (r *requests) add(q OperatorRequest) {
	if r.order.Len() >= maxRequests {
		r.remove(r.order.Front())
	}
	r.byID[q.id] = r.order.PushBack(q)
}

func (r *requests) expire(at time.Time) {
	for e := r.order.Front(); e != nil && at.Sub(e.Value.(OperatorRequest).at) >= requestRetention; e = r.order.Front() {
		r.remove(e)
	}
}

func (r *requests) remove(e *list.Element) {
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
