package intact

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// The statuses of responses (RFC 9110, section 15). net/http accepts all of three
// characters that are a number.
const (
	minStatus = 100
	maxStatus = 599
)

// statusLine is the first line of a response.
type statusLine struct {
	status int
	// minorVersion is 0 for HTTP/1.0.
	minorVersion byte
}

// parseStatusLine parses a line without its end (RFC 9112, section 4). The space and
// the text behind the status may be missing. The error wraps ErrMalformed.
func parseStatusLine(line []byte) (statusLine, error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	minor, isVersion := bytes.CutPrefix(version, []byte("HTTP/1."))
	// ParseUint accepts digits alone.
	status, err := strconv.ParseUint(string(code), 10, 16)
	if !isVersion || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' ||
		err != nil || len(code) != 3 || status < minStatus || status > maxStatus || !IsFieldValue(reason) {
		return statusLine{}, fmt.Errorf("%w: status line %s", ErrMalformed, quote(line))
	}
	return statusLine{status: int(status), minorVersion: minor[0] - '0'}, nil
}

// isInterim reports whether another response follows.
func (s statusLine) isInterim() bool {
	return s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols
}

// maxQuotedBytes limits the part of a line that an error quotes.
const maxQuotedBytes = 64

// quote returns the beginning of a line in the form of a Go string.
func quote(line []byte) string { return strconv.Quote(string(line[:min(len(line), maxQuotedBytes)])) }
