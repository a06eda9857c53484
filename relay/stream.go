package relay

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/intact"
	"rhubarbrack/link"
	"rhubarbrack/spread"
)

// streamResponse streams a long response. If it breaks off, the caller's
// connection is closed, so that the response does not look complete.
func (rh *requestHandler) streamResponse(
	d admit.Decision, exchange *link.Exchange, response Response, result spread.Result, header http.Header, first []byte,
) {
	rh.beginAnswer()
	r := exchange.Response()
	h := rh.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	if r.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	complete := rh.guardEnd(r)
	rh.writer.WriteHeader(r.StatusCode)
	// The latency of the target is the time to the first bytes; the rest
	// depends on the network.
	rh.recordResult(d, result, response)
	length := rh.bodyLength(r)
	rh.handler.admission.ref.Tell(responseBegun{state: d.State(), length: length})
	w := countingWriter{writer: rh.writer, admission: rh.handler.admission, state: d.State()}
	body := rh.paced(r.Body, length)
	written, err := w.Write(first)
	if err == nil {
		var n int64
		n, err = io.CopyBuffer(w, body, make([]byte, copyBufferBytes))
		written += int(n)
	}
	attrs := []any{slog.Int("status", r.StatusCode), slog.Int("bytes", written), slog.Int64("paced-ms", millis(body.waited))}
	if err != nil {
		exchange.Abort()
		rh.recordEnd(d, "broken-off", append(attrs, slog.Int64("rest-bytes", max(r.ContentLength-int64(written), -1)), errorAttr(err))...)
		panic(http.ErrAbortHandler)
	}
	complete()
	exchange.Finish()
	rh.recordEnd(d, "answered", attrs...)
}

// guardEnd keeps a response without a length from looking whole to the caller until
// it is. The returned function records that it is.
func (rh *requestHandler) guardEnd(r *http.Response) (complete func()) {
	conn, ok := rh.incoming.Context().Value(connKey{}).(*callerConn)
	if !ok || r.ContentLength >= 0 {
		return func() {}
	}
	return intact.GuardEnd(rh.writer, rh.incoming, conn)
}

// bodyLength returns the length of the body of a response, if it is known. The response
// to a HEAD request states the length of a body that does not follow.
func (rh *requestHandler) bodyLength(r *http.Response) ident.Option[int64] {
	switch {
	case rh.incoming.Method == http.MethodHead:
		return ident.Some[int64](0)
	case r.ContentLength >= 0:
		return ident.Some(r.ContentLength)
	}
	return ident.None[int64]()
}

// paced returns the rest of a long response, paced if the host has a slow
// link.
func (rh *requestHandler) paced(body io.Reader, length ident.Option[int64]) *pacedReader {
	h := rh.handler
	if h.pacer == nil {
		return &pacedReader{reader: body}
	}
	return h.pacer.reader(rh.ctx, body, h.clock.Now(), length.Or(unknownLength))
}
