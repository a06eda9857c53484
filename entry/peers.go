package entry

import (
	"context"
	"fmt"
	"net/rpc"

	"github.com/juju/errors"

	"rhubarbrack/ident"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// ErrNoPeer means that the called host is not a member in the view.
const ErrNoPeer = errors.ConstError("entry host is not a member")

// Peers calls other entry hosts by name. Its task owns one client per member
// and learns of membership changes from MembersChanged messages. It is safe
// for concurrent use.
type Peers struct {
	ref *tasks.Ref
}

// StartPeers starts the task. The options apply to every connection.
func StartPeers(ctx context.Context, system *tasks.System, list ...wire.Option) (*Peers, error) {
	t := &peersTask{ctx: ctx, system: system, options: list, clients: map[ident.Host]peerClient{}}
	ref, err := tasks.Spawn(ctx, system, "entry-peers", t)
	if err != nil {
		return nil, fmt.Errorf("start peers: %w", err)
	}
	return &Peers{ref: ref}, nil
}

// ServeLocally routes calls to this host directly to the server, without a
// connection.
func (p *Peers) ServeLocally(server *rpc.Server) { p.ref.Tell(serveLocally{server: server}) }

// Update sets the current membership.
func (p *Peers) Update(m Members) { p.ref.Tell(NewMembersChanged(m)) }

// Done returns a channel that is closed when the task has ended.
func (p *Peers) Done() <-chan struct{} { return p.ref.Done() }

// Call invokes a method of an entry host. The context must have a deadline.
// Errors match ErrNoPeer, wire.ErrUnreachable, wire.ErrBusy or wire.ErrExpired when
// the call was certainly not sent, and wire.ErrResponseLost when it may have run.
func (p *Peers) Call(ctx context.Context, h ident.Host, method string, args, reply any) error {
	to, err := tasks.Ask(ctx, p.ref, func(r tasks.Reply[peerEndpoint]) any { return endpointRequest{name: h, reply: r} })
	if err != nil {
		return fmt.Errorf("find entry host %s: %w", h, err)
	}
	switch {
	case to.server != nil:
		err = wire.CallLocal(ctx, to.server, method, args, reply)
	case to.client != nil:
		err = to.client.Call(ctx, method, args, reply)
	default:
		return fmt.Errorf("call %s of %s: %w", method, h, ErrNoPeer)
	}
	if err != nil {
		return fmt.Errorf("entry host %s: %w", h, err)
	}
	return nil
}

type (
	serveLocally struct{ server *rpc.Server }
	// peerEndpoint tells how to call an entry host: through a client or, for
	// this host, directly through its server. Both are nil for a host that is
	// not a member.
	peerEndpoint struct {
		client *wire.Client
		server *rpc.Server
	}
	endpointRequest struct {
		name  ident.Host
		reply tasks.Reply[peerEndpoint]
	}
)

// peerClient is the client of one incarnation of an entry host.
type peerClient struct {
	member Member
	client *wire.Client
}

// peersTask is the task behind Peers.
type peersTask struct {
	ctx     context.Context
	system  *tasks.System
	options []wire.Option
	members Members
	clients map[ident.Host]peerClient
	server  *rpc.Server
}

var _ tasks.Task = (*peersTask)(nil)

// Handle implements tasks.Task.
func (p *peersTask) Handle(message any) {
	switch m := message.(type) {
	case MembersChanged:
		p.members = m.Members()
		p.closeRemoved()
	case serveLocally:
		p.server = m.server
	case endpointRequest:
		m.reply.Send(p.endpoint(m.name))
	}
}

// closeRemoved closes the clients of processes that are no longer members.
func (p *peersTask) closeRemoved() {
	for h, c := range p.clients {
		if m, ok := p.members.Member(h); !ok || m != c.member {
			c.client.Close()
			delete(p.clients, h)
		}
	}
}

func (p *peersTask) endpoint(h ident.Host) peerEndpoint {
	if h == p.members.Self() && p.server != nil {
		return peerEndpoint{server: p.server}
	}
	return peerEndpoint{client: p.client(h)}
}

func (p *peersTask) client(h ident.Host) *wire.Client {
	if c, ok := p.clients[h]; ok {
		return c.client
	}
	m, ok := p.members.Member(h)
	if !ok {
		return nil
	}
	name := fmt.Sprintf("entry-peer-%s-%d", h, m.Incarnation())
	c, err := wire.StartClient(p.ctx, p.system, name, m.Address(), p.options...)
	if err != nil {
		return nil
	}
	p.clients[h] = peerClient{member: m, client: c}
	return c
}
