package route

import (
	"time"

	"rhubarbrack/ident"
)

// Request is a caller's request without its body.
type Request struct {
	id             ident.RequestID
	host           string
	method         string
	path           string
	query          string
	key            string
	idempotencyKey ident.RequestID
	deadline       time.Time
	zone           ident.Zone
}

// RequestOption sets an optional property of a request.
type RequestOption func(*Request)

// WithKey sets the text of the key that the request carries.
func WithKey(key string) RequestOption { return func(r *Request) { r.key = key } }

// WithIdempotencyKey sets the ID that the caller chose for a non-idempotent
// request.
func WithIdempotencyKey(id ident.RequestID) RequestOption {
	return func(r *Request) { r.idempotencyKey = id }
}

// WithDeadline sets the time until which the caller waits.
func WithDeadline(t time.Time) RequestOption { return func(r *Request) { r.deadline = t } }

// WithZone sets the caller's zone.
func WithZone(z ident.Zone) RequestOption { return func(r *Request) { r.zone = z } }

// WithQuery sets the query string.
func WithQuery(query string) RequestOption { return func(r *Request) { r.query = query } }

// NewRequest returns a request. The ID identifies it in logs and for explain.
// The host and the path select the service and the route.
func NewRequest(id ident.RequestID, host, method, path string, list ...RequestOption) Request {
	r := Request{id: id, host: host, method: method, path: path}
	for _, apply := range list {
		apply(&r)
	}
	return r
}

// ID returns the ID of the request.
func (r Request) ID() ident.RequestID { return r.id }

// Host returns the host name that the caller used.
func (r Request) Host() string { return r.host }

// Method returns the method.
func (r Request) Method() string { return r.method }

// Path returns the path.
func (r Request) Path() string { return r.path }
