package link

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
)

// Probe sends a health check over a new connection, and returns an error if no
// response arrives before the end of ctx. Its status does not matter: any response
// shows that the target can be reached.
func (p *Pool) Probe(ctx context.Context, address, path string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Opaque: path}, Host: address, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	x, err := p.Send(ctx, c, r, func(*http.Response) bool { return true })
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	x.Discard()
	return nil
}
