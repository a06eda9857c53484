package target

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// sourceBody hands a request body to the transport and keeps the error of its
// source. It has no rewind, so the transport cannot send it twice. Until the
// first Read, Close leaves the source alone: a request of which nothing was
// sent can then go to another target.
type sourceBody struct {
	source io.Reader
	// spent is shared with the Request.
	spent *atomic.Bool
	fault atomic.Pointer[error]
	eof   atomic.Bool
	bytes atomic.Int64

	mutex  sync.Mutex
	closed bool
	used   bool
}

var (
	_ io.ReadCloser = (*sourceBody)(nil)
	_ io.WriterTo   = (*sourceBody)(nil)
)

// Read implements io.Reader.
func (b *sourceBody) Read(p []byte) (int, error) {
	if b.source == nil {
		return 0, io.EOF
	}
	if !b.use() {
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

// bodyBuffers holds the buffers of WriteTo.
var bodyBuffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// WriteTo implements io.WriterTo. Without it, the transport allocates a buffer
// of 32 KiB for each request, also for one without a body.
func (b *sourceBody) WriteTo(w io.Writer) (int64, error) {
	if b.source == nil {
		return 0, nil
	}
	buffer := bodyBuffers.Get().(*[bufferBytes]byte)
	defer bodyBuffers.Put(buffer)
	var total int64
	for {
		n, err := b.Read(buffer[:])
		if n > 0 {
			written, fault := w.Write(buffer[:n])
			total += int64(written)
			if fault != nil {
				return total, fault
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return total, nil
		case err != nil:
			return total, err
		}
	}
}

// use reports whether the source may be read, and marks it as spent.
func (b *sourceBody) use() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed {
		return false
	}
	b.used = true
	b.spent.Store(true)
	return true
}

// Close implements io.Closer. It ends a Read that still waits.
func (b *sourceBody) Close() error {
	b.mutex.Lock()
	again, used := b.closed, b.used
	b.closed = true
	b.mutex.Unlock()
	if c, ok := b.source.(io.Closer); ok && used && !again {
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
