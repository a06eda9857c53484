package relay

import (
	"bytes"
	"net/http"
)

// hopHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// dropHopHeaders removes the hop-by-hop headers, those that the Connection
// header names, and Content-Length.
func dropHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range splitList(line) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Del("Content-Length")
}

// splitList iterates over the elements of a comma-separated list.
func splitList(line string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for part := range bytes.SplitSeq([]byte(line), []byte{','}) {
			if name := string(bytes.TrimSpace(part)); name != "" && !yield(name) {
				return
			}
		}
	}
}
