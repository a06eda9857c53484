package once

import "slices"

// Header is one header line of a recorded response.
type Header struct {
	name, value string
}

// NewHeader returns a header line.
func NewHeader(name, value string) Header { return Header{name: name, value: value} }

// Name returns the name of the header.
func (h Header) Name() string { return h.name }

// Value returns the value of the header.
func (h Header) Value() string { return h.value }

// Result is the response of a request that ran.
type Result struct {
	status  int
	headers []Header
	body    []byte
	large   bool
}

// NewResult returns a complete response. The headers keep their order; the
// body is not copied and must not be changed afterwards.
func NewResult(status int, headers []Header, body []byte) Result {
	return Result{status: status, headers: slices.Clone(headers), body: body}
}

// TooLarge returns the result of a request that ran and whose response was
// too large to keep.
func TooLarge(status int) Result { return Result{status: status, large: true} }

// Status returns the HTTP status.
func (r Result) Status() int { return r.status }

// Headers returns the header lines.
func (r Result) Headers() []Header { return slices.Clone(r.headers) }

// Body returns the body, which must not be changed.
func (r Result) Body() []byte { return r.body }

// IsTooLarge reports whether the response was too large to keep.
func (r Result) IsTooLarge() bool { return r.large }

// Size returns the bytes of headers and body.
func (r Result) Size() int64 {
	size := int64(len(r.body))
	for _, h := range r.headers {
		size += int64(len(h.name) + len(h.value))
	}
	return size
}

// ResolutionKind is the way a claimed request ended.
type ResolutionKind int

// The ways in which a claimed request ends.
const (
	// ResolutionRan means that a target answered completely.
	ResolutionRan ResolutionKind = iota + 1
	// ResolutionNotRun means that nothing was written to a target.
	ResolutionNotRun
	// ResolutionUnknown means that a target may have run the request.
	ResolutionUnknown
)

// Resolution is the end of a claimed request with its result, if it ran.
type Resolution struct {
	ending ResolutionKind
	result Result
}

// Ran returns the resolution of a request with a complete response.
func Ran(result Result) Resolution { return Resolution{ending: ResolutionRan, result: result} }

// NotRun returns the resolution of a request that reached no target.
func NotRun() Resolution { return Resolution{ending: ResolutionNotRun} }

// Unknown returns the resolution of a request that may have run.
func Unknown() Resolution { return Resolution{ending: ResolutionUnknown} }

// Kind returns the way the request ended.
func (r Resolution) Kind() ResolutionKind { return r.ending }

// Result returns the response of a request that ran.
func (r Resolution) Result() Result { return r.result }
