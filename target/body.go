package target

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// requestBody passes a request body to the transport and keeps the error of
// its source. It cannot be rewound, so the transport cannot send it twice.
// Until the first Read, Close does not close the source: a request of which
// nothing was sent can then be sent to another target.
type requestBody struct {
	source io.Reader
	// consumed is shared with the Request.
	consumed *atomic.Bool
	readErr  atomic.Pointer[error]
	eof      atomic.Bool
	bytes    atomic.Int64

	mutex  sync.Mutex
	closed bool
	used   bool
}

var (
	_ io.ReadCloser = (*requestBody)(nil)
	_ io.WriterTo   = (*requestBody)(nil)
)

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.source == nil {
		return 0, io.EOF
	}
	if !b.startRead() {
		return 0, io.ErrClosedPipe
	}
	n, err := b.source.Read(p)
	b.bytes.Add(int64(n))
	if err == io.EOF {
		b.eof.Store(true)
	} else if err != nil {
		b.readErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// bodyBuffers contains the buffers of WriteTo.
var bodyBuffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// WriteTo implements io.WriterTo. Without it, the transport allocates a buffer
// of 32 KiB for each request, even for one without a body.
func (b *requestBody) WriteTo(w io.Writer) (int64, error) {
	if b.source == nil {
		return 0, nil
	}
	buffer := bodyBuffers.Get().(*[bufferBytes]byte)
	defer bodyBuffers.Put(buffer)
	var total int64
	for {
		n, err := b.Read(buffer[:])
		if n > 0 {
			written, writeErr := w.Write(buffer[:n])
			total += int64(written)
			if writeErr != nil {
				return total, writeErr
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

// startRead reports whether the source may be read, and marks it as consumed.
func (b *requestBody) startRead() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed {
		return false
	}
	b.used = true
	b.consumed.Store(true)
	return true
}

// isUsed reports whether the source has been read from.
func (b *requestBody) isUsed() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}

// Close implements io.Closer. It ends a Read that is still blocked.
func (b *requestBody) Close() error {
	b.mutex.Lock()
	alreadyClosed, used := b.closed, b.used
	b.closed = true
	b.mutex.Unlock()
	if c, ok := b.source.(io.Closer); ok && used && !alreadyClosed {
		return c.Close()
	}
	return nil
}

// endedEarly reports whether the source ended before length bytes.
func (b *requestBody) endedEarly(length int64) bool {
	return length > 0 && b.eof.Load() && b.bytes.Load() < length
}

// err returns the read error of the source, or nil.
func (b *requestBody) err() error {
	if e := b.readErr.Load(); e != nil {
		return *e
	}
	return nil
}
