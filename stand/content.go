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

// pathFiles starts the paths of downloads: /files/SIZE/NAME. Every Target
// holds the same content under the same path, with a strong entity tag.
const pathFiles = "/files/"

// content generates the bytes of a download from its name.
type content struct {
	seed uint64
	size int64
	at   int64
}

var _ io.ReadSeeker = (*content)(nil)

func newContent(name string, size int64) *content {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return &content{seed: h.Sum64(), size: size}
}

// Read implements io.Reader.
func (c *content) Read(p []byte) (int, error) {
	if c.at >= c.size {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), c.size-c.at))
	for i := range n {
		position := uint64(c.at) + uint64(i)
		p[i] = byte((position ^ position>>8 ^ position>>16) + c.seed>>(8*(position&7)))
	}
	c.at += int64(n)
	return n, nil
}

// Seek implements io.Seeker.
func (c *content) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += c.at
	case io.SeekEnd:
		offset += c.size
	}
	if offset < 0 {
		return 0, fmt.Errorf("seek to %d: position is negative", offset)
	}
	c.at = offset
	return offset, nil
}

// Content returns the bytes that Targets serve under /files/SIZE/NAME.
func Content(name string, size int64) io.ReadSeeker { return newContent(name, size) }

// errCut ends a download that is to break off.
var errCut = errors.New("download is cut")

// cutWriter lets a number of body bytes pass and then fails.
type cutWriter struct {
	http.ResponseWriter
	left int64
	cut  bool
}

// Write implements io.Writer.
func (w *cutWriter) Write(p []byte) (int, error) {
	if int64(len(p)) <= w.left {
		w.left -= int64(len(p))
		return w.ResponseWriter.Write(p)
	}
	n, _ := w.ResponseWriter.Write(p[:w.left])
	w.left, w.cut = 0, true
	return n, errCut
}

// download answers with content that supports Range and If-Range.
func (t *Target) download(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.PathValue("size"), 10, 64)
	if err != nil || size < 0 {
		http.NotFound(w, r)
		return
	}
	t.occupy(w, r, func(admission) { t.serveFile(w, r, size) })
}

func (t *Target) serveFile(w http.ResponseWriter, r *http.Request, size int64) {
	name := r.PathValue("name")
	c := newContent(name, size)
	w.Header().Set("ETag", fmt.Sprintf(`"%016x-%d"`, c.seed, size))
	w.Header().Set("Content-Type", "application/octet-stream")
	at, err := tasks.Ask(r.Context(), t.desk, func(reply tasks.Reply[int64]) any { return askCut{reply: reply} })
	if err != nil || at < 0 {
		http.ServeContent(w, r, "", time.Time{}, c)
		return
	}
	cut := &cutWriter{ResponseWriter: w, left: at}
	http.ServeContent(cut, r, "", time.Time{}, c)
	if cut.cut {
		_ = http.NewResponseController(w).Flush()
		// The server closes the connection of a handler that panics so.
		panic(http.ErrAbortHandler)
	}
}
