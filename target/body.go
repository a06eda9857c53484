package target

import (
	"io"
	"sync/atomic"
)

// sourceBody hands a request body to the transport and keeps the error of its
// source. It has no rewind, so the transport cannot send it twice.
type sourceBody struct {
	source io.Reader
	fault  atomic.Pointer[error]
	closed atomic.Bool
	eof    atomic.Bool
	bytes  atomic.Int64
}

var _ io.ReadCloser = (*sourceBody)(nil)

// Read implements io.Reader.
func (b *sourceBody) Read(p []byte) (int, error) {
	if b.source == nil {
		return 0, io.EOF
	}
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	n, err := b.source.Read(p)
	b.bytes.Add(int64(n))
	if err == io.EOF {
		b.eof.Store(true)
	} else if err != nil {
		b.fault.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *sourceBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if c, ok := b.source.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// short reports whether the source ended before length bytes.
func (b *sourceBody) short(length int64) bool {
	return length > 0 && b.eof.Load() && b.bytes.Load() < length
}

// err returns the error with which the source ended early, or nil.
func (b *sourceBody) err() error {
	if e := b.fault.Load(); e != nil {
		return *e
	}
	return nil
}
