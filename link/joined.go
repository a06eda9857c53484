package link

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// statusLine matches the beginning of a status line, also of one with another version or
// with a status that does not exist: a malformed response may join an earlier one too.
// Values that name a version alone, as those of Via and Upgrade do, do not match.
var statusLine = regexp.MustCompile(`HTTP/[0-9.]+[ \t]+[-+0-9]`)

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
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}
