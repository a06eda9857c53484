package node

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"rhubarbrack/bridge"
	"rhubarbrack/ident"
	"rhubarbrack/link"
	"rhubarbrack/relay"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
)

// peerLimits apply to the requests of other entry hosts, which have checked the
// limits of callers. The idle time is longer than that of the pools of these hosts.
var peerLimits = scheme.NewLimits(1<<20, 0, 5*time.Second, 30*time.Second)

// peerFront serves the requests that other entry hosts send through this one.
type peerFront struct {
	front   *relay.Front
	handler *relay.Handler
}

// noTokens grants no tokens: the host that has admitted a request has counted it
// towards its rate.
type noTokens struct{}

var _ relay.TokenSource = noTokens{}

// RequestToken implements relay.TokenSource.
func (noTokens) RequestToken(context.Context, ident.Team, float64, float64) (bool, error) {
	return false, nil
}

// startPeerFront starts the front end for other entry hosts. It returns nil if
// forwarding is not configured.
func (c HostConfig) startPeerFront(
	ctx context.Context, system *tasks.System, admission *relay.Admission, pool *link.Pool, dialect relay.Dialect,
	m relay.Meter, options ...relay.HandlerOption,
) (*peerFront, error) {
	if c.forwardPort == 0 {
		c.log.Warn("node: no port for requests of other entry hosts", "host", c.host)
		return nil, nil
	}
	address := net.JoinHostPort(c.ip, strconv.Itoa(c.forwardPort))
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for requests of other hosts: %w", err)
	}
	handler := relay.NewHandler(
		admission, pool, bridge.NewDialect(dialect, c.log), noTokens{}, c.clock, c.log, m, options...)
	front, err := relay.StartFront(
		ctx, system, listener, handler, c.descriptors*peerDescriptorsPercent/100, c.clock, c.log)
	if err != nil {
		return nil, fmt.Errorf("serve other hosts: %w", err)
	}
	front.SetLimits(peerLimits)
	return &peerFront{front: front, handler: handler}, nil
}

// refuse refuses further requests, which the other hosts then send elsewhere, on
// connections that end with their next response.
func (p *peerFront) refuse() {
	if p != nil {
		p.handler.Stop()
		p.front.Drain()
	}
}

// end gives up the requests in flight.
func (p *peerFront) end() {
	if p != nil {
		p.handler.End()
	}
}

// Shutdown implements shutter.
func (p *peerFront) Shutdown(ctx context.Context) error {
	if p == nil {
		return nil
	}
	if err := p.front.Shutdown(ctx); err != nil {
		return fmt.Errorf("requests of other hosts: %w", err)
	}
	return nil
}
