package mesh

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/patch"
	"rhubarbrack/quota"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const (
	// hostTimeout is how long an entry host may be silent before callers are
	// no longer sent to it. It covers several heartbeats.
	hostTimeout = 1500 * time.Millisecond
	// hostRetention is how long an entry host counts among those that share
	// the fleet-wide bounds after its last heartbeat: it may still be serving
	// without contact.
	hostRetention = 30 * time.Second
	// leadershipValidity is how long this host may grant leases and tokens
	// after its leadership was confirmed.
	leadershipValidity = time.Second
	// memberRequestLifetime is how long the request of a control host to join, or to
	// be removed before it stops, is valid. A host repeats its request until it is
	// met.
	memberRequestLifetime = 2 * time.Second
)

// registry is the task that owns a control host's knowledge of the fleet.
type registry struct {
	ctx        context.Context
	system     *tasks.System
	clock      clock.Clock
	log        *slog.Logger
	ownAddress string
	region     ident.Region
	revision   ident.Revision
	state      scheme.DesiredState
	// publishedAt is when the first state was published.
	publishedAt  time.Time
	returned     returnedZones
	hosts        map[ident.Host]EntryHost
	controlHosts map[string]bool
	joiners      map[string]joiner
	// leavers holds when control hosts that are about to stop last said so.
	leavers map[ident.Host]time.Time
	list    *listing
	// earlier holds the previous lists, the oldest first.
	earlier []*listing
	ready   readyHistory
	packed  packedLists
	// archive encodes the changes.
	archive *tasks.Ref
	changes announcedChanges
	clients map[string]*wire.Client
	// wireOptions apply to the clients.
	wireOptions []wire.Option
	// confirmedAt is when this host's leadership was last confirmed.
	confirmedAt time.Time
	allocator   *quota.Allocator
	suspects    *guard.Suspects
	reports     map[ident.Host]statsReport
	// totals are the sums of the reports, or nil before the first one.
	totals *statsTotals
}

// The messages of the registry.
type (
	published struct {
		revision ident.Revision
		state    scheme.DesiredState
	}
	// heartbeat carries the heartbeat of an entry host. isCurrent is set if the
	// state of this host includes all acknowledged orders.
	heartbeat struct {
		record    HeartbeatRecord
		isCurrent bool
		reply     tasks.Reply[HeartbeatReplyRecord]
	}
	setRegion struct{ region ident.Region }
	// setWireOptions sets the options of new clients.
	setWireOptions struct{ list []wire.Option }
	setArchive     struct{ ref *tasks.Ref }
	// changeEncoded carries a difference between two configurations.
	changeEncoded struct{ piece patch.Piece }
	getState      struct{ reply tasks.Reply[StateRecord] }
	getZoneState  struct {
		zone  ident.Zone
		reply tasks.Reply[zoneState]
	}
	getTargets struct {
		have        uint64
		takesPacked bool
		reply       tasks.Reply[ListRecord]
	}
	requestJoin struct {
		record JoinRecord
		reply  tasks.Reply[[]string]
	}
	updateMembers struct{ addresses []string }
	// addControlHosts carries addresses of hosts that may be control hosts.
	addControlHosts struct{ addresses []string }
	requestToken    struct {
		record TokenRequestRecord
		reply  tasks.Reply[bool]
	}
	// leadershipConfirmed reports that a majority confirmed the leadership
	// after the given time.
	leadershipConfirmed struct{ at time.Time }
	listRead            struct{ targets []ListedTarget }
	getEntryHosts       struct{ reply tasks.Reply[[]EntryHost] }
	// addLeaver records that a control host is about to stop.
	addLeaver         struct{ host ident.Host }
	getMemberRequests struct{ reply tasks.Reply[memberRequests] }
	getClient         struct {
		address string
		reply   tasks.Reply[*wire.Client]
	}
	getControlHosts struct{ reply tasks.Reply[[]string] }
	getListAge      struct {
		reply tasks.Reply[ident.Option[time.Duration]]
	}
)

