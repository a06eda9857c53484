package link

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/intact"
)

const (
	// ErrBroken means that the connection failed after the request may have
	// reached the target.
	ErrBroken = errors.ConstError("connection to the target broke")
	// ErrResponseMismatch means that bytes arrived that are not a response to
	// the request.
	ErrResponseMismatch = errors.ConstError("response does not belong to the request")
)

const (
	// maxStrayResponses is the number of responses that are read in search of
	// the one to the request.
	maxStrayResponses = 4
	// maxStrayBytes is the largest body of a skipped response.
	maxStrayBytes = 1 << 20
)

// Exchange is a request that was sent and its response.
type Exchange struct {
	pool     *Pool
	conn     *Conn
	response *http.Response
	// stopAbort cancels the abort at the end of the context.
	stopAbort func() bool
	// written receives the result of writing the request.
	written <-chan error
	done    bool
}

// Send writes the request to the connection and reads the header of the
// response for which matches returns true. Late responses to earlier requests
// are skipped. The end of ctx resets the connection, which tells the target
// that nobody waits for the response. After an error, the connection is closed
// and the request may have run.
func (p *Pool) Send(
	ctx context.Context, c *Conn, r *http.Request, matches func(*http.Response) bool,
) (*Exchange, error) {
	x := &Exchange{pool: p, conn: c}
	x.stopAbort = context.AfterFunc(ctx, c.abort)
	written := make(chan error, 1)
	x.written = written
	if r.Body == nil || r.ContentLength == 0 {
		written <- r.Write(requestWriter{c.stream})
	} else {
		// A target may respond before it has read the whole body.
		go func() { written <- r.Write(requestWriter{c.stream}) }()
	}
	response, err := x.read(r, matches)
	if err != nil {
		x.stopAbort()
		c.abort()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, context.Cause(ctx))
		}
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	x.response = response
	return x, nil
}

func (x *Exchange) read(r *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	for range maxStrayResponses {
		response, err := x.readHeader(r)
		if err != nil {
			return nil, fmt.Errorf("read response header: %w", err)
		}
		if x.conn.IsReused() && intact.IsJoined(response) {
			return nil, fmt.Errorf("%w: header of two responses", ErrResponseMismatch)
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if matches(response) {
			return response, nil
		}
		if r.Method == http.MethodHead {
			return nil, fmt.Errorf("%w: its length is unknown after a request with the method HEAD", ErrResponseMismatch)
		}
		n, err := io.CopyN(io.Discard, response.Body, maxStrayBytes)
		if err == nil || !errors.Is(err, io.EOF) || response.Close || !isDelimited(response) {
			return nil, fmt.Errorf("%w: %d bytes of its body read", ErrResponseMismatch, n)
		}
	}
	return nil, ErrResponseMismatch
}

// readHeader reads the header of the next response.
func (x *Exchange) readHeader(r *http.Request) (*http.Response, error) {
	if err := x.conn.beginHeader(); err != nil {
		return nil, fmt.Errorf("buffered bytes: %w", err)
	}
	defer x.conn.endHeader()
	return http.ReadResponse(x.conn.reader, r)
}

// isDelimited reports whether the end of the body can be detected without the
// end of the connection.
func isDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}

// Response returns the response. Its body must be read to the end before
// Finish.
func (x *Exchange) Response() *http.Response { return x.response }

// isReusable reports whether the connection can carry another request after the
// response. Whether a response has a body depends on the method of its request, so
// a late response to HEAD cannot be skipped. A target whose headers contain status
// lines gets a connection for each request, on which no earlier response can come
// before the one that is due.
func (x *Exchange) isReusable() bool {
	isHead := x.response.Request.Method == http.MethodHead
	return !x.response.Close && isDelimited(x.response) && !intact.IsJoined(x.response) && !isHead
}

// Finish returns the connection to the pool after the response body was read
// to the end, or closes it if it cannot be reused.
func (x *Exchange) Finish() {
	if x.done {
		return
	}
	x.done = true
	if !x.stopAbort() || !x.isReusable() {
		x.conn.close()
		return
	}
	select {
	case err := <-x.written:
		if err != nil {
			x.conn.close()
			return
		}
	default:
		// The request body is still being written, so the next bytes on this
		// connection belong to it.
		x.conn.close()
		return
	}
	x.conn.keepAlive = keepAliveTime(x.response.Header.Get("Keep-Alive"))
	x.pool.Put(x.conn)
}

// maxDiscardBytes and discardTime limit the rest of a body that is read so that
// its connection can be reused. A new connection costs less than a longer wait.
const (
	maxDiscardBytes = 32 << 10
	discardTime     = 20 * time.Millisecond
)

// Discard reads the rest of a short body that nobody needs and finishes the
// exchange. It resets the connection if the rest is long or does not arrive at
// once.
func (x *Exchange) Discard() {
	// An error means that the connection is closed, which the read notices.
	_ = x.conn.socket.SetReadDeadline(x.pool.clock.Now().Add(discardTime))
	_, err := io.CopyN(io.Discard, x.response.Body, maxDiscardBytes)
	if !errors.Is(err, io.EOF) || x.conn.socket.SetReadDeadline(time.Time{}) != nil {
		x.Abort()
		return
	}
	x.Finish()
}

// Abort resets the connection.
func (x *Exchange) Abort() {
	if x.done {
		return
	}
	x.done = true
	x.stopAbort()
	x.conn.abort()
}

// keepAliveTime returns how long a connection may stay idle, from a Keep-Alive
// header of the form "timeout=5, max=100".
func keepAliveTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return defaultKeepAlive
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, keepAliveMargin/2)
	}
	return defaultKeepAlive
}
