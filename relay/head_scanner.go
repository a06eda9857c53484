package relay

import (
	"bytes"
)

// maxScannedHead is the size of the longest request header that a headScanner
// follows, in bytes.
const maxScannedHead = 16 << 10

// headScanner splits the bytes of a connection into requests without a body.
// It gives up for good at the first request that has a body, changes the
// connection, or is not written in the strict form of RFC 9112: what follows
// could be understood in two ways.
type headScanner struct {
	partial []byte
	gaveUp  bool
}

// feed returns the headers that end in the next bytes of the connection. They
// do not refer to chunk.
func (s *headScanner) feed(chunk []byte) [][]byte {
	if s.gaveUp {
		return nil
	}
	s.partial = append(s.partial, chunk...)
	var heads [][]byte
	for {
		i := bytes.Index(s.partial, []byte("\r\n\r\n"))
		if i < 0 {
			break
		}
		head := s.partial[:i+4]
		if !isPlainHead(head) {
			s.giveUp()
			return heads
		}
		heads = append(heads, bytes.Clone(head))
		s.partial = s.partial[i+4:]
	}
	if len(s.partial) > maxScannedHead {
		s.giveUp()
	}
	if len(s.partial) == 0 {
		s.partial = nil
	}
	return heads
}

func (s *headScanner) giveUp() { s.gaveUp, s.partial = true, nil }

// hasPartial reports whether a part of a header has arrived.
func (s *headScanner) hasPartial() bool { return len(s.partial) > 0 }

// delimitingFields are the header fields that give a request a body or change
// what follows on the connection.
var delimitingFields = [][]byte{
	[]byte("content-length"), []byte("transfer-encoding"), []byte("connection"), []byte("expect"), []byte("upgrade"),
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
		if !ok || !isToken(name) || !isPrintable(line) {
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

// isPrintable reports whether a line has only printable ASCII characters.
func isPrintable(line []byte) bool {
	for _, c := range line {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// isToken reports whether a field name is a token of RFC 9110.
func isToken(name []byte) bool {
	for _, c := range name {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !isLetter && !bytes.ContainsRune([]byte("!#$%&'*+-.^_`|~"), rune(c)) {
			return false
		}
	}
	return len(name) > 0
}
