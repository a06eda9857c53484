package mesh

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"slices"
	"strconv"
	"time"

	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// neighbourCount is the number of entry hosts that a host without contact to
// control hosts asks at a time.
const neighbourCount = 2

const (
	neighbourServiceName   = "Neighbour"
	methodNeighbourState   = neighbourServiceName + ".State"
	methodNeighbourTargets = neighbourServiceName + ".Targets"
)

// NeighbourStateRecord is what an entry host tells another one: whether it is in
// contact with a control host, and the evacuated zones and the list of targets
// as in the reply to a heartbeat.
type NeighbourStateRecord struct {
	InContact bool
	State     HeartbeatReplyRecord
}

// The messages about neighbours.
type (
	getNeighbourState struct {
		reply tasks.Reply[NeighbourStateRecord]
	}
	getNeighbourTargets struct {
		have  uint64
		reply tasks.Reply[ListRecord]
	}
	neighbourDone struct {
		peer   *peer
		sent   time.Time
		record NeighbourStateRecord
		err    error
	}
)

// neighbourService implements the net/rpc methods for other entry hosts.
type neighbourService struct {
	ctx context.Context
	ref *tasks.Ref
}

// State returns the state that this host knows.
func (s *neighbourService) State(_ *EmptyRecord, reply *NeighbourStateRecord) error {
	return askTask(s.ctx, s.ref, reply, func(r tasks.Reply[NeighbourStateRecord]) any { return getNeighbourState{reply: r} })
}

// Targets returns the list of targets, unless the sender has it.
func (s *neighbourService) Targets(args *ListRequestRecord, reply *ListRecord) error {
	return askTask(s.ctx, s.ref, reply, func(r tasks.Reply[ListRecord]) any {
		return getNeighbourTargets{have: args.Tag, reply: r}
	})
}

// Register registers the calls that other entry hosts make while they are out
// of contact with the control hosts.
func (c *ControlClient) Register(ctx context.Context, server *rpc.Server) error {
	if err := server.RegisterName(neighbourServiceName, &neighbourService{ctx: ctx, ref: c.ref}); err != nil {
		return fmt.Errorf("register neighbour service: %w", err)
	}
	return nil
}

// isInContact reports whether a control host has replied a short time ago.
func (t *controlClientTask) isInContact(now time.Time) bool {
	for _, p := range t.peers {
		if !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < hostTimeout {
			return true
		}
	}
	return false
}

// neighbourState returns what this host tells other entry hosts.
func (t *controlClientTask) neighbourState(now time.Time) NeighbourStateRecord {
	return NeighbourStateRecord{
		InContact: t.isInContact(now),
		State: HeartbeatReplyRecord{
			HasState: true, Revision: uint64(t.revision), Zones: zoneNames(t.state.Evacuated()), Returned: t.returned.records(now),
			HasList: !t.listReadAt.IsZero(), ListTag: t.listTag, ListAge: now.Sub(t.listReadAt),
		},
	}
}

// neighbourTargets returns the list for another entry host.
func (t *controlClientTask) neighbourTargets(now time.Time, have uint64) ListRecord {
	if t.listReadAt.IsZero() || have == t.listTag {
		return ListRecord{}
	}
	if t.packed.Tag != t.listTag {
		record := ListRecord{HasList: true, Tag: t.listTag}
		elapsed := max(0, t.listReadAt.Sub(t.coldAsOf))
		record.Targets = newTargetRecords(aged(t.list, elapsed))
		packed, err := record.pack()
		if err != nil {
			t.log.Error("mesh: list of targets cannot be packed", "error", err)
			return ListRecord{}
		}
		t.packed, t.packedAsOf = packed, t.coldAsOf.Add(elapsed)
	}
	record := t.packed
	record.Age = now.Sub(t.packedAsOf)
	return record
}

// askNeighbours asks other entry hosts for the state while this host is out of
// contact with the control hosts.
func (t *controlClientTask) askNeighbours(now time.Time) {
	if t.peerPort == 0 || t.firstReply.IsZero() || t.isInContact(now) {
		t.dropNeighbours()
		return
	}
	t.findNeighbours()
	for _, p := range t.neighbours {
		if p.busy {
			continue
		}
		p.busy = true
		go t.askNeighbour(p, now)
	}
}

// findNeighbours adds neighbours up to neighbourCount. Each host begins at
// another position of the list of known hosts.
func (t *controlClientTask) findNeighbours() {
	known := t.knownAddresses()
	for range known {
		if len(t.neighbours) >= neighbourCount {
			return
		}
		address := known[t.nextNeighbour%uint64(len(known))]
		t.nextNeighbour++
		if slices.ContainsFunc(t.neighbours, func(p *peer) bool { return p.address == address }) {
			continue
		}
		c, err := wire.StartClient(t.ctx, t.system, "neighbour-"+address, address, t.wireOptions...)
		if err != nil {
			t.log.Error("mesh: cannot start a client", "address", address, "error", err)
			return
		}
		t.neighbours = append(t.neighbours, &peer{address: address, client: c})
	}
}

// knownAddresses returns the addresses at which the other entry hosts listen for
// hosts of the system.
func (t *controlClientTask) knownAddresses() []string {
	var addresses []string
	for _, p := range t.peers {
		for _, e := range p.ready.hosts {
			ip, _, err := net.SplitHostPort(e.address)
			if err != nil || e.address == t.heartbeat.Address {
				continue
			}
			addresses = append(addresses, net.JoinHostPort(ip, strconv.Itoa(t.peerPort)))
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (t *controlClientTask) askNeighbour(p *peer, sent time.Time) {
	call, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	m := neighbourDone{peer: p, sent: sent}
	m.err = p.client.Call(call, methodNeighbourState, &EmptyRecord{}, &m.record)
	t.self.Tell(m)
}

// neighbourDone applies the state of a neighbour that is in contact. Others are
// replaced before the next question.
func (t *controlClientTask) neighbourDone(m neighbourDone) {
	m.peer.busy = false
	if m.err != nil || !m.record.InContact {
		t.log.Debug("mesh: neighbour cannot help", "peer", m.peer.address, "in-contact", m.record.InContact, "error", m.err)
		m.peer.client.Close()
		t.neighbours = slices.DeleteFunc(t.neighbours, func(p *peer) bool { return p == m.peer })
		return
	}
	if t.isInContact(t.clock.Now()) {
		return
	}
	if m.peer.lastHeard.IsZero() {
		t.log.Info("mesh: state taken from another entry host", "peer", m.peer.address, "revision", m.record.State.Revision)
	}
	m.peer.lastHeard = t.clock.Now()
	t.applyReturned(m.sent, m.record.State)
	t.applyZones(m.peer, m.record.State)
	t.considerList(m.peer, methodNeighbourTargets, m.sent, m.record.State)
}

// dropNeighbours ends the questions to neighbours.
func (t *controlClientTask) dropNeighbours() {
	for _, p := range t.neighbours {
		p.client.Close()
	}
	t.neighbours = nil
}
