package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// HeaderOutcome carries the outcome of a request.
	HeaderOutcome = "Rhubarbrack-Outcome"
	// HeaderReason carries the reason of a refusal.
	HeaderReason = "Rhubarbrack-Reason"
	// HeaderRequest carries the ID of a request.
	HeaderRequest = "Rhubarbrack-Request"
	// HeaderTimeout states how long the caller waits, as a duration such as
	// "1500ms" or a number of seconds.
	HeaderTimeout = "Rhubarbrack-Timeout"
	// HeaderIdempotencyKey carries the ID of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"

	headerRetryAfter = "Retry-After"
	bearerPrefix     = "Bearer "
)

// bearerKey returns the key in the Authorization header, or nothing.
func bearerKey(header http.Header) string {
	value := header.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

// parseTimeout returns the timeout that the caller set, or zero if there is
// none.
func parseTimeout(header http.Header) (time.Duration, error) {
	value := header.Get(HeaderTimeout)
	if value == "" {
		return 0, nil
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 && seconds < 1e6 {
		return time.Duration(seconds * float64(time.Second)), nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return 0, fmt.Errorf("header %s: %q is not a positive duration or number of seconds", HeaderTimeout, value)
	}
	return d, nil
}

// formatSeconds formats a duration for a header, in whole seconds rounded up.
func formatSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
