package relay

import (
	"net/http"

	"rhubarbrack/intact"
)

// guardEnd makes the caller's connection end with a reset until the response is
// complete, if nothing but the end of the connection tells that: in HTTP/1.0, there
// is no end of a response whose length is unknown. The returned function records
// that the response is complete.
func (rh *requestHandler) guardEnd(length int64) (complete func()) {
	conn, ok := rh.incoming.Context().Value(connKey{}).(*callerConn)
	if !ok || length >= 0 || rh.incoming.ProtoAtLeast(1, 1) {
		return func() {}
	}
	// An error means that the connection is closed already.
	_ = intact.ResetOnClose(conn, true)
	return func() {
		// The server still holds the last bytes.
		if http.NewResponseController(rh.writer).Flush() == nil {
			_ = intact.ResetOnClose(conn, false)
		}
	}
}
