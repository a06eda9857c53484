package target

import (
	"fmt"
	"io"
	"net/http"
)

// copyBody copies the body to w through a pooled buffer and checks its
// announced length.
func (x *exchange) copyBody(r *http.Response, w io.Writer) error {
	buffer := x.client.buffers.Get().(*[bufferBytes]byte)
	defer x.client.buffers.Put(buffer)
	for {
		n, err := r.Body.Read(buffer[:])
		if n > 0 {
			if forwardErr := x.forward(buffer[:n], w); forwardErr != nil {
				return forwardErr
			}
		}
		if err == io.EOF {
			return x.checkLength(r)
		}
		if err != nil {
			return x.bodyReadError(err)
		}
	}
}

func (x *exchange) forward(p []byte, w io.Writer) error {
	n, err := w.Write(p)
	x.result.bytes += int64(n)
	if err == nil && n < len(p) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return fmt.Errorf("target %s: response body: %w: %w", x.address, ErrConsumer, err)
	}
	return nil
}

// bodyReadError wraps the error of a response body that ended early.
func (x *exchange) bodyReadError(err error) error {
	if cause := x.contextCause(); cause != nil {
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
