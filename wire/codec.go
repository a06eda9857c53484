package wire

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrTooLarge means that a message exceeds the size limit. The caller receives
// the error and the connection is closed.
const ErrTooLarge = errors.ConstError("message exceeds the size limit")

// boundedReader fails after limit bytes have been read since the last reset,
// so that a peer cannot make a decoder allocate without limit.
type boundedReader struct {
	source io.Reader
	limit  int64
	read   atomic.Int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	remaining := b.limit - b.read.Load()
	if remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := b.source.Read(p[:min(int64(len(p)), remaining)])
	b.read.Add(int64(n))
	return n, err
}

// serverCodec is a gob codec for net/rpc that limits the message size and the
// calls in flight. At the limit of calls it stops reading requests.
type serverCodec struct {
	conn    net.Conn
	bounded *boundedReader
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	slots   chan struct{}
	failed  bool
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(conn net.Conn, limit int64, inFlight int) *serverCodec {
	bounded := &boundedReader{source: conn, limit: limit}
	buffer := bufio.NewWriter(conn)
	return &serverCodec{
		conn:    conn,
		bounded: bounded,
		decoder: gob.NewDecoder(bufio.NewReader(bounded)),
		encoder: gob.NewEncoder(buffer),
		buffer:  buffer,
		slots:   make(chan struct{}, inFlight),
	}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.failed {
		return ErrTooLarge
	}
	c.slots <- struct{}{}
	c.bounded.read.Store(0)
	return c.decoder.Decode(r)
}

func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.decoder.Decode(body); err != nil {
		// The rest of the stream cannot be decoded, so the connection ends
		// after the error has been sent.
		c.failed = true
		return fmt.Errorf("decode request body: %w", err)
	}
	return nil
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	for _, part := range []any{r, body} {
		if err := c.encoder.Encode(part); err != nil {
			_ = c.conn.Close()
			return fmt.Errorf("encode response: %w", err)
		}
	}
	if err := c.buffer.Flush(); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

func (c *serverCodec) Close() error {
	if err := c.conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}
