package target

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of the protocol between callers, entry hosts and targets.
const (
	// HeaderDeadline carries the time, in RFC 3339 with nanoseconds, after
	// which nobody waits for the response.
	HeaderDeadline = "Rhubarbrack-Deadline"
	// HeaderOutcome with the value OutcomeNotRun on a response with status 503
	// states that no part of the request ran.
	HeaderOutcome = "Rhubarbrack-Outcome"
	// HeaderReason names the reason of a refusal.
	HeaderReason = "Rhubarbrack-Reason"
	// HeaderRequest carries the request ID.
	HeaderRequest = "Rhubarbrack-Request"
	// HeaderAttempt carries an ID of the dispatch, which differs even when the
	// same request is dispatched again. A target that repeats it in its response
	// to this dispatch protects others from late copies of that response.
	HeaderAttempt = "Rhubarbrack-Attempt"
	// HeaderIdempotencyKey carries the ID that the caller chose for a
	// non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"

	// OutcomeNotRun is the value of HeaderOutcome of a shed request.
	OutcomeNotRun = "not-run"
)

// reservedPrefix is the prefix of headers that only entry hosts may set, on
// requests to targets and on responses to callers.
const reservedPrefix = "Rhubarbrack-"

// hopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// dropHopHeaders removes the hop-by-hop headers, including those that the
// Connection header lists.
func dropHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// requestHeader returns the header for a target. Keys never reach a target.
// Expect is handled by the entry host, and Content-Length is derived from the
// body.
func requestHeader(from http.Header) http.Header {
	h := from.Clone()
	if h == nil {
		h = make(http.Header)
	}
	dropHopHeaders(h)
	dropReservedHeaders(h)
	for _, name := range []string{"Authorization", "Expect", "Content-Length"} {
		h.Del(name)
	}
	if _, ok := h["User-Agent"]; !ok {
		// A nil value keeps net/http from adding its default User-Agent.
		h["User-Agent"] = nil
	}
	return h
}

// responseHeader removes headers of a target's response that must not reach
// the caller.
func responseHeader(h http.Header) http.Header {
	dropHopHeaders(h)
	dropReservedHeaders(h)
	return h
}

func dropReservedHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(h, name)
		}
	}
}
