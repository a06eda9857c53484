package target

import (
	"time"

	"github.com/juju/errors"
)

// Outcome tells how a dispatch ended.
type Outcome int

// The outcomes of a dispatch.
const (
	// NotRun means that nothing of the request was written to any
	// connection.
	NotRun Outcome = iota + 1
	// Ran means that the target answered and the whole answer was passed on.
	Ran
	// Unknown means that the request was written, at least in part, and no
	// complete answer was passed on.
	Unknown
	// Crashed means that the request was written and the connection was lost
	// before any byte of an answer. Like Unknown, it proves nothing about
	// the effects of the request.
	Crashed
	// Shed means that the target itself refused the request and stated that
	// nothing of it ran.
	Shed
)

// String returns the name of the outcome in kebab case.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	case Unknown:
		return "unknown"
	case Crashed:
		return "crashed"
	case Shed:
		return "shed"
	}
	return "invalid"
}

// Errors of a Result, found with errors.Is.
const (
	// ErrDial means that no connection to the target came about.
	ErrDial = errors.ConstError("target cannot be reached")
	// ErrLost means that the connection to the target broke.
	ErrLost = errors.ConstError("connection to target lost")
	// ErrRequestBody means that the body of the request ended early or failed.
	ErrRequestBody = errors.ConstError("request body failed")
	// ErrBodyConsumed means that an earlier dispatch has read from the body.
	ErrBodyConsumed = errors.ConstError("request body was read before")
	// ErrConsumer means that the sink refused the answer.
	ErrConsumer = errors.ConstError("answer could not be passed on")
	// ErrIncomplete means that the answer ended before its announced length.
	ErrIncomplete = errors.ConstError("answer is incomplete")
	// ErrUndelimited means that the answer had neither length nor chunks, so
	// that its end cannot be told from a loss.
	ErrUndelimited = errors.ConstError("answer has no delimiter")
	// ErrShed means that the target refused the request as not run.
	ErrShed = errors.ConstError("target shed the request")
	// ErrContentChanged means that the target that should continue a download holds
	// different content. The caller's connection must be aborted.
	ErrContentChanged = errors.ConstError("content differs from the broken download")
	// ErrResent means that the transport used a second connection.
	ErrResent = errors.ConstError("request was sent on two connections")
	// ErrMalformedRequest means that the request cannot be sent in this form.
	ErrMalformedRequest = errors.ConstError("request is malformed")
)

// Result is the end of one dispatch.
type Result struct {
	outcome    Outcome
	status     int
	started    bool
	reused     bool
	bytes      int64
	retryAfter time.Duration
	partial    *PartialDownload
	err        error
}

// Outcome returns how the dispatch ended.
func (r Result) Outcome() Outcome { return r.outcome }

// Status returns the status of the answer, or zero when none arrived.
func (r Result) Status() int { return r.status }

// Started reports whether the sink received the start of the answer. When the
// outcome is then Unknown, the caller's connection must be resumed or
// aborted.
func (r Result) Started() bool { return r.started }

// Reused reports whether the connection had served another request before. A
// target that closes idle connections can then look crashed.
func (r Result) Reused() bool { return r.reused }

// Bytes returns the number of body bytes that the sink accepted.
func (r Result) Bytes() int64 { return r.bytes }

// RetryAfter returns the pause that a shedding target asked for, or zero.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Partial returns the state of a broken download that Resume can continue.
func (r Result) Partial() (PartialDownload, bool) {
	if r.partial == nil {
		return PartialDownload{}, false
	}
	return *r.partial, true
}

// Err returns nil for Ran and the cause otherwise. It wraps one of the errors
// of this package and, when the context ended, its cause.
func (r Result) Err() error { return r.err }
