package intact

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper of HTTP/1.x that reads each response by a Conn.
type Transport struct{ next *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport that sends requests by next, whose dial functions
// it replaces. It dials by next.DialContext, or a net.Dialer without it. next must
// not use a proxy.
func NewTransport(next *http.Transport) *Transport {
	d := dialer{dial: next.DialContext, config: next.TLSClientConfig}
	if d.dial == nil {
		d.dial = (&net.Dialer{}).DialContext
	}
	next.DialContext, next.DialTLSContext = d.dialPlain, d.dialTLS
	return &Transport{next: next}
}

// RoundTrip implements http.RoundTripper. The error wraps ErrMalformed if the header
// of the response is malformed, or arrived before the request was sent.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *Conn
	// The trace is called by RoundTrip itself.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			conn = c
			// Nothing is malformed yet.
			_ = conn.BeginResponse(nil)
		}
	}}
	response, err := t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, fmt.Errorf("round trip: %w", err)
	}
	if conn == nil || !conn.HasHeader() {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: it arrived before the request was sent", ErrMalformed)
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// dialer opens connections that are Conns.
type dialer struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	config *tls.Config
}

func (d dialer) dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return NewConn(c), nil
}

func (d dialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	secured := tls.Client(c, d.configFor(address))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
	}
	return NewConn(secured), nil
}

// configFor returns the TLS configuration for a server at an address.
func (d dialer) configFor(address string) *tls.Config {
	config := d.config.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}
