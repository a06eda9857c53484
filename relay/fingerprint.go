package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"

	"rhubarbrack/ident"
)

// fingerprint returns the digest of what makes a request the same one when its
// caller sends it again: the team, the method, the host name, the path with the
// query, and the body. Of a body that exceeds the buffer, only the buffered
// part and the announced length count.
func fingerprint(r *http.Request, team ident.Team, body []byte, longBody bool) ident.Fingerprint {
	length := int64(len(body))
	if longBody {
		length = r.ContentLength
	}
	h := sha256.New()
	for _, part := range []string{string(team), r.Method, r.Host, r.RequestURI} {
		writeLength(h, int64(len(part)))
		// A hash never returns an error.
		_, _ = io.WriteString(h, part)
	}
	writeLength(h, length)
	_, _ = h.Write(body)
	return ident.Fingerprint(h.Sum(nil))
}

// writeLength makes the boundaries between the parts of a fingerprint
// unambiguous.
func writeLength(w io.Writer, n int64) {
	_, _ = w.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
}
