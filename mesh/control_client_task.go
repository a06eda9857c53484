package mesh

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// The messages of the control client.
type (
	getLeader       struct{ reply tasks.Reply[*wire.Client] }
	getDesiredState struct {
		reply tasks.Reply[scheme.DesiredState]
	}
	sendHeartbeats     struct{}
	setReady           struct{ ready bool }
	updateControlHosts struct{ addresses []string }
	heartbeatDone      struct {
		peer *peer
		sent time.Time
		// toLeader is set if the heartbeat had the parts for the leader.
		toLeader bool
		record   HeartbeatReplyRecord
		// waiting is what targets had sent and nobody had read when a slow reply
		// came.
		waiting WaitingBytes
		err     error
	}
	// configReceived reports a configuration that has arrived and is not in
	// force yet.
	configReceived struct{ version uint64 }
	// configInForce reports a configuration that the fetcher put in force.
	configInForce struct {
		version uint64
		source  []byte
	}
	listFetched struct {
		peer *peer
		// sent is when the list was requested.
		sent   time.Time
		record ListRecord
		err    error
	}
)

// peer is an entry host's view of a control host.
type peer struct {
	address string
	client  *wire.Client
	// busy is set while a neighbour is asked.
	busy bool
	// pending holds when the heartbeats without a reply were sent, in ascending
	// order.
	pending []time.Time
	// newestSent is when the heartbeat with the newest reply was sent.
	newestSent time.Time
	lastHeard  time.Time
	lost       bool
	hostCount  int
	leads      bool
	ready      readyList
	// isTold is set once the control host, as the leader, has what this host
	// knows of requests that may crash targets, and suspectsTag identifies what
	// this host has from it.
	isTold      bool
	suspectsTag uint64
	// fastest are the shortest times of a heartbeat to the control host and of
	// its reply, including the difference of the two clocks.
	fastest heartbeatTimes
	// fastestReply is the shortest time to a reply, and delay by how much the
	// newest one took longer.
	fastestReply, delay time.Duration
}

// controlClientTask owns what the entry host has learned.
type controlClientTask struct {
	ctx       context.Context
	self      *tasks.Ref
	system    *tasks.System
	clock     clock.Clock
	log       *slog.Logger
	listener  Listener
	heartbeat HeartbeatRecord
	// wireOptions apply to the connections to control hosts and neighbours.
	wireOptions []wire.Option
	peers       map[string]*peer
	// fetcher is the task that fetches configurations.
	fetcher *tasks.Ref
	// revision is that of the evacuated zones in force.
	revision ident.Revision
	state    scheme.DesiredState
	// announced is the newest version that a control host has reported.
	announced uint64
	listTag   uint64
	// listReadAt is the earliest time at which the list may have been read, and
	// coldAsOf the latest one, to which its cold times refer.
	listReadAt   time.Time
	coldAsOf     time.Time
	list         []ListedTarget
	fetchingList bool
	hostCount    int
	// hostCountSeen is when a control host last reported hostCount or more
	// hosts.
	hostCountSeen time.Time
	firstReply    time.Time
	endStartup    func()
	// ready is set once BecomeReady was called, or if it never will be.
	ready bool
	// returned holds the zones whose evacuation has ended, for neighbours.
	returned returnedZones
	// peerPort is the port at which entry hosts listen for each other, or 0.
	peerPort int
	// neighbours are the entry hosts that are asked while no control host
	// replies. The position of the next one is nextNeighbour.
	neighbours    []*peer
	nextNeighbour uint64
	// packed is the list for neighbours, with the cold times of packedAsOf.
	packed     ListRecord
	packedAsOf time.Time
	meter      Meter
	inbound    Inbound
	linkDelay  LinkDelay
}

var _ tasks.Task = (*controlClientTask)(nil)

// Handle implements tasks.Task.
func (t *controlClientTask) Handle(message any) {
	switch m := message.(type) {
	case sendHeartbeats:
		t.sendHeartbeats()
	case setReady:
		// A host that shuts down before it was ready never becomes ready.
		t.ready = t.ready || !m.ready
		t.heartbeat.Ready = m.ready
		t.sendHeartbeats()
	case updateControlHosts:
		t.updateControlHosts(m.addresses)
	case heartbeatDone:
		t.heartbeatDone(m)
	case configReceived:
		t.heartbeat.Version = max(t.heartbeat.Version, m.version)
	case configInForce:
		t.state = scheme.NewDesiredState(m.version, m.source, t.state.Evacuated())
		t.checkReady(t.clock.Now())
	case neighbourDone:
		t.neighbourDone(m)
	case getNeighbourState:
		m.reply.Send(t.neighbourState(t.clock.Now()))
	case getNeighbourTargets:
		m.reply.Send(t.neighbourTargets(t.clock.Now(), m.have))
	case listFetched:
		t.listFetched(m)
	case getEntryHosts:
		m.reply.Send(t.readyHosts())
	case getLeader:
		m.reply.Send(t.leader())
	case getDesiredState:
		m.reply.Send(t.state)
	}
}

// leader returns the client of the leader, or nil.
func (t *controlClientTask) leader() *wire.Client {
	for _, p := range t.peers {
		if p.leads && !p.lost {
			return p.client
		}
	}
	return nil
}

