package target

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"

	"rhubarbrack/ident"
)

// UnknownLength is the length of a body that is sent in chunks.
const UnknownLength = -1

// Request is one request to a target. Its dispatches must follow one after the
// other. With a body it can be dispatched until the body has been read from,
// without one any number of times.
type Request struct {
	method          string
	url             *url.URL
	host            string
	header          http.Header
	body            io.Reader
	length          int64
	id              ident.RequestID
	freshConnection bool
	consumed        atomic.Bool
}

// RequestOption sets a part of a Request.
type RequestOption func(*Request)

// WithHeader sets the header. It is copied when the request is sent, without
// Authorization, hop-by-hop headers and headers that start with Rhubarbrack-.
func WithHeader(h http.Header) RequestOption { return func(r *Request) { r.header = h } }

// WithBody sets the body and its length in bytes, or UnknownLength. A body
// that implements io.Closer is closed at the end of a dispatch that has read
// from it.
func WithBody(body io.Reader, length int64) RequestOption {
	return func(r *Request) { r.body, r.length = body, length }
}

// WithHost sets the Host header. The default is the address of the target.
func WithHost(host string) RequestOption { return func(r *Request) { r.host = host } }

// WithRequestID sets the header Rhubarbrack-Request.
func WithRequestID(id ident.RequestID) RequestOption { return func(r *Request) { r.id = id } }

// WithFreshConnection sends the request on a connection of its own, at the
// cost of opening one. If a target closes a reused connection because it was
// idle, this looks like a crash, and it stays unknown whether a non-idempotent
// request ran.
func WithFreshConnection() RequestOption { return func(r *Request) { r.freshConnection = true } }

// NewRequest returns a request for the given path and query. It returns an
// error when path is malformed or does not start with a slash.
func NewRequest(method, path string, options ...RequestOption) (*Request, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, fmt.Errorf("request path: %w", err)
	}
	if u.Host != "" || u.Scheme != "" {
		return nil, fmt.Errorf("request path %q: want a path without host", path)
	}
	r := &Request{method: method, url: u}
	for _, apply := range options {
		apply(r)
	}
	return r, nil
}

// FromHTTP returns the request that forwards r, modified by the options.
func FromHTTP(r *http.Request, options ...RequestOption) *Request {
	out := &Request{method: r.Method, url: r.URL, host: r.Host, header: r.Header}
	if r.Body != nil && r.Body != http.NoBody {
		out.body, out.length = r.Body, r.ContentLength
	}
	for _, apply := range options {
		apply(out)
	}
	return out
}

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Path returns the path and query as they are sent.
func (r *Request) Path() string { return r.url.RequestURI() }

// Header returns the header, which must not be modified.
func (r *Request) Header() http.Header { return r.header }

// HasBody reports whether the request has a body.
func (r *Request) HasBody() bool { return r.body != nil && r.length != 0 }

// IsBodyConsumed reports whether a dispatch has read from the body, so that
// the request cannot be sent again.
func (r *Request) IsBodyConsumed() bool { return r.HasBody() && r.consumed.Load() }
