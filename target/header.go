package target

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that targets, entry hosts and callers agree on.
const (
	// HeaderDeadline carries the time, in RFC 3339 with nanoseconds, after
	// which nobody waits for the answer.
	HeaderDeadline = "Rhubarbrack-Deadline"
	// HeaderOutcome with the value OutcomeNotRun on an answer with status
	// 503 states that nothing of the request ran.
	HeaderOutcome = "Rhubarbrack-Outcome"
	// HeaderReason names the reason of a refusal.
	HeaderReason = "Rhubarbrack-Reason"
	// HeaderRequest carries the request id.
	HeaderRequest = "Rhubarbrack-Request"
	// HeaderIdempotencyKey carries the id that the caller chose for a
	// non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"

	// OutcomeNotRun is the value of HeaderOutcome of a shed request.
	OutcomeNotRun = "not-run"
)

// ownPrefix starts the names of the headers that only entry hosts may set, on
// requests to targets as on answers to callers.
const ownPrefix = "Rhubarbrack-"

// hopHeaders are meant for one connection only (RFC 9110, section 7.6.1).
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

// dropHopHeaders removes the headers of one connection, including those that
// the Connection header lists.
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

// requestHeader returns the header that a target receives. Keys never reach a
// target. Expect is answered by the entry host, Content-Length is derived
// from the body.
func requestHeader(from http.Header) http.Header {
	h := from.Clone()
	if h == nil {
		h = make(http.Header)
	}
	dropHopHeaders(h)
	dropOwnHeaders(h)
	for _, name := range []string{"Authorization", "Expect", "Content-Length"} {
		h.Del(name)
	}
	if _, ok := h["User-Agent"]; !ok {
		// An absent value keeps net/http from adding its own name.
		h["User-Agent"] = nil
	}
	return h
}

// answerHeader removes from a target's answer what must not reach the caller.
func answerHeader(h http.Header) http.Header {
	dropHopHeaders(h)
	dropOwnHeaders(h)
	return h
}

func dropOwnHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
}
