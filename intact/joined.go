package intact

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// statusLinePattern matches the beginning of a status line, also of one with another
// version or with a status that does not exist: a malformed response may join an earlier
// one too. Values that name a version alone, as those of Via and Upgrade do, do not match.
var statusLinePattern = regexp.MustCompile(`HTTP/[0-9.]+[ \t]+[-+0-9]`)

// IsJoined reports whether a status line stands within the header of a response: on a
// connection that has carried another response, the beginning of that one may have come
// before this one, once more. Status and fields then belong to two responses.
func IsJoined(r *http.Response) bool {
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
	return strings.Contains(text, "HTTP/") && statusLinePattern.MatchString(text)
}
