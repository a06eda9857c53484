package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// PartialDownload is the state of an interrupted download that can be resumed
// by Range and If-Range. It has a strong validator, and its length is known.
type PartialDownload struct {
	etag string
	// next and last are the positions, within the whole content, of the first
	// missing byte and of the last byte of the response.
	next, last int64
	total      int64
}

// ETag returns the strong validator.
func (p PartialDownload) ETag() string { return p.etag }

// Next returns the position of the first missing byte.
func (p PartialDownload) Next() int64 { return p.next }

// Missing returns the number of missing bytes.
func (p PartialDownload) Missing() int64 { return p.last - p.next + 1 }

// newPartial returns the state of a response before its first byte, or nil
// when it cannot be resumed.
func newPartial(request *http.Request, r *http.Response) *PartialDownload {
	etag := r.Header.Get("ETag")
	if request.Method != http.MethodGet || !isStrongETag(etag) {
		return nil
	}
	switch r.StatusCode {
	case http.StatusOK:
		if r.ContentLength <= 0 || !strings.EqualFold(r.Header.Get("Accept-Ranges"), "bytes") {
			return nil
		}
		return &PartialDownload{etag: etag, last: r.ContentLength - 1, total: r.ContentLength}
	case http.StatusPartialContent:
		first, last, total, ok := parseContentRange(r.Header.Get("Content-Range"))
		if !ok {
			return nil
		}
		return &PartialDownload{etag: etag, next: first, last: last, total: total}
	}
	return nil
}

// isStrongETag reports whether an entity tag is present and not weak. Contents
// that are only weakly equal can differ in bytes.
func isStrongETag(etag string) bool {
	return len(etag) > 2 && etag[0] == '"' && etag[len(etag)-1] == '"'
}

// parseContentRange parses "bytes FIRST-LAST/TOTAL" with a known total.
func parseContentRange(value string) (first, last, total int64, ok bool) {
	span, found := strings.CutPrefix(value, "bytes ")
	span, size, cut := strings.Cut(span, "/")
	from, to, dash := strings.Cut(span, "-")
	if !found || !cut || !dash {
		return 0, 0, 0, false
	}
	var errs [3]error
	first, errs[0] = strconv.ParseInt(from, 10, 63)
	last, errs[1] = strconv.ParseInt(to, 10, 63)
	total, errs[2] = strconv.ParseInt(size, 10, 63)
	for _, err := range errs {
		if err != nil {
			return 0, 0, 0, false
		}
	}
	return first, last, total, first >= 0 && first <= last && last < total
}

// Resume continues an interrupted download from the target at address and
// writes the missing bytes to w, which has received the preceding ones. The
// request is the one whose response was interrupted. The outcome is Ran when w
// has received the rest. An error that wraps ErrContentChanged means that this
// target has different content; when no target has the same content, the
// caller's connection must be aborted. Another interruption yields a new
// PartialDownload.
func (c *Client) Resume(ctx context.Context, address string, r *Request, interrupted PartialDownload, w io.Writer) Result {
	if r.IsBodyConsumed() {
		return Result{outcome: NotRun, err: fmt.Errorf("target %s: resume: %w", address, ErrBodyConsumed)}
	}
	x := c.newExchange(ctx, address, r)
	defer x.close()
	dropConditions(x.request.Header)
	x.request.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", interrupted.next, interrupted.last))
	x.request.Header.Set("If-Range", interrupted.etag)
	response, result := x.send()
	if response == nil {
		result.partial = &interrupted
		return result
	}
	defer func() { _ = response.Body.Close() }()
	x.result.status = response.StatusCode
	if isShed(response) {
		result = x.shedResult(response)
		result.partial = &interrupted
		return result
	}
	if err := x.checkResumed(response, interrupted); err != nil {
		return x.incompleteResult(err, &interrupted)
	}
	x.result.started = true
	if err := x.copyBody(response, w); err != nil {
		return x.incompleteResult(err, &interrupted)
	}
	if x.result.bytes != interrupted.Missing() {
		return x.incompleteResult(fmt.Errorf("target %s: resume: %w: %d of %d missing bytes",
			x.address, ErrIncomplete, x.result.bytes, interrupted.Missing()), &interrupted)
	}
	x.result.outcome = Ran
	return x.result
}

// dropConditions removes the conditions of the original request. They held
// when the response began and could now suppress the rest.
func dropConditions(h http.Header) {
	for _, name := range []string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"} {
		h.Del(name)
	}
}

// checkResumed returns nil when the response continues the interrupted one
// exactly.
func (x *exchange) checkResumed(r *http.Response, interrupted PartialDownload) error {
	switch {
	case r.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("target %s: resume: %w: status %d", x.address, ErrIncomplete, r.StatusCode)
	case r.StatusCode != http.StatusPartialContent:
		return fmt.Errorf("target %s: resume: %w: status %d", x.address, ErrContentChanged, r.StatusCode)
	case r.Header.Get("ETag") != interrupted.etag:
		return fmt.Errorf("target %s: resume: %w: validator %s instead of %s",
			x.address, ErrContentChanged, r.Header.Get("ETag"), interrupted.etag)
	}
	first, last, total, ok := parseContentRange(r.Header.Get("Content-Range"))
	if !ok || first != interrupted.next || last != interrupted.last || total != interrupted.total {
		return fmt.Errorf("target %s: resume: %w: range %q", x.address, ErrContentChanged, r.Header.Get("Content-Range"))
	}
	if r.ContentLength >= 0 && r.ContentLength != interrupted.Missing() {
		return fmt.Errorf("target %s: resume: %w: length %d", x.address, ErrContentChanged, r.ContentLength)
	}
	return nil
}
