package intact

import (
	"bytes"
	"fmt"

	"github.com/juju/errors"
)

// ErrMalformed means that bytes arrived that are not the header of a response.
const ErrMalformed = errors.ConstError("header of the response is malformed")

// maxLineBytes limits a line of a header.
const maxLineBytes = 64 << 10

// headerScanner checks the header of a response, and those of interim responses
// before it, as their bytes arrive. The zero value checks nothing.
type headerScanner struct {
	// isInHeader is set until the header is complete, and isComplete from then on.
	isInHeader, isComplete bool
	// hasStatus is set once the status line is complete.
	hasStatus bool
	status    statusLine
	// line is the part of the current line that has arrived.
	line []byte
	err  error
}

// begin prepares for the next response.
func (s *headerScanner) begin() { *s = headerScanner{isInHeader: true} }

// scan checks the next bytes of the connection. It ignores those behind the
// header. An error wraps ErrMalformed, and is returned again for all further bytes.
func (s *headerScanner) scan(b []byte) error {
	for s.isInHeader && s.err == nil && len(b) > 0 {
		end := bytes.IndexByte(b, '\n') + 1
		if end == 0 {
			end = len(b)
		}
		s.scanPart(b[:end])
		b = b[end:]
	}
	return s.err
}

// scanPart checks a line, or the next part of one.
func (s *headerScanner) scanPart(part []byte) {
	if len(s.line)+len(part) > maxLineBytes {
		s.err = fmt.Errorf("%w: line of more than %d bytes", ErrMalformed, maxLineBytes)
		return
	}
	line := part
	if len(s.line) > 0 {
		s.line = append(s.line, part...)
		line = s.line
	}
	text, isWhole := bytes.CutSuffix(line, []byte("\n"))
	if !isWhole {
		s.line = append(s.line[:0], line...)
		return
	}
	s.line = s.line[:0]
	s.scanLine(bytes.TrimSuffix(text, []byte("\r")))
}

// scanLine checks a line without its end.
func (s *headerScanner) scanLine(line []byte) {
	switch {
	case !s.hasStatus:
		s.status, s.err = parseStatusLine(line)
		s.hasStatus = true
	case len(line) == 0:
		// The header of another response follows that of an interim one.
		s.hasStatus = false
		s.isInHeader = s.status.isInterim()
		s.isComplete = !s.isInHeader
	default:
		s.err = s.status.checkField(line)
	}
}

// checkField returns an error that wraps ErrMalformed unless a line is a header
// field (RFC 9112, section 5). net/http accepts blanks in names, and then fails to
// see a field such as Content-Length. A line that begins with a blank continues the
// field before it, a form that is obsolete and that a proxy may reject.
//
// In HTTP/1.0 there are no chunks, and a response with a Transfer-Encoding has no
// known end (section 6.1). net/http ignores that field there.
func (s statusLine) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	// Errors, which are logged, do not name the value.
	switch {
	case !ok || !IsToken(name) || !IsFieldValue(value):
		return fmt.Errorf("%w: field %s", ErrMalformed, quote(name))
	case s.minorVersion == 0 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return fmt.Errorf("%w: field %s in HTTP/1.0", ErrMalformed, quote(name))
	}
	return nil
}
