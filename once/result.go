package once

import "slices"

// Header is a header field of a recorded response.
type Header struct {
	name, value string
}

// NewHeader returns a header field.
func NewHeader(name, value string) Header { return Header{name: name, value: value} }

// Name returns the name of the header field.
func (h Header) Name() string { return h.name }

// Value returns the value of the header field.
func (h Header) Value() string { return h.value }

// Result is the response to a request that was executed.
type Result struct {
	status   int
	headers  []Header
	body     []byte
	tooLarge bool
}

// NewResult returns a result with a complete response. It keeps the order of
// the headers. It does not copy the body, which must not be modified
// afterwards.
func NewResult(status int, headers []Header, body []byte) Result {
	return Result{status: status, headers: slices.Clone(headers), body: body}
}

// TooLarge returns the result of an executed request whose response was too
// large to record.
func TooLarge(status int) Result { return Result{status: status, tooLarge: true} }

// Status returns the HTTP status.
func (r Result) Status() int { return r.status }

// Headers returns the header fields.
func (r Result) Headers() []Header { return slices.Clone(r.headers) }

// Body returns the body, which must not be modified.
func (r Result) Body() []byte { return r.body }

// IsTooLarge reports whether the response was too large to record.
func (r Result) IsTooLarge() bool { return r.tooLarge }

// Size returns the size of the headers and the body in bytes.
func (r Result) Size() int64 {
	size := int64(len(r.body))
	for _, h := range r.headers {
		size += int64(len(h.name) + len(h.value))
	}
	return size
}

// ResolutionKind tells whether a claimed request was executed.
type ResolutionKind int

// The kinds of resolution.
const (
	// ResolutionRan means that a target returned a complete response.
	ResolutionRan ResolutionKind = iota + 1
	// ResolutionNotRun means that no part of the request was written to a target.
	ResolutionNotRun
	// ResolutionUnknown means that a target may have executed the request.
	ResolutionUnknown
)

// Resolution tells whether a claimed request was executed and holds its
// result.
type Resolution struct {
	kind   ResolutionKind
	result Result
}

// Ran returns the resolution of a request that got a complete response.
func Ran(result Result) Resolution { return Resolution{kind: ResolutionRan, result: result} }

// NotRun returns the resolution of a request that was not sent to a target.
func NotRun() Resolution { return Resolution{kind: ResolutionNotRun} }

// Unknown returns the resolution of a request that may have been executed.
func Unknown() Resolution { return Resolution{kind: ResolutionUnknown} }

// Kind reports whether the request was executed.
func (r Resolution) Kind() ResolutionKind { return r.kind }

// Result returns the response to a request that was executed.
func (r Resolution) Result() Result { return r.result }
