package relay

import (
	"bytes"
	"math"
	"net/url"
	"strconv"

	"rhubarbrack/intact"
)

// framing tells where a request ends.
type framing struct {
	length    int64
	isChunked bool
	// isLast is set if the server reads no request behind this one.
	isLast bool
	// hosts, bodies and expectations count the header fields of which at most one
	// is allowed.
	hosts, bodies, expectations int
}

// parseFraming returns the framing of a request with the given header. It
// returns false if the header is not in the strict form of RFC 9112, or one
// that the server may refuse.
func parseFraming(head []byte) (framing, bool) {
	first, fields, _ := bytes.Cut(head, []byte("\r\n"))
	if !isRequestLine(first) {
		return framing{}, false
	}
	var f framing
	for line := range bytes.SplitSeq(bytes.TrimSuffix(fields, []byte("\r\n\r\n")), []byte("\r\n")) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !intact.IsToken(name) || !intact.IsFieldValue(value) || !f.apply(name, bytes.Trim(value, " \t")) {
			return framing{}, false
		}
	}
	return f, f.hosts == 1 && f.bodies <= 1 && f.expectations <= 1
}

// apply adds what a header field tells. It returns false if that is not clear.
func (f *framing) apply(name, value []byte) bool {
	switch {
	case isField(name, "host"):
		f.hosts++
	case isField(name, "content-length"):
		f.bodies++
		length, err := strconv.ParseUint(string(value), 10, 62)
		f.length = int64(length)
		return err == nil
	case isField(name, "transfer-encoding"):
		f.bodies++
		f.isChunked = true
		return isField(value, "chunked")
	case isField(name, "connection"):
		for option := range bytes.SplitSeq(value, []byte(",")) {
			f.isLast = f.isLast || isField(bytes.Trim(option, " \t"), "close")
		}
	case isField(name, "expect"):
		f.expectations++
		return isField(value, "100-continue")
	}
	return true
}

// isField reports whether a field name or an option is the given one.
func isField(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// isRequestLine reports whether a line begins a request of HTTP/1.1 for a path.
func isRequestLine(line []byte) bool {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, ok := bytes.CutSuffix(rest, []byte(" HTTP/1.1"))
	if !ok || !intact.IsToken(method) || !bytes.HasPrefix(target, []byte("/")) || bytes.Contains(target, []byte(" ")) {
		return false
	}
	_, err := url.ParseRequestURI(string(target))
	return err == nil && isPrintable(target)
}

// bodyScanner finds the end of a request's body. The zero value is the one of
// an empty body.
type bodyScanner struct {
	// left is the number of bytes of the body, or of its current chunk with the
	// line end, that have not arrived.
	left int64
	// isChunked is set until the last chunk of a chunked body is complete.
	isChunked bool
	// isLastChunk is set once the size of the last chunk has arrived.
	isLastChunk bool
	// line is the part of the next size line that has arrived.
	line []byte
}

// maxChunkLine is the longest size line of a chunk that is followed: 15 digits
// and the line end.
const maxChunkLine = 17

func newBodyScanner(f framing) bodyScanner {
	return bodyScanner{left: f.length, isChunked: f.isChunked}
}

func (b *bodyScanner) isComplete() bool { return b.left == 0 && !b.isChunked }

// dueBytes returns a number of bytes that belong to the body, or 1 if it is
// complete.
func (b *bodyScanner) dueBytes() int {
	return int(min(max(b.left, 1), math.MaxInt32))
}

// isAlmostComplete reports whether one byte of the body is missing.
func (b *bodyScanner) isAlmostComplete() bool {
	if b.isChunked {
		return b.isLastChunk && len(b.line) > 0
	}
	return b.left == 1
}

// feed passes the next bytes and returns those behind the body. It returns
// false if the body is not in strict form.
func (b *bodyScanner) feed(chunk []byte) ([]byte, bool) {
	for len(chunk) > 0 && !b.isComplete() {
		if b.left > 0 {
			n := min(b.left, int64(len(chunk)))
			b.left -= n
			chunk = chunk[n:]
			continue
		}
		b.line = append(b.line, chunk[0])
		chunk = chunk[1:]
		if !b.applyLine() {
			return nil, false
		}
	}
	return chunk, true
}

// applyLine applies a size line, or the line behind the last chunk, if it is
// complete. Chunk extensions and trailers are not followed.
func (b *bodyScanner) applyLine() bool {
	digits, isLine := bytes.CutSuffix(b.line, []byte("\r\n"))
	if !isLine {
		return len(b.line) < maxChunkLine
	}
	b.line = nil
	if b.isLastChunk {
		b.isChunked = false
		return len(digits) == 0
	}
	size, err := strconv.ParseUint(string(digits), 16, 60)
	b.isLastChunk = size == 0
	if size > 0 {
		b.left = int64(size) + int64(len("\r\n"))
	}
	return err == nil
}
