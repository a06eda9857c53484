package target

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"

	"rhubarbrack/ident"
)

// UnknownLength is the body length of a request whose body is sent in chunks.
const UnknownLength = -1

// Request is one request to a target. It can be dispatched until its body has
// been read from, one dispatch after the other, and any number of times when
// it has none.
type Request struct {
	method string
	url    *url.URL
	host   string
	header http.Header
	body   io.Reader
	length int64
	id     ident.RequestID
	fresh  bool
	spent  atomic.Bool
}

// RequestOption sets a part of a Request.
type RequestOption func(*Request)

// WithHeader sets the header. It is copied when the request is sent;
// Authorization, hop-by-hop headers and those that begin with Rhubarbrack-
// are left out.
func WithHeader(h http.Header) RequestOption { return func(r *Request) { r.header = h } }

// WithBody sets the body and its length in bytes, or UnknownLength. A body
// that also implements io.Closer is closed when a dispatch that has read from
// it ends.
func WithBody(body io.Reader, length int64) RequestOption {
	return func(r *Request) { r.body, r.length = body, length }
}

// WithHost sets the Host header. The default is the address of the target.
func WithHost(host string) RequestOption { return func(r *Request) { r.host = host } }

// WithRequestID sets the header Rhubarbrack-Request.
func WithRequestID(id ident.RequestID) RequestOption { return func(r *Request) { r.id = id } }

// WithFreshConnection sends the request on a connection of its own. A reused
// connection that the target closes while it is idle looks like a crash, and
// leaves open whether a non-idempotent request ran. It costs the set-up of a
// connection.
func WithFreshConnection() RequestOption { return func(r *Request) { r.fresh = true } }

// NewRequest returns a request for the given path with its query. It returns
// an error when path does not start with a slash or is malformed.
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

// FromHTTP returns the request that forwards r, changed by the options.
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

// Path returns the path with its query, as it is sent.
func (r *Request) Path() string { return r.url.RequestURI() }

// Header returns the header, which must not be changed.
func (r *Request) Header() http.Header { return r.header }

// HasBody reports whether the request has a body.
func (r *Request) HasBody() bool { return r.body != nil && r.length != 0 }

// IsBodyConsumed reports whether a dispatch has read from the body, so that another
// one cannot send it.
func (r *Request) IsBodyConsumed() bool { return r.HasBody() && r.spent.Load() }
