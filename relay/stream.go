package relay

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"rhubarbrack/admit"
	"rhubarbrack/link"
	"rhubarbrack/spread"
)

// streamResponse streams a long response. If it breaks off, the caller's
// connection is closed, so that the response does not look complete.
func (rh *requestHandler) streamResponse(
	d admit.Decision, exchange *link.Exchange, response Response, result spread.Result, header http.Header, first []byte,
) {
	r := exchange.Response()
	h := rh.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	if r.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	rh.writer.WriteHeader(r.StatusCode)
	// The latency of the target is the time to the first bytes; the rest
	// depends on the network.
	rh.recordResult(d, result, response)
	written, err := rh.writer.Write(first)
	if err == nil {
		var n int64
		n, err = io.CopyBuffer(writerOnly{rh.writer}, rh.paced(r.Body), make([]byte, copyBufferBytes))
		written += int(n)
	}
	if err != nil {
		exchange.Abort()
		rh.recordEnd(d, "broken-off", slog.Int("status", r.StatusCode), slog.Int("bytes", written), errorAttr(err))
		panic(http.ErrAbortHandler)
	}
	exchange.Finish()
	rh.recordEnd(d, "answered", slog.Int("status", r.StatusCode), slog.Int("bytes", written))
}

// paced returns the rest of a long response, paced if the host has a slow
// link.
func (rh *requestHandler) paced(body io.Reader) io.Reader {
	h := rh.handler
	if h.pacer == nil {
		return body
	}
	return h.pacer.reader(rh.ctx, body, h.clock.Now())
}

// writerOnly hides io.ReaderFrom, which would ignore the copy buffer.
type writerOnly struct{ io.Writer }
