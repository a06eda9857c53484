package target

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"

	"rhubarbrack/intact"
)

// attemptIDs generates the IDs of the dispatches of one client. The random
// prefix distinguishes them from those of other clients whose requests a proxy
// sends over the same connection.
type attemptIDs struct {
	prefix string
	last   *atomic.Uint64
}

func newAttemptIDs() attemptIDs {
	return attemptIDs{prefix: strconv.FormatUint(rand.Uint64(), 16), last: new(atomic.Uint64)}
}

func (a attemptIDs) next() string { return a.at(a.last.Add(1)) }

func (a attemptIDs) at(number uint64) string {
	return a.prefix + "-" + strconv.FormatUint(number, 16)
}

// pair returns an error when the response does not belong to this attempt, and
// decides whether the connection may carry another request. It runs before
// anything of the response counts. The caller holds the mutex.
//
// A target may write a response again, late, where the next one is due. The ID
// of the attempt distinguishes such copies; once a target has repeated it on a
// connection, every response must bear it. The responses of targets that do not
// repeat it are paired with requests by their order, so a connection carries no
// request after a refusal: its copy could state that the next request did not
// run. The beginning of a copy may join the header of the response that is due, so
// a target whose headers contain status lines gets a connection for each request.
// A header that had arrived before the request was sent answers another one,
// and was not checked.
func (x *exchange) pair(r *http.Response) error {
	if x.conn != nil && !x.conn.HasHeader() {
		x.retireConn()
		return fmt.Errorf("target %s: %w: status %d arrived before the request was sent", x.address, ErrUnpaired, r.StatusCode)
	}
	if intact.IsJoined(r) {
		x.retireConn()
		if x.reused {
			return fmt.Errorf("target %s: %w: header of two responses", x.address, ErrUnpaired)
		}
	}
	ids := r.Header[HeaderAttempt]
	if len(ids) == 1 && ids[0] == x.attempt {
		x.conn.echoes = true
		return nil
	}
	if len(ids) == 0 && !x.conn.echoes {
		if isShed(r) {
			x.retireConn()
			x.client.log.Debug("target: connection given up after a refusal without attempt", x.logAttributes()...)
		}
		return nil
	}
	x.retireConn()
	x.client.log.Warn("target: response of another attempt, connection given up",
		append(x.logAttributes(), "status", r.StatusCode, "response-attempt", ids)...)
	return fmt.Errorf("target %s: %w: status %d with attempt %q instead of %s on a %s connection",
		x.address, ErrUnpaired, r.StatusCode, ids, x.attempt, x.connKind())
}

// retireConn keeps other exchanges from using the connection, if there is one.
// close closes it.
func (x *exchange) retireConn() {
	if x.conn != nil {
		x.conn.retire()
		x.retired = true
	}
}

func (x *exchange) logAttributes() []any {
	return []any{"address", x.address, "request", x.request.Header.Get(HeaderRequest), "attempt", x.attempt,
		"connection", x.connKind()}
}

func (x *exchange) connKind() string {
	if x.reused {
		return "reused"
	}
	return "new"
}
