package stand

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"rhubarbrack/tasks"
)

// pathDownloads is the prefix of the paths of downloads: /files/SIZE/NAME. All
// Targets serve the same content under the same path, with a strong entity tag.
const pathDownloads = "/files/"

// contentReader generates the bytes of a download from its name.
type contentReader struct {
	seed   uint64
	size   int64
	offset int64
}

var _ io.ReadSeeker = (*contentReader)(nil)

func newContentReader(name string, size int64) *contentReader {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return &contentReader{seed: h.Sum64(), size: size}
}

// Read implements io.Reader.
func (c *contentReader) Read(p []byte) (int, error) {
	if c.offset >= c.size {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), c.size-c.offset))
	for i := range n {
		position := uint64(c.offset) + uint64(i)
		p[i] = byte((position ^ position>>8 ^ position>>16) + c.seed>>(8*(position&7)))
	}
	c.offset += int64(n)
	return n, nil
}

// Seek implements io.Seeker.
func (c *contentReader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += c.offset
	case io.SeekEnd:
		offset += c.size
	}
	if offset < 0 {
		return 0, fmt.Errorf("seek to %d: position is negative", offset)
	}
	c.offset = offset
	return offset, nil
}

// Content returns the bytes that Targets serve under /files/SIZE/NAME.
func Content(name string, size int64) io.ReadSeeker { return newContentReader(name, size) }

// errInterrupted is the write error of a download that is interrupted on
// purpose.
var errInterrupted = errors.New("download is interrupted")

// interruptingWriter writes a number of body bytes and then fails.
type interruptingWriter struct {
	http.ResponseWriter
	remaining   int64
	interrupted bool
}

// Write implements io.Writer.
func (w *interruptingWriter) Write(p []byte) (int, error) {
	if int64(len(p)) <= w.remaining {
		w.remaining -= int64(len(p))
		return w.ResponseWriter.Write(p)
	}
	n, _ := w.ResponseWriter.Write(p[:w.remaining])
	w.remaining, w.interrupted = 0, true
	return n, errInterrupted
}

// serveDownload serves generated content and supports Range and If-Range.
func (t *Target) serveDownload(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.PathValue("size"), 10, 64)
	if err != nil || size < 0 {
		http.NotFound(w, r)
		return
	}
	t.runInSlot(w, r, func(admission) { t.serveFile(w, r, size) })
}

func (t *Target) serveFile(w http.ResponseWriter, r *http.Request, size int64) {
	name := r.PathValue("name")
	c := newContentReader(name, size)
	w.Header().Set("ETag", fmt.Sprintf(`"%016x-%d"`, c.seed, size))
	w.Header().Set("Content-Type", "application/octet-stream")
	after, err := tasks.Ask(r.Context(), t.task, func(reply tasks.Reply[int64]) any { return interruptionRequest{reply: reply} })
	if err != nil || after < 0 {
		http.ServeContent(w, r, "", time.Time{}, c)
		return
	}
	writer := &interruptingWriter{ResponseWriter: w, remaining: after}
	http.ServeContent(writer, r, "", time.Time{}, c)
	if writer.interrupted {
		_ = http.NewResponseController(w).Flush()
		// With this panic, the server closes the connection.
		panic(http.ErrAbortHandler)
	}
}
