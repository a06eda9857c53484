package link

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// isJoined reports whether a status line stands within the header of a response:
// the beginning of an earlier response may have come before this one.
func isJoined(r *http.Response) bool {
	if containsStatusLine(r.Status) {
		return true
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

func containsStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLine.MatchString(text)
}
