package target

import (
	"fmt"
	"io"
	"net/http"
)

// copyBody passes the body to w through one pooled buffer and counts it
// against the announced length.
func (x *exchange) copyBody(r *http.Response, w io.Writer) error {
	buffer := x.client.buffers.Get().(*[bufferBytes]byte)
	defer x.client.buffers.Put(buffer)
	for {
		n, err := r.Body.Read(buffer[:])
		if n > 0 {
			if fault := x.pass(buffer[:n], w); fault != nil {
				return fault
			}
		}
		if err == io.EOF {
			return x.checkLength(r)
		}
		if err != nil {
			return x.lost(err)
		}
	}
}

func (x *exchange) pass(p []byte, w io.Writer) error {
	n, err := w.Write(p)
	x.result.bytes += int64(n)
	if err == nil && n < len(p) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return fmt.Errorf("target %s: body of answer: %w: %w", x.address, ErrConsumer, err)
	}
	return nil
}

// lost wraps the error of a body that broke off.
func (x *exchange) lost(err error) error {
	if cause := x.ended(); cause != nil {
		return fmt.Errorf("target %s: %w after %d bytes: %w", x.address, ErrIncomplete, x.result.bytes, cause)
	}
	return fmt.Errorf("target %s: %w after %d bytes: %w", x.address, ErrIncomplete, x.result.bytes, err)
}

// checkLength guards against a body that ends without an error before its
// announced length.
func (x *exchange) checkLength(r *http.Response) error {
	bodiless := x.request.Method == http.MethodHead || r.StatusCode == http.StatusNotModified
	if bodiless || r.ContentLength < 0 || r.ContentLength == x.result.bytes {
		return nil
	}
	return fmt.Errorf("target %s: %w: %d of %d bytes", x.address, ErrIncomplete, x.result.bytes, r.ContentLength)
}
