package ctrl

import (
	"context"
	"fmt"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// peerSet holds the senders of a replica. The replica task owns it.
type peerSet struct {
	ctx     context.Context
	system  *tasks.System
	host    ident.Host
	options replicaOptions
	senders map[ident.Host]*sender
	ended   []*sender
	learned map[ident.Host]string
	dials   int
}

func newPeerSet(ctx context.Context, system *tasks.System, host ident.Host, o replicaOptions) *peerSet {
	return &peerSet{
		ctx: ctx, system: system, host: host, options: o,
		senders: map[ident.Host]*sender{}, learned: map[ident.Host]string{},
	}
}

// learn notes the address of a host that sent messages. A host that joins
// does not know the members yet.
func (p *peerSet) learn(host ident.Host, address string) {
	if address != "" {
		p.learned[host] = address
	}
}

// address returns a learned address, or "".
func (p *peerSet) address(host ident.Host) string { return p.learned[host] }

// send queues a message for its recipient. Messages to an unknown address are
// dropped: the protocol repeats them.
func (p *peerSet) send(m agree.Message, members agree.Members) {
	address := p.learned[m.To()]
	if member, ok := members.Find(m.To()); ok {
		address = member.Address()
	}
	if address == "" {
		return
	}
	s, err := p.sender(m.To(), address)
	if err != nil {
		p.options.logger.Error("ctrl: cannot start a sender", "peer", m.To(), "error", err)
		return
	}
	own, _ := members.Find(p.host)
	s.push(outgoing{message: m, own: own.Address()})
}

func (p *peerSet) sender(host ident.Host, address string) (*sender, error) {
	s, ok := p.senders[host]
	if ok && s.address == address {
		return s, nil
	}
	if ok {
		p.end(host, s)
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

// prune ends the senders to hosts that are members no more.
func (p *peerSet) prune(members agree.Members) {
	if members.Len() == 0 {
		return
	}
	for host, s := range p.senders {
		if _, ok := members.Find(host); !ok {
			p.end(host, s)
		}
	}
}

func (p *peerSet) end(host ident.Host, s *sender) {
	s.cancel()
	delete(p.senders, host)
	open := p.ended[:0]
	for _, e := range p.ended {
		if !e.hasEnded() {
			open = append(open, e)
		}
	}
	p.ended = append(open, s)
}

// wait returns when all senders have ended. The task must have ended before.
func (p *peerSet) wait() {
	for _, s := range p.senders {
		p.ended = append(p.ended, s)
	}
	for _, s := range p.ended {
		s.wait()
	}
}
