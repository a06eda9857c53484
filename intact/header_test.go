package intact

import (
	"errors"
	"strings"
	"testing"
)

// headers are headers of responses. Behind each of them follow bytes of a body.
var headers = []struct {
	name, text string
	malformed  bool
}{
	{"plain", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", false},
	{"HTTP/1.0", "HTTP/1.0 404 Not Found\r\n\r\n", false},
	{"bare line feeds", "HTTP/1.1 200 OK\nA: b\n\n", false},
	{"no reason", "HTTP/1.1 200 \r\n\r\n", false},
	{"no blank behind the status", "HTTP/1.1 599\r\n\r\n", false},
	{"interim response before", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false},
	{"other protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
	{"all characters of a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n\r\n", false},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	{"no value", "HTTP/1.1 200 OK\r\nA:\r\n\r\n", false},
	{"blanks around a value", "HTTP/1.1 200 OK\r\nA: \t b: c\t \r\n\r\n", false},
	{"not ASCII", "HTTP/1.1 200 S\xfc\xdf\r\nA: \xe4\r\n\r\n", false},

	{"status 000", "HTTP/1.1 000 OK\r\n\r\n", true},
	{"status 099", "HTTP/1.1 099 OK\r\n\r\n", true},
	{"status 600", "HTTP/1.1 600 OK\r\n\r\n", true},
	{"status with a sign", "HTTP/1.1 +20 OK\r\n\r\n", true},
	{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", true},
	{"status of four digits", "HTTP/1.1 0200 OK\r\n\r\n", true},
	{"no status", "HTTP/1.1 \r\n\r\n", true},
	{"two blanks", "HTTP/1.1  200 OK\r\n\r\n", true},
	{"version 2", "HTTP/2.0 200 OK\r\n\r\n", true},
	{"long version", "HTTP/1.10 200 OK\r\n\r\n", true},
	{"other protocol name", "HTTQ/1.1 200 OK\r\n\r\n", true},
	{"empty line", "\r\nHTTP/1.1 200 OK\r\n\r\n", true},
	{"line without end", "HTTP/1.1 200 " + strings.Repeat("O", maxLineBytes), true},
	{"control byte in a reason", "HTTP/1.1 200 O\x00K\r\n\r\n", true},
	{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", true},
	{"blank in a name", "HTTP/1.1 200 OK\r\nFoo Bar: x\r\n\r\n", true},
	{"blank before a name", "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\n", true},
	{"blank before the first name", "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", true},
	{"tab before a name", "HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n", true},
	{"tab in a name", "HTTP/1.1 200 OK\r\nA\t: b\r\n\r\n", true},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\n", true},
	{"null byte in a name", "HTTP/1.1 200 OK\r\n\x00: b\r\n\r\n", true},
	{"delete in a name", "HTTP/1.1 200 OK\r\nA\x7f: b\r\n\r\n", true},
	{"name that is not ASCII", "HTTP/1.1 200 OK\r\n\xe4: b\r\n\r\n", true},
	{"separator in a name", "HTTP/1.1 200 OK\r\n(A): b\r\n\r\n", true},
	{"no name", "HTTP/1.1 200 OK\r\n: b\r\n\r\n", true},
	{"no colon", "HTTP/1.1 200 OK\r\nA\r\n\r\n", true},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nA: b\x01\r\n\r\n", true},
	{"carriage return in a value", "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", true},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", true},
	{"malformed field of an interim response", "HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
	{"malformed behind an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n\r\n", true},
}

// TestHeaderScanner guards against malformed headers that are accepted, or sound
// ones that are not, depending on how their bytes arrive.
func TestHeaderScanner(t *testing.T) {
	for _, c := range headers {
		t.Run(c.name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, 7, len(c.text)} {
				var s headerScanner
				s.begin()
				var err error
				for rest := c.text; len(rest) > 0; {
					n := min(size, len(rest))
					err = s.scan([]byte(rest[:n]))
					rest = rest[n:]
				}
				if errors.Is(err, ErrMalformed) != c.malformed || s.isInHeader != c.malformed {
					t.Errorf("pieces of %d bytes: error %v, in header %v", size, err, s.isInHeader)
				}
				if err := s.scan([]byte("HTTP/1.1 000 body\r\n\r\n")); errors.Is(err, ErrMalformed) != c.malformed {
					t.Errorf("pieces of %d bytes: error %v for the body", size, err)
				}
			}
		})
	}
}
