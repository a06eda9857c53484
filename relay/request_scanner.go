package relay

import (
	"bytes"

	"rhubarbrack/intact"
)

// maxScannedHead is the size of the longest request header that a
// requestScanner follows, in bytes.
const maxScannedHead = 16 << 10

// scannedHead is the header of a request.
type scannedHead struct {
	text []byte
	// isPlain is set if the request and all before it have no body and change
	// nothing about the connection.
	isPlain bool
}

// requestScanner splits the bytes of a connection into requests. It follows
// only the strict form of RFC 9112, and loses track for good at anything else:
// what follows could be understood in two ways.
type requestScanner struct {
	partial []byte
	body    bodyScanner
	// heads counts the headers that have arrived, and whole the requests.
	heads uint64
	whole uint64
	// gaveUp is set with the first request that is not plain.
	gaveUp bool
	// isLost is set if it is not known where the next request begins.
	isLost bool
	// isEnded is set if the last request is the last one of the connection.
	isEnded bool
}

// feed returns the headers that end in the next bytes of the connection. They
// do not refer to chunk.
func (s *requestScanner) feed(chunk []byte) []scannedHead {
	var heads []scannedHead
	for len(chunk) > 0 && !s.isLost && !s.isEnded {
		if !s.body.isComplete() {
			chunk = s.feedBody(chunk)
			continue
		}
		head, rest := s.takeHead(chunk)
		if head == nil {
			break
		}
		chunk = rest
		if !s.beginRequest(head) {
			break
		}
		heads = append(heads, scannedHead{text: head, isPlain: !s.gaveUp})
	}
	return heads
}

// takeHead returns the next header and the bytes behind it, or nil if the
// header is incomplete.
func (s *requestScanner) takeHead(chunk []byte) ([]byte, []byte) {
	end := []byte("\r\n\r\n")
	before := len(s.partial)
	s.partial = append(s.partial, chunk...)
	i := bytes.Index(s.partial[max(0, before-len(end)+1):], end)
	if i < 0 {
		// net/http also takes a line feed alone for the end of a line.
		if len(s.partial) > maxScannedHead || hasBareLineFeed(s.partial[max(0, before-1):]) {
			s.lose()
		}
		return nil, nil
	}
	size := max(0, before-len(end)+1) + i + len(end)
	head := s.partial[:size:size]
	s.partial = nil
	return head, chunk[size-before:]
}

// hasBareLineFeed reports whether a line feed behind the first byte has no
// carriage return before it.
func hasBareLineFeed(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if b[i] == '\n' && b[i-1] != '\r' {
			return true
		}
	}
	return false
}

// beginRequest records a header. It returns false if the scanner cannot follow
// it.
func (s *requestScanner) beginRequest(head []byte) bool {
	f, ok := parseFraming(head)
	if !ok {
		s.lose()
		return false
	}
	s.gaveUp = s.gaveUp || !isPlainHead(head)
	s.heads++
	s.isEnded = f.isLast
	s.body = newBodyScanner(f)
	if s.body.isComplete() {
		s.whole++
	}
	return true
}

// feedBody passes bytes to the body and returns the ones behind it.
func (s *requestScanner) feedBody(chunk []byte) []byte {
	rest, ok := s.body.feed(chunk)
	switch {
	case !ok:
		s.lose()
	case s.body.isComplete():
		s.whole++
	}
	return rest
}

// lose records that it is not known where the next request begins.
func (s *requestScanner) lose() { s.gaveUp, s.isLost, s.partial = true, true, nil }

// giveUp makes all further requests count as not plain.
func (s *requestScanner) giveUp() { s.gaveUp = true }

// hasPartial reports whether a part of a request has arrived. Line ends in front of
// a header are none: net/http skips them behind a body of a POST request.
func (s *requestScanner) hasPartial() bool {
	return len(bytes.Trim(s.partial, "\r\n")) > 0 || s.heads > s.whole
}

// isAlmostWhole reports whether one byte of the last request is missing, if that
// is one behind the first number ones.
func (s *requestScanner) isAlmostWhole(number uint64) bool {
	if s.heads > number && !s.body.isComplete() {
		return s.body.isAlmostComplete()
	}
	return bytes.HasSuffix(s.partial, []byte("\r\n\r"))
}

// isPlainHead reports whether a header belongs to a GET request of HTTP/1.1
// without a body, in strict form and with one Host field.
func isPlainHead(head []byte) bool {
	first, fields, _ := bytes.Cut(head, []byte("\r\n"))
	if !bytes.HasPrefix(first, []byte("GET /")) || !bytes.HasSuffix(first, []byte(" HTTP/1.1")) || !isPrintable(first) {
		return false
	}
	hosts := 0
	for line := range bytes.SplitSeq(bytes.TrimSuffix(fields, []byte("\r\n\r\n")), []byte("\r\n")) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !intact.IsToken(name) || !isPrintable(line) {
			return false
		}
		for _, f := range delimitingFields {
			if bytes.EqualFold(name, f) {
				return false
			}
		}
		if bytes.EqualFold(name, []byte("host")) {
			hosts++
		}
	}
	return hosts == 1
}

// delimitingFields are the header fields that give a request a body or change
// what follows on the connection.
var delimitingFields = [][]byte{
	[]byte("content-length"), []byte("transfer-encoding"), []byte("connection"), []byte("expect"), []byte("upgrade"),
}

// isPrintable reports whether a line has only printable ASCII characters.
func isPrintable(line []byte) bool {
	for _, c := range line {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}