// zoneState tells whether a zone is evacuated, and the revision of the last order
// for it.
type zoneState struct {
	evacuated bool
	lastOrder ident.Revision
}

var _ tasks.Task = (*registry)(nil)

func newRegistry(
	ctx context.Context, system *tasks.System, c clock.Clock, log *slog.Logger, ownAddress string, seeds []string,
) *registry {
	r := &registry{
		ctx: ctx, system: system, clock: c, log: log, ownAddress: ownAddress, hosts: map[ident.Host]EntryHost{},
		controlHosts: map[string]bool{}, joiners: map[string]joiner{}, leavers: map[ident.Host]time.Time{}, clients: map[string]*wire.Client{},
		reports: map[ident.Host]statsReport{}, suspects: guard.NewSuspects(),
	}
	for _, s := range seeds {
		r.controlHosts[s] = true
	}
	r.controlHosts[ownAddress] = true
	return r
}

// Handle implements tasks.Task.
func (r *registry) Handle(message any) {
	switch m := message.(type) {
	case published:
		if r.publishedAt.IsZero() {
			r.publishedAt = r.clock.Now()
		}
		if m.state.Version() != r.state.Version() {
			r.log.Info("mesh: configuration in force", "version", m.state.Version(), "revision", m.revision)
		}
		if !slices.Equal(m.state.Evacuated(), r.state.Evacuated()) {
			r.log.Info("mesh: evacuated zones changed", "zones", m.state.Evacuated(), "revision", m.revision)
			r.updateReturned(m)
		}
		r.revision, r.state = m.revision, m.state
	case setWireOptions:
		r.wireOptions = m.list
	case setRegion:
		r.region = m.region
	case setArchive:
		r.archive = m.ref
	case changeEncoded:
		r.changes.add(m.piece)
	case heartbeat:
		reply := r.heartbeat(m.record)
		if !m.record.Ready && !m.isCurrent {
			reply = reply.withoutList()
		}
		m.reply.Send(reply)
	case getState:
		m.reply.Send(newStateRecord(r.revision, r.state))
	case getZoneState:
		m.reply.Send(zoneState{
			evacuated: slices.Contains(r.state.Evacuated(), m.zone), lastOrder: r.state.Orders().Last(m.zone),
		})
	case getTargets:
		if m.takesPacked {
			m.reply.Send(r.packedListRecord(m.have))
		} else {
			m.reply.Send(r.listRecord(m.have))
		}
	case requestJoin:
		r.addJoiner(m.record)
		m.reply.Send(r.controlHostList())
	case updateMembers:
		r.updateMembers(m.addresses)
	case addControlHosts:
		for _, a := range m.addresses {
			r.controlHosts[a] = true
		}
	case requestToken:
		m.reply.Send(r.takeToken(m.record))
	case leadershipConfirmed:
		r.confirmLeadership(m.at)
	case listRead:
		r.updateList(m.targets)
	case getEntryHosts:
		m.reply.Send(r.readyHosts())
	case addLeaver:
		r.addLeaver(m.host)
	case getMemberRequests:
		m.reply.Send(r.memberRequests())
	case getClient:
		m.reply.Send(r.client(m.address))
	case getControlHosts:
		m.reply.Send(r.controlHostList())
	case getListAge:
		age := ident.None[time.Duration]()
		if r.list != nil {
			age = ident.Some(r.clock.Now().Sub(r.list.readAt))
		}
		m.reply.Send(age)
	}
}

