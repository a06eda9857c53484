package codec

import (
	"fmt"

	"rhubarbrack/once"
	"rhubarbrack/state"
)

type headerRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Name, Value string
}

type resultRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Status  int
	Large   bool
	Headers []headerRecord
	Body    []byte
}

func resultRecordOf(r once.Result) resultRecord {
	out := resultRecord{Status: r.Status(), Large: r.IsTooLarge(), Body: r.Body()}
	for _, h := range r.Headers() {
		out.Headers = append(out.Headers, headerRecord{Name: h.Name(), Value: h.Value()})
	}
	return out
}

func (r resultRecord) result() once.Result {
	if r.Large {
		return once.TooLarge(r.Status)
	}
	var headers []once.Header
	for _, h := range r.Headers {
		headers = append(headers, once.NewHeader(h.Name, h.Value))
	}
	return once.NewResult(r.Status, headers, r.Body)
}

// The encoded kinds of resolution. They are independent of the constants of
// package once, which may change.
const (
	resolutionRan     = 1
	resolutionNotRun  = 2
	resolutionUnknown = 3
)

type resolveRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Holder holderRecord
	Ending int
	Result resultRecord
}

func resolveRecordOf(c state.Resolve) *resolveRecord {
	r := &resolveRecord{Holder: holderRecordOf(c.Key(), c.Holder()), Ending: resolutionUnknown}
	switch c.Resolution().Kind() {
	case once.ResolutionRan:
		r.Ending, r.Result = resolutionRan, resultRecordOf(c.Resolution().Result())
	case once.ResolutionNotRun:
		r.Ending = resolutionNotRun
	}
	return r
}

func (r *resolveRecord) command() (state.Command, error) {
	var resolution once.Resolution
	switch r.Ending {
	case resolutionRan:
		resolution = once.Ran(r.Result.result())
	case resolutionNotRun:
		resolution = once.NotRun()
	case resolutionUnknown:
		resolution = once.Unknown()
	default:
		return nil, &CorruptError{content: "resolve", err: fmt.Errorf("ending %d", r.Ending)}
	}
	return state.NewResolve(r.Holder.key(), r.Holder.holder(), resolution), nil
}
