package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// HeaderOutcome names the outcome of a request.
	HeaderOutcome = "Rhubarbrack-Outcome"
	// HeaderReason names why a request was refused.
	HeaderReason = "Rhubarbrack-Reason"
	// HeaderRequest carries the id of a request.
	HeaderRequest = "Rhubarbrack-Request"
	// HeaderTimeout states how long the caller waits, as a duration such as
	// "1500ms" or a number of seconds.
	HeaderTimeout = "Rhubarbrack-Timeout"
	// HeaderIdempotencyKey carries the id of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"

	headerRetryAfter = "Retry-After"
	bearer           = "Bearer "
)

// bearerKey returns the key in an Authorization header, or nothing.
func bearerKey(header http.Header) string {
	value := header.Get("Authorization")
	if len(value) < len(bearer) || !strings.EqualFold(value[:len(bearer)], bearer) {
		return ""
	}
	return strings.TrimSpace(value[len(bearer):])
}

// timeout returns how long the caller waits, zero when it does not say.
func timeout(header http.Header) (time.Duration, error) {
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

// retryAfter renders a duration for the Retry-After header, in whole seconds
// rounded up.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