// heartbeat records the heartbeat of an entry host and returns the reply.
func (r *registry) heartbeat(record HeartbeatRecord) HeartbeatReplyRecord {
	now := r.clock.Now()
	host := ident.Host(record.Host)
	old, known := r.hosts[host]
	if !known || old.ready != record.Ready || old.address != record.Address || now.Sub(old.lastHeard) > hostTimeout {
		r.log.Info("mesh: entry host changed", "host", host, "ready", record.Ready, "known", known,
			"silent", now.Sub(old.lastHeard).Truncate(time.Millisecond).String())
	}
	r.hosts[host] = EntryHost{
		host: host, address: record.Address, zone: ident.Zone(record.Zone), region: ident.Region(record.Region),
		ready: record.Ready, lastHeard: now,
	}
	for id, e := range r.hosts {
		if now.Sub(e.lastHeard) > hostRetention {
			delete(r.hosts, id)
		}
	}
	reply := HeartbeatReplyRecord{
		Controls: r.controlHostList(), Region: string(r.region), Revision: uint64(r.revision), HasState: true,
		Version: r.state.Version(), Zones: zoneNames(r.state.Evacuated()), Hosts: len(r.hosts),
		Returned: r.returned.records(now), At: now.UnixMicro(),
	}
	reply.Change = r.change(record.Version)
	if r.list != nil {
		reply.HasList, reply.ListTag, reply.ListAge = true, r.list.tag, now.Sub(r.list.readAt)
		reply.List = r.announcedList(now, record)
	}
	if old.ready != record.Ready || !r.ready.isFresh(now) {
		r.ready.add(now, r.readyHosts())
	}
	reply = reply.addReady(&r.ready, record)
	if now.Sub(r.confirmedAt) < leadershipValidity && r.allocator != nil {
		reply.Leads, reply.Shares = true, r.allocate(now, host, record.Needs)
		for _, team := range r.allocator.NearLimit(now) {
			reply.Tight = append(reply.Tight, string(team))
		}
		r.reports[host] = statsReport{at: now, stats: record.Counts}
		reply = r.addLoads(now, reply, record, r.remoteStats(now, host))
		reply = r.addSuspects(now, reply, record)
	}
	return reply
}

// change returns the difference of the configuration to an earlier version, or
// nil. If it is not encoded yet, a later heartbeat gets it.
func (r *registry) change(base uint64) *PieceRecord {
	version := r.state.Version()
	if base == 0 || base >= version {
		return nil
	}
	if r.archive != nil && r.changes.request(version, base) {
		r.archive.Tell(encodeChange{version: version, base: base})
	}
	return r.changes.get(version, base)
}

// addLoads adds the stats of targets to a reply, in the short form if the list
// of targets that the entry host has is known. Only then it adds rate limits.
func (r *registry) addLoads(
	now time.Time, reply HeartbeatReplyRecord, record HeartbeatRecord, stats []TargetStatsRecord,
) HeartbeatReplyRecord {
	if l := r.listWith(record.ListTag); l != nil {
		reply.Loads, reply.LoadsTag = encodeLoads(stats, l.positions()), l.tag
		reply.Limits = encodeLimits(r.limitShares(now, ident.Host(record.Host)), l.positions())
		return reply
	}
	reply.Others = stats
	return reply
}

func (r *registry) controlHostList() []string {
	list := make([]string, 0, len(r.controlHosts))
	for address := range r.controlHosts {
		list = append(list, address)
	}
	slices.Sort(list)
	return list
}

// updateMembers sets the addresses of the members of the replicated log.
func (r *registry) updateMembers(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	known := map[string]bool{r.ownAddress: true}
	for _, a := range addresses {
		known[a] = true
	}
	for _, j := range r.currentJoiners() {
		known[j.address] = true
	}
	r.controlHosts = known
	for address, c := range r.clients {
		if !known[address] {
			c.Close()
			delete(r.clients, address)
		}
	}
}

func (r *registry) readyHosts() []EntryHost {
	now := r.clock.Now()
	var list []EntryHost
	for _, e := range r.hosts {
		if e.ready && now.Sub(e.lastHeard) < hostTimeout {
			list = append(list, e)
		}
	}
	sortByAddress(list)
	return list
}

// client returns the client for a control host, or nil if it cannot start.
func (r *registry) client(address string) *wire.Client {
	if c, ok := r.clients[address]; ok {
		return c
	}
	c, err := wire.StartClient(r.ctx, r.system, "mesh-"+address, address, r.wireOptions...)
	if err != nil {
		r.log.Error("mesh: cannot start a client", "address", address, "error", err)
		return nil
	}
	r.clients[address] = c
	return c
}
