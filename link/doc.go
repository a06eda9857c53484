// Package link is an HTTP/1.1 client for targets with a pool of connections,
// each of which carries one request at a time. Unlike net/http.Transport, it
// never sends a request twice, reports whether a request may have reached the
// target, checks before reuse that an idle connection is open and has no
// unread bytes, and skips late responses to earlier requests. A connection carries
// no two requests with the same ID, so that the ID of a response tells which
// request it belongs to.
package link