// readyHosts returns the entry hosts listed by the control hosts in contact.
// Without any contact it returns those listed last, which may still serve.
func (t *controlClientTask) readyHosts() []EntryHost {
	now := t.clock.Now()
	listed := map[string]EntryHost{}
	contact := false
	for _, p := range t.peers {
		contact = contact || now.Sub(p.lastHeard) < hostTimeout
	}
	for _, p := range t.peers {
		if contact && now.Sub(p.lastHeard) >= hostTimeout {
			continue
		}
		for _, e := range p.ready.hosts {
			listed[e.address] = e
		}
	}
	// The own readiness is known here first.
	delete(listed, t.heartbeat.Address)
	if t.heartbeat.Ready {
		listed[t.heartbeat.Address] = EntryHost{
			address: t.heartbeat.Address, zone: ident.Zone(t.heartbeat.Zone), region: ident.Region(t.heartbeat.Region),
		}
	}
	list := make([]EntryHost, 0, len(listed))
	for _, e := range listed {
		list = append(list, e)
	}
	sortByAddress(list)
	return list
}

// controlHostTimeout is how long a control host that is no longer listed may be
// silent before it is forgotten.
const controlHostTimeout = 6 * time.Second

// updateControlHosts adds the control hosts at the given addresses, and removes
// silent ones that are not listed.
func (t *controlClientTask) updateControlHosts(addresses []string) {
	known := map[string]bool{}
	for _, a := range addresses {
		known[a] = true
		if _, ok := t.peers[a]; ok {
			continue
		}
		c, err := wire.StartClient(t.ctx, t.system, "follow-"+a, a, t.wireOptions...)
		if err != nil {
			t.log.Error("mesh: cannot start a client", "address", a, "error", err)
			continue
		}
		t.peers[a] = &peer{address: a, client: c}
	}
	now := t.clock.Now()
	for a, p := range t.peers {
		// A control host that responds is kept even if others do not list it.
		if !known[a] && now.Sub(p.lastHeard) > controlHostTimeout {
			p.client.Close()
			delete(t.peers, a)
			t.fetcher.Tell(forgetPeer{address: a})
		}
	}
}

// readyTags returns the tags of the lists of ready hosts that this host has.
func (t *controlClientTask) readyTags() []uint64 {
	var tags []uint64
	for _, p := range t.peers {
		if p.ready.tag != 0 && !slices.Contains(tags, p.ready.tag) {
			tags = append(tags, p.ready.tag)
		}
	}
	return tags
}

// updateReady applies the list of ready hosts of a reply. If its base has been
// replaced meanwhile, the next heartbeat asks again.
func (t *controlClientTask) updateReady(p *peer, r HeartbeatReplyRecord) {
	if p.ready.tag == r.ReadyTag {
		return
	}
	known := make([]readyList, 0, len(t.peers))
	for _, other := range t.peers {
		known = append(known, other.ready)
	}
	if next, ok := r.readyFrom(known); ok {
		p.ready = next
		t.listener.SetEntryHosts(slices.DeleteFunc(t.readyHosts(), func(e EntryHost) bool {
			return e.address == t.heartbeat.Address
		}))
	}
}

// updateHostCount sets the number of entry hosts to the largest one that a
// control host reports. A smaller number takes effect only after
// hostRetention, since a host without contact keeps serving with its share.
func (t *controlClientTask) updateHostCount(now time.Time) {
	n := 1
	for _, p := range t.peers {
		if !p.lost {
			n = max(n, p.hostCount)
		}
	}
	if n >= t.hostCount {
		t.hostCountSeen = now
	}
	if n > t.hostCount || n < t.hostCount && now.Sub(t.hostCountSeen) > hostRetention {
		t.log.Info("mesh: number of entry hosts changed", "hosts", n, "before", t.hostCount)
		t.hostCount, t.hostCountSeen = n, now
		t.listener.SetHostCount(n)
	}
}

// applyState puts the evacuated zones in force and reports the version of the
// configuration to the fetcher.
func (t *controlClientTask) applyState(p *peer, r HeartbeatReplyRecord) {
	if !r.HasState {
		return
	}
	t.applyZones(p, r)
	t.announced = max(t.announced, r.Version)
	t.fetcher.Tell(announceConfig{
		address: p.address, version: r.Version, isNear: r.Region == t.heartbeat.Region, change: r.change(),
	})
}

// applyZones puts the evacuated zones in force if their revision is newer.
func (t *controlClientTask) applyZones(p *peer, r HeartbeatReplyRecord) {
	revision := ident.Revision(r.Revision)
	if revision <= t.revision {
		return
	}
	before, zones := t.state.Evacuated(), zonesOf(r.Zones)
	if !slices.Equal(zones, before) {
		t.log.Info("mesh: evacuated zones in force", "revision", revision, "zones", zones, "peer", p.address)
		t.returned = t.returned.update(t.clock.Now(), revision, before, zones)
		t.listener.SetEvacuated(zones)
	}
	t.revision, t.state = revision, scheme.NewDesiredState(t.state.Version(), t.state.Source(), zones)
}

// checkReady makes the host ready once it has the newest configuration that it
// knows of and the targets,
// and a majority of the control hosts has replied or startupWait is over.
func (t *controlClientTask) checkReady(now time.Time) {
	if t.ready || t.state.Version() == 0 || t.state.Version() < t.announced || t.listReadAt.IsZero() {
		return
	}
	heard := 0
	for _, p := range t.peers {
		if !p.lastHeard.IsZero() {
			heard++
		}
	}
	if 2*heard <= len(t.peers) && now.Sub(t.firstReply) < startupWait {
		return
	}
	t.ready = true
	t.endStartup()
	t.log.Info("mesh: entry host is ready", "control-hosts", heard)
	t.listener.BecomeReady()
	t.heartbeat.Ready = true
	t.sendHeartbeats()
}
