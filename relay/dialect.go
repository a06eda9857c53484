package relay

import (
	"net/http"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// Dialect knows how the parties name things in HTTP messages. It makes no
// decisions.
type Dialect interface {
	// DecodeRequest decodes what decisions need of a caller's request.
	DecodeRequest(r *http.Request) admit.Request
	// SetOutboundHeaders sets the headers of a request on its way to a target: the
	// caller's key is removed, and the target's process, the time left and
	// the team are named.
	SetOutboundHeaders(h http.Header, target ident.Target, left time.Duration, team ident.Team)
	// DecodeResponse decodes what a target says of itself and of the request.
	DecodeResponse(r *http.Response) Response
	// WriteRefusal writes an answer of this host itself.
	WriteRefusal(w http.ResponseWriter, r Refusal)
}

// Response is what a target's answer says besides its body.
type Response struct {
	request ident.RequestID
	genuine bool
	notRun  bool
	foreign bool
	load    ident.Option[spread.Load]
	cold    ident.Option[time.Duration]
}

// NewResponse returns what an answer says: the request that it belongs to,
// whether it bears the mark of a target's own work, whether it states that
// the request has not run, and whether another process than the one that was
// meant has answered.
func NewResponse(
	request ident.RequestID, genuine, notRun, foreign bool, load ident.Option[spread.Load],
	cold ident.Option[time.Duration],
) Response {
	return Response{request: request, genuine: genuine, notRun: notRun, foreign: foreign, load: load, cold: cold}
}

// Outcome says whether a request that this host answers by itself has run.
type Outcome uint8

const (
	// NotRun means that no target has run the request or ever will.
	NotRun Outcome = iota + 1
	// Unknown means that a target may have run the request.
	Unknown
	// Late means that the request's time ended while a target may run it.
	Late
)

// String returns the name for logs.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case Late:
		return "late"
	}
	return "invalid"
}

// Refusal is an answer of this host itself.
type Refusal struct {
	request ident.RequestID
	outcome Outcome
	reason  admit.Reason
	after   time.Duration
}

// Request returns the request that is refused.
func (r Refusal) Request() ident.RequestID { return r.request }

// Outcome says whether the request has run.
func (r Refusal) Outcome() Outcome { return r.outcome }

// Reason tells why the request is refused.
func (r Refusal) Reason() admit.Reason { return r.reason }

// RetryAfter returns when the caller may come back, or 0.
func (r Refusal) RetryAfter() time.Duration { return r.after }

// NewRefusal returns the refusal of a request.
func NewRefusal(request ident.RequestID, outcome Outcome, reason admit.Reason, after time.Duration) Refusal {
	return Refusal{request: request, outcome: outcome, reason: reason, after: after}
}
