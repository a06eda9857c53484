package link

import "io"

// requestWriter writes requests to a connection. Each part of a body is sent as
// it comes, in pieces of up to 32 KiB, and not in those of the small buffer in
// which net/http collects a header.
type requestWriter struct{ io.Writer }

var _ io.ReaderFrom = requestWriter{}

// ReadFrom implements io.ReaderFrom.
func (w requestWriter) ReadFrom(r io.Reader) (int64, error) {
	// The embedded interface hides this method from io.Copy.
	return io.Copy(struct{ io.Writer }{w.Writer}, r)
}
