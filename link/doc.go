// Package link talks HTTP/1.1 to targets: it keeps connections open and
// carries one request at a time on each. Unlike net/http.Transport it never
// sends a request twice, tells what may have reached the target, checks that a
// kept connection is still open and silent before it is used, and skips late
// answers that belong to an earlier request.
package link
