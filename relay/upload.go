package relay

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// upload is the rest of a long request body that a target is sent. A goroutine of
// package link reads it, and may do so for longer than the request is handled.
type upload struct {
	reader io.Reader
	// left is the number of bytes that have not been read, or negative if it is not
	// known. It belongs to the goroutine that reads.
	left   int64
	isRead atomic.Bool
}

// newUpload returns the part of a request's body behind the bytes that were read.
func newUpload(r *http.Request, read int) *upload {
	u := &upload{reader: r.Body, left: -1}
	if r.ContentLength >= 0 {
		u.left = r.ContentLength - int64(read)
	}
	return u
}

// Read implements io.Reader. It does not wrap errors, since readers compare them
// with io.EOF.
func (u *upload) Read(b []byte) (int, error) {
	n, err := u.reader.Read(b)
	if u.left >= 0 {
		u.left -= int64(n)
	}
	if u.left == 0 || errors.Is(err, io.EOF) {
		u.isRead.Store(true)
	}
	return n, err
}

// isUploading reports whether a part of a long request body has not been read.
func (rh *requestHandler) isUploading() bool { return rh.upload != nil && !rh.upload.isRead.Load() }

// beginAnswer prepares an answer that begins while an upload is read. Without it,
// net/http reads the rest of the upload before it sends the header of the answer, and
// the target, which may read on, does not get that part. The connection is closed
// behind the answer, since the rest of the upload may be unread then.
func (rh *requestHandler) beginAnswer() {
	if !rh.isUploading() {
		return
	}
	// An error means that the writer does not belong to a server's connection.
	_ = http.NewResponseController(rh.writer).EnableFullDuplex()
	rh.writer.Header().Set("Connection", "close")
}

// endUpload ends the read of an upload behind its answer. The rest may still arrive
// for a while, since unread bytes make the close a reset, which can overtake the
// answer. Without a limit, the server would wait for what the caller may never send.
func (rh *requestHandler) endUpload() {
	if rh.isUploading() {
		// An error means that the writer does not belong to a server's connection.
		_ = http.NewResponseController(rh.writer).SetReadDeadline(rh.handler.clock.Now().Add(closeGrace))
	}
}
