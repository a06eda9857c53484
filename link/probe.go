package link

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"syscall"

	"rhubarbrack/ident"
)

// noRequestID is the ID of a health check.
const noRequestID ident.RequestID = ""

// Probe sends a health check over a new connection, and returns an error if no
// response arrives before the end of ctx. Its status does not matter: any response
// shows that the target can be reached. The body of the response is closed.
func (p *Pool) Probe(ctx context.Context, address, path string) (*http.Response, error) {
	c, err := p.open(ctx, address, noRequestID)
	if err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Opaque: path}, Host: address, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	x, err := p.Send(ctx, c, r, func(*http.Response) bool { return true })
	if err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	x.Discard()
	return x.Response(), nil
}

// IsRefused reports whether the host at an address refuses a new connection, as
// it does after the process there has ended. The error is not nil if the host
// does not respond, or resets the connection: somebody listens then, or is about to
// end.
func (p *Pool) IsRefused(ctx context.Context, address string) (bool, error) {
	c, err := p.open(ctx, address, noRequestID)
	switch {
	case err == nil:
		c.close()
		return false, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, nil
	}
	return false, fmt.Errorf("check for a listener: %w", err)
}
