package relay

import (
	"bytes"
	"net/http"
)

// hopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// dropHopHeaders removes the headers that concern one connection only, and
// those that the Connection header names.
func dropHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range commaList(line) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Del("Content-Length")
}

func commaList(line string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for part := range bytes.SplitSeq([]byte(line), []byte{','}) {
			if name := string(bytes.TrimSpace(part)); name != "" && !yield(name) {
				return
			}
		}
	}
}
