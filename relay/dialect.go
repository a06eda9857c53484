package relay

import (
	"net/http"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// Dialect encodes and decodes the HTTP messages of one protocol binding. It
// makes no decisions.
type Dialect interface {
	// DecodeRequest decodes the properties of a caller's request that
	// decisions depend on.
	DecodeRequest(r *http.Request) admit.Request
	// SetOutboundHeaders sets the headers of a request to a target: it removes
	// the caller's key and adds the target process, the remaining time and the
	// team.
	SetOutboundHeaders(h http.Header, target ident.Target, left time.Duration, team ident.Team)
	// DecodeResponse decodes what a response says about the target and the
	// request.
	DecodeResponse(r *http.Response) Response
	// SetResponseHeaders sets the headers of a target's response that is passed
	// on. The target is empty if the response came through another entry host.
	SetResponseHeaders(h http.Header, target spread.Target)
	// WriteRefusal writes a refusal to the caller.
	WriteRefusal(w http.ResponseWriter, r Refusal)
}

// Response holds the properties of a target's response besides its status and
// body.
type Response struct {
	request ident.RequestID
	genuine bool
	notRun  bool
	foreign bool
	load    ident.Option[spread.Load]
	coldFor ident.Option[time.Duration]
	// statement is what the target says of itself.
	statement spread.Statement
	// target is the process that responded, if the response came through
	// another entry host.
	target ident.Option[ForwardedTarget]
}

// ResponseOption sets an optional property of a Response.
type ResponseOption func(*Response)

// WithStatement sets what the target says of itself.
func WithStatement(s spread.Statement) ResponseOption { return func(r *Response) { r.statement = s } }

// NewResponse returns the properties of a response: the request that it
// belongs to, whether it carries the mark that a target processed the request,
// whether it states that the request has not run, and whether a process other
// than the intended target responded. The target's load, and how long it stays
// cold, are optional.
func NewResponse(
	request ident.RequestID, genuine, notRun, foreign bool, load ident.Option[spread.Load],
	coldFor ident.Option[time.Duration], options ...ResponseOption,
) Response {
	r := Response{request: request, genuine: genuine, notRun: notRun, foreign: foreign, load: load, coldFor: coldFor}
	for _, apply := range options {
		apply(&r)
	}
	return r
}

// stated returns what the target said of itself: nothing if it did not answer, or
// if another process answered at its address.
func (r Response) stated(result spread.Result) ident.Option[spread.Statement] {
	switch result {
	case spread.Served, spread.Failed, spread.Full:
		return ident.Some(r.statement)
	}
	return ident.None[spread.Statement]()
}

// Outcome tells whether a request that this host refuses may have run.
type Outcome uint8

const (
	// NotRun means that no target has run the request or ever will.
	NotRun Outcome = iota + 1
	// Unknown means that a target may have run the request.
	Unknown
	// Late means that the deadline passed while a target may be running the
	// request.
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

// Refusal is a response that this host generates itself instead of a target's.
type Refusal struct {
	request    ident.RequestID
	outcome    Outcome
	reason     admit.Reason
	retryAfter time.Duration
	sends      int
}

// Sends returns the number of attempts at targets that were made.
func (r Refusal) Sends() int { return r.sends }

// Request returns the ID of the refused request.
func (r Refusal) Request() ident.RequestID { return r.request }

// Outcome tells whether the request may have run.
func (r Refusal) Outcome() Outcome { return r.outcome }

// Reason returns the reason for the refusal.
func (r Refusal) Reason() admit.Reason { return r.reason }

// RetryAfter returns the time after which the caller may retry, or 0.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// NewRefusal returns the refusal of a request after the given number of attempts
// at targets.
func NewRefusal(request ident.RequestID, outcome Outcome, reason admit.Reason, retryAfter time.Duration, sends int) Refusal {
	return Refusal{request: request, outcome: outcome, reason: reason, retryAfter: retryAfter, sends: sends}
}
