package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// PartialDownload is the state of a download that broke off and can be continued by
// Range and If-Range. It has a strong validator, and its length is known.
type PartialDownload struct {
	etag string
	// next and last are the positions, within the whole content, of the
	// first missing byte and of the last byte of the answer.
	next, last int64
	total      int64
}

// ETag returns the strong validator.
func (p PartialDownload) ETag() string { return p.etag }

// Next returns the position of the first missing byte.
func (p PartialDownload) Next() int64 { return p.next }

// Missing returns the number of missing bytes.
func (p PartialDownload) Missing() int64 { return p.last - p.next + 1 }

// partialOf returns the state of an answer before its first byte, or nil when
// it cannot be resumed.
func partialOf(request *http.Request, r *http.Response) *PartialDownload {
	etag := r.Header.Get("ETag")
	if request.Method != http.MethodGet || !isStrong(etag) {
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

// isStrong reports whether an entity tag is present and not weak. Weakly
// equal contents can differ in bytes.
func isStrong(etag string) bool {
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

// Resume continues a broken download from the target at address and writes
// the missing bytes to w, which has received the bytes before. The request is
// the one whose answer broke. The outcome is Ran when w has received the
// rest. An error that wraps ErrChanged means that this target holds different
// content; when no target holds the same, the caller's connection must be
// aborted. Another break yields a new Partial.
func (c *Client) Resume(ctx context.Context, address string, r *Request, broken PartialDownload, w io.Writer) Result {
	if r.IsBodyConsumed() {
		return Result{outcome: NotRun, err: fmt.Errorf("target %s: resume: %w", address, ErrBodyConsumed)}
	}
	x := c.newExchange(ctx, address, r)
	defer x.close()
	dropConditions(x.request.Header)
	x.request.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", broken.next, broken.last))
	x.request.Header.Set("If-Range", broken.etag)
	response, result := x.send()
	if response == nil {
		result.partial = &broken
		return result
	}
	defer func() { _ = response.Body.Close() }()
	x.result.status = response.StatusCode
	if isShed(response) {
		result = x.shed(response)
		result.partial = &broken
		return result
	}
	if err := x.checkResumed(response, broken); err != nil {
		return x.broken(err, &broken)
	}
	x.result.started = true
	if err := x.copyBody(response, w); err != nil {
		return x.broken(err, &broken)
	}
	if x.result.bytes != broken.Missing() {
		return x.broken(fmt.Errorf("target %s: resume: %w: %d of %d missing bytes",
			x.address, ErrIncomplete, x.result.bytes, broken.Missing()), &broken)
	}
	x.result.outcome = Ran
	return x.result
}

// dropConditions removes the conditions of the first request. They held when
// the answer began and could now suppress the rest.
func dropConditions(h http.Header) {
	for _, name := range []string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"} {
		h.Del(name)
	}
}

// checkResumed returns nil when the answer continues the broken one exactly.
func (x *exchange) checkResumed(r *http.Response, broken PartialDownload) error {
	switch {
	case r.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("target %s: resume: %w: status %d", x.address, ErrIncomplete, r.StatusCode)
	case r.StatusCode != http.StatusPartialContent:
		return fmt.Errorf("target %s: resume: %w: status %d", x.address, ErrContentChanged, r.StatusCode)
	case r.Header.Get("ETag") != broken.etag:
		return fmt.Errorf("target %s: resume: %w: validator %s instead of %s",
			x.address, ErrContentChanged, r.Header.Get("ETag"), broken.etag)
	}
	first, last, total, ok := parseContentRange(r.Header.Get("Content-Range"))
	if !ok || first != broken.next || last != broken.last || total != broken.total {
		return fmt.Errorf("target %s: resume: %w: range %q", x.address, ErrContentChanged, r.Header.Get("Content-Range"))
	}
	if r.ContentLength >= 0 && r.ContentLength != broken.Missing() {
		return fmt.Errorf("target %s: resume: %w: length %d", x.address, ErrContentChanged, r.ContentLength)
	}
	return nil
}
