package target

import (
	"time"

	"github.com/juju/errors"
)

// Outcome is the outcome of a dispatch.
type Outcome int

// The outcomes of a dispatch.
const (
	// NotRun means that no part of the request was written to any connection.
	NotRun Outcome = iota + 1
	// Ran means that the target responded and the whole response was passed
	// on.
	Ran
	// Unknown means that the request was written, at least in part, and no
	// complete response was passed on.
	Unknown
	// Crashed means that the request was written and the connection was lost
	// before any byte of a response. Like Unknown, it proves nothing about the
	// effects of the request.
	Crashed
	// Shed means that the target refused the request and stated that no part
	// of it ran.
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

// Errors of a Result, to be matched with errors.Is.
const (
	// ErrDial means that no connection to the target could be opened.
	ErrDial = errors.ConstError("target cannot be reached")
	// ErrLost means that the connection to the target broke.
	ErrLost = errors.ConstError("connection to target lost")
	// ErrRequestBody means that the body of the request ended early or failed.
	ErrRequestBody = errors.ConstError("request body failed")
	// ErrBodyConsumed means that an earlier dispatch has read from the body.
	ErrBodyConsumed = errors.ConstError("request body was read before")
	// ErrConsumer means that the response consumer returned an error.
	ErrConsumer = errors.ConstError("response could not be passed on")
	// ErrIncomplete means that the response ended before its announced length.
	ErrIncomplete = errors.ConstError("response is incomplete")
	// ErrUndelimited means that the response had neither length nor chunks, so
	// that its end cannot be distinguished from a lost connection.
	ErrUndelimited = errors.ConstError("response has no delimiter")
	// ErrUnpaired means that a response arrived that does not belong to this
	// dispatch, such as the late copy of an earlier one. Nothing of it counts.
	ErrUnpaired = errors.ConstError("response does not belong to the attempt")
	// ErrShed means that the target refused the request without running it.
	ErrShed = errors.ConstError("target shed the request")
	// ErrContentChanged means that the target that should resume a download
	// has different content. The caller's connection must be aborted.
	ErrContentChanged = errors.ConstError("content differs from the interrupted download")
	// ErrResent means that the transport used a second connection.
	ErrResent = errors.ConstError("request was sent on two connections")
	// ErrMalformedRequest means that the request cannot be sent in this form.
	ErrMalformedRequest = errors.ConstError("request is malformed")
)

// Result is the result of one dispatch.
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

// Outcome returns the outcome of the dispatch.
func (r Result) Outcome() Outcome { return r.outcome }

// Status returns the status of the response, or zero when none arrived.
func (r Result) Status() int { return r.status }

// Started reports whether the consumer received the start of the response. If
// the outcome is then Unknown, the response must be resumed or the caller's
// connection aborted.
func (r Result) Started() bool { return r.started }

// Reused reports whether the connection had served another request before. If
// so, a target that closed it as idle can look crashed.
func (r Result) Reused() bool { return r.reused }

// Bytes returns the number of body bytes that the consumer accepted.
func (r Result) Bytes() int64 { return r.bytes }

// RetryAfter returns the pause that a shedding target requested, or zero.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Partial returns the state of an interrupted download that Resume can
// continue.
func (r Result) Partial() (PartialDownload, bool) {
	if r.partial == nil {
		return PartialDownload{}, false
	}
	return *r.partial, true
}

// Err returns nil for Ran and the cause otherwise. It wraps one of the errors
// of this package and, if the context ended, its cause.
func (r Result) Err() error { return r.err }
