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
)

const (
	// ErrBroken means that the connection failed after the request may have
	// reached the target.
	ErrBroken = errors.ConstError("connection to the target broke")
	// ErrResponseMismatch means that bytes arrived that are not an answer to the
	// request.
	ErrResponseMismatch = errors.ConstError("answer belongs to another request")
)

const (
	// mostStray bounds the answers of other requests that are skipped.
	mostStray = 4
	// strayBytes bounds the body of a skipped answer.
	strayBytes = 1 << 20
)

// Exchange is a request that was sent and the answer to it.
type Exchange struct {
	pool    *Pool
	conn    *Conn
	answer  *http.Response
	stop    func() bool
	written <-chan error
	done    bool
}

// Send writes the request to the connection and reads the header of the
// answer for which own returns true. Answers of earlier requests that arrive
// late are skipped. The end of ctx closes the connection, by which the target
// learns that nobody waits. After an error the connection is closed and the
// request may have run.
func (p *Pool) Send(
	ctx context.Context, c *Conn, r *http.Request, own func(*http.Response) bool,
) (*Exchange, error) {
	x := &Exchange{pool: p, conn: c}
	x.stop = context.AfterFunc(ctx, c.abort)
	written := make(chan error, 1)
	x.written = written
	if r.Body == nil || r.ContentLength == 0 {
		written <- r.Write(c.socket)
	} else {
		// A target may answer before it has read the whole body.
		go func() { written <- r.Write(c.socket) }()
	}
	answer, err := x.read(r, own)
	if err != nil {
		x.stop()
		c.abort()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, context.Cause(ctx))
		}
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	x.answer = answer
	return x, nil
}

func (x *Exchange) read(r *http.Request, own func(*http.Response) bool) (*http.Response, error) {
	for range mostStray {
		answer, err := http.ReadResponse(x.conn.reader, r)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if answer.StatusCode < http.StatusOK && answer.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if own(answer) {
			return answer, nil
		}
		n, err := io.CopyN(io.Discard, answer.Body, strayBytes)
		if err == nil || !errors.Is(err, io.EOF) || answer.Close || !isDelimited(answer) {
			return nil, fmt.Errorf("%w: %d bytes of its body", ErrResponseMismatch, n)
		}
	}
	return nil, ErrResponseMismatch
}

// isDelimited reports whether the end of the body can be told without the end
// of the connection.
func isDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}

// Response returns the answer. Its body must be read to the end or not at all.
func (x *Exchange) Response() *http.Response { return x.answer }

// Finish hands the connection back after the body was read to its end.
func (x *Exchange) Finish() {
	if x.done {
		return
	}
	x.done = true
	if !x.stop() || x.answer.Close || !isDelimited(x.answer) {
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
		// The target still reads the body of the request, so what comes next
		// on this connection belongs to it.
		x.conn.close()
		return
	}
	x.conn.keep = keepTime(x.answer.Header.Get("Keep-Alive"))
	x.pool.Put(x.conn)
}

// Abort closes the connection.
func (x *Exchange) Abort() {
	if x.done {
		return
	}
	x.done = true
	x.stop()
	x.conn.abort()
}

// keepTime returns how long a connection may idle, from a header of the form
// "timeout=5, max=100".
func keepTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return defaultKeep
		}
		return max(time.Duration(seconds)*time.Second-keepMargin, keepMargin/2)
	}
	return defaultKeep
}
