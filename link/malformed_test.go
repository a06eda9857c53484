package link

import (
	"errors"
	"strings"
	"testing"

	"rhubarbrack/intact"
)

// TestMalformedHeader guards against bytes that are taken for a response though
// their header is not one, and against waiting for the response behind them.
func TestMalformedHeader(t *testing.T) {
	const fields = "\r\nId: 7\r\nContent-Length: 2\r\n\r\nok"
	const noBody = "HTTP/1.1 000\r\nId: 7\r\nContent-Length: 0\r\n\r\n"
	cases := []struct{ name, text string }{
		{"status 000", "HTTP/1.1 000 OK" + fields},
		{"status 000 before a response", "HTTP/1.1 000 OK" + fields + response("7", "ok")},
		{"status 000 without a body", noBody},
		{"status 000 without a body before a response", noBody + response("7", "ok")},
		{"status 000 behind an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK" + fields},
		{"status 000 behind a late response", response("0", "old") + "HTTP/1.1 000 OK" + fields},
		{"status 042", "HTTP/1.1 042 OK" + fields},
		{"signed status", "HTTP/1.1 +20 OK" + fields},
		{"status 600", "HTTP/1.1 600 OK" + fields},
		{"status 999", "HTTP/1.1 999 OK" + fields},
		{"two blanks before the status", "HTTP/1.1  200 OK" + fields},
		{"other version", "HTTP/3.7 200 OK" + fields},
		{"blank before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 1" + fields},
		{"blank in a name", "HTTP/1.1 200 OK\r\nFoo Bar: x" + fields},
		{"blank before a name", "HTTP/1.1 200 OK\r\nFoo: x\r\n Bar: y" + fields},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nFoo\x01: x" + fields},
		{"blank in a name behind a late response", response("0", "old") + "HTTP/1.1 200 OK\r\nFoo Bar: x" + fields},
		{"blank in a name of a late response", strings.Replace(response("0", "old"), "Id", "Foo Bar: x\r\nId", 1) + response("7", "ok")},
		{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nFoo Bar: x\r\n\r\n" + response("7", "ok")},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n!"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTarget(t, serve(func(string) string { return c.text }))
			if body, _, err := send(t, newPool(t), s.address(), "7"); !errors.Is(err, intact.ErrMalformed) {
				t.Errorf("body %q, error %v, want %v", body, err, intact.ErrMalformed)
			}
		})
	}
}
