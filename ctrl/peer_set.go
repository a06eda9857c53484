package ctrl

import (
	"context"
	"fmt"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// peerSet holds the senders of a replica, and those that were stopped but may
// not have ended yet. The replica task owns it.
type peerSet struct {
	ctx              context.Context
	system           *tasks.System
	host             ident.Host
	options          replicaOptions
	senders          map[ident.Host]*sender
	stopped          []*sender
	learnedAddresses map[ident.Host]string
	dials            int
}

func newPeerSet(ctx context.Context, system *tasks.System, host ident.Host, o replicaOptions) *peerSet {
	return &peerSet{
		ctx: ctx, system: system, host: host, options: o,
		senders: map[ident.Host]*sender{}, learnedAddresses: map[ident.Host]string{},
	}
}

// learnAddress records the address of a host that sent messages. A host that
// joins needs it to respond, because it does not know the members yet.
func (p *peerSet) learnAddress(host ident.Host, address string) {
	if address != "" {
		p.learnedAddresses[host] = address
	}
}

// address returns a learned address, or "".
func (p *peerSet) address(host ident.Host) string { return p.learnedAddresses[host] }

// send queues a message for its recipient. It drops messages to an unknown
// address, which the protocol resends.
func (p *peerSet) send(m agree.Message, members agree.Members) {
	address := p.learnedAddresses[m.To()]
	if member, ok := members.Find(m.To()); ok {
		address = member.Address()
	}
	if address == "" {
		return
	}
	s, err := p.senderTo(m.To(), address)
	if err != nil {
		p.options.logger.Error("ctrl: cannot start a sender", "peer", m.To(), "error", err)
		return
	}
	self, _ := members.Find(p.host)
	s.push(outgoingMessage{message: m, ownAddress: self.Address()})
}

// connect opens connections to the other members. An election needs two
// messages each way; if each way had to be opened first, several hosts would
// begin an election before the first one ends, and none would win.
func (p *peerSet) connect(members agree.Members) {
	for _, m := range members.List() {
		if m.Host() == p.host || m.Address() == "" {
			continue
		}
		s, err := p.senderTo(m.Host(), m.Address())
		if err != nil {
			p.options.logger.Error("ctrl: cannot start a sender", "peer", m.Host(), "error", err)
			continue
		}
		s.client.Connect()
	}
}

func (p *peerSet) senderTo(host ident.Host, address string) (*sender, error) {
	s, ok := p.senders[host]
	if ok && s.address == address {
		return s, nil
	}
	if ok {
		p.stopSender(host, s)
	}
	p.dials++
	name := fmt.Sprintf("replica-%s-peer-%d", p.host, p.dials)
	s, err := startSender(p.ctx, p.system, name, host, address, p.options)
	if err != nil {
		return nil, fmt.Errorf("replace sender: %w", err)
	}
	p.senders[host] = s
	return s, nil
}

// prune stops the senders to hosts that are no longer members.
func (p *peerSet) prune(members agree.Members) {
	if members.Len() == 0 {
		return
	}
	for host, s := range p.senders {
		if _, ok := members.Find(host); !ok {
			p.stopSender(host, s)
		}
	}
}

func (p *peerSet) stopSender(host ident.Host, s *sender) {
	s.cancel()
	delete(p.senders, host)
	running := p.stopped[:0]
	for _, other := range p.stopped {
		if !other.hasEnded() {
			running = append(running, other)
		}
	}
	p.stopped = append(running, s)
}

// wait waits until all senders have ended. The task must have ended before.
func (p *peerSet) wait() {
	for _, s := range p.senders {
		p.stopped = append(p.stopped, s)
	}
	for _, s := range p.stopped {
		s.wait()
	}
}
