package mesh

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/quota"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const (
	// hostSilence is how long an entry host may be silent before callers are
	// no longer sent to it. It is several reports.
	hostSilence = 1500 * time.Millisecond
	// hostMemory is how long an entry host counts among those that share the
	// bounds of the fleet after it was last heard: it may serve on, unheard.
	hostMemory = 30 * time.Second
	// leadTime is how long a confirmed leadership allows to lend.
	leadTime = time.Second
	// joinMemory is how long a request to join is valid. It is repeated.
	joinMemory = 2 * time.Second
)

// hub is the task that owns what a control host knows of the fleet.
type hub struct {
	ctx      context.Context
	system   *tasks.System
	clock    clock.Clock
	log      *slog.Logger
	own      string
	revision ident.Revision
	ledger   scheme.DesiredState
	hosts    map[ident.Host]EntryHost
	controls map[string]bool
	joiners  map[string]joiner
	list     *listing
	// earlier holds the lists before, the oldest first.
	earlier []*listing
	tags    uint64
	clients map[string]*wire.Client
	led     time.Time
	lender  *quota.Allocator
	counts  map[ident.Host]countReport
}

// joiner is a control host that wants to become a member.
type joiner struct {
	host    ident.Host
	address string
	heard   time.Time
}

// The messages of the hub.
type (
	published struct {
		revision ident.Revision
		ledger   scheme.DesiredState
	}
	greet struct {
		record HeartbeatRecord
		reply  tasks.Reply[HeartbeatReplyRecord]
	}
	fetch   struct{ reply tasks.Reply[StateRecord] }
	targets struct {
		have  uint64
		reply tasks.Reply[ListRecord]
	}
	join struct {
		record JoinRecord
		reply  tasks.Reply[[]string]
	}
	members struct{ addresses []string }
	borrow  struct {
		record TokenRequestRecord
		reply  tasks.Reply[bool]
	}
	// leads tells that a majority confirmed the leadership after a time.
	leads      struct{ at time.Time }
	listed     struct{ targets []ListedTarget }
	askHosts   struct{ reply tasks.Reply[[]EntryHost] }
	askJoiners struct{ reply tasks.Reply[[]joiner] }
	askClient  struct {
		address string
		reply   tasks.Reply[*wire.Client]
	}
	askControls struct{ reply tasks.Reply[[]string] }
	askListAge  struct {
		reply tasks.Reply[ident.Option[time.Duration]]
	}
)

var _ tasks.Task = (*hub)(nil)

func newHub(ctx context.Context, system *tasks.System, c clock.Clock, log *slog.Logger, own string, seeds []string) *hub {
	h := &hub{
		ctx: ctx, system: system, clock: c, log: log, own: own, hosts: map[ident.Host]EntryHost{},
		controls: map[string]bool{}, joiners: map[string]joiner{}, clients: map[string]*wire.Client{},
		counts: map[ident.Host]countReport{},
		// Lists of two processes never have the same tag.
		tags: rand.Uint64(),
	}
	for _, s := range seeds {
		h.controls[s] = true
	}
	h.controls[own] = true
	return h
}

// Handle implements tasks.Task.
func (h *hub) Handle(message any) {
	switch m := message.(type) {
	case published:
		if m.ledger.Version() != h.ledger.Version() {
			h.log.Info("mesh: configuration in force", "version", m.ledger.Version(), "revision", m.revision)
		}
		if !slices.Equal(m.ledger.Evacuated(), h.ledger.Evacuated()) {
			h.log.Info("mesh: evacuated zones changed", "zones", m.ledger.Evacuated(), "revision", m.revision)
		}
		h.revision, h.ledger = m.revision, m.ledger
	case greet:
		m.reply.Send(h.greet(m.record))
	case fetch:
		m.reply.Send(fromLedger(h.revision, h.ledger))
	case targets:
		m.reply.Send(h.listRecord(m.have))
	case join:
		h.join(m.record)
		m.reply.Send(h.controlList())
	case members:
		h.learn(m.addresses)
	case borrow:
		m.reply.Send(h.borrow(m.record))
	case leads:
		h.lead(m.at)
	case listed:
		h.listed(m.targets)
	case askHosts:
		m.reply.Send(h.readyHosts())
	case askJoiners:
		m.reply.Send(h.currentJoiners())
	case askClient:
		m.reply.Send(h.client(m.address))
	case askControls:
		m.reply.Send(h.controlList())
	case askListAge:
		age := ident.None[time.Duration]()
		if h.list != nil {
			age = ident.Some(h.clock.Now().Sub(h.list.read))
		}
		m.reply.Send(age)
	}
}

func (h *hub) greet(r HeartbeatRecord) HeartbeatReplyRecord {
	now := h.clock.Now()
	host := ident.Host(r.Host)
	old, known := h.hosts[host]
	if !known || old.ready != r.Ready || old.address != r.Address || now.Sub(old.heard) > hostSilence {
		h.log.Info("mesh: entry host changed", "host", host, "ready", r.Ready, "known", known,
			"silent", now.Sub(old.heard).Truncate(time.Millisecond).String())
	}
	h.hosts[host] = EntryHost{
		host: host, address: r.Address, zone: ident.Zone(r.Zone), region: ident.Region(r.Region),
		ready: r.Ready, heard: now,
	}
	for id, e := range h.hosts {
		if now.Sub(e.heard) > hostMemory {
			delete(h.hosts, id)
		}
	}
	answer := HeartbeatReplyRecord{Controls: h.controlList(), Revision: uint64(h.revision), Hosts: len(h.hosts)}
	if h.list != nil {
		answer.HasList, answer.ListTag, answer.ListAge = true, h.list.tag, now.Sub(h.list.read)
	}
	ready := h.readyHosts()
	answer.ReadyTag = tagOf(ready)
	if answer.ReadyTag != r.ReadyTag {
		for _, e := range ready {
			answer.ReadyHosts = append(answer.ReadyHosts,
				ReadyHostRecord{Address: e.address, Zone: string(e.zone), Region: string(e.region)})
		}
	}
	if now.Sub(h.led) < leadTime && h.lender != nil {
		answer.Leads, answer.Shares = true, h.lend(now, host, r.Needs)
		for _, team := range h.lender.NearLimit(now) {
			answer.Tight = append(answer.Tight, string(team))
		}
		h.counts[host] = countReport{at: now, counts: r.Counts}
		answer.Others = h.others(now, host)
	}
	return answer
}

func (h *hub) borrow(r TokenRequestRecord) bool {
	now := h.clock.Now()
	if now.Sub(h.led) >= leadTime || h.lender == nil {
		return false
	}
	return h.lender.TakeToken(now, ident.Team(r.Team), r.Rate, r.Burst, r.Span)
}

// lead notes a confirmed leadership. After a gap another host may have lent
// shares, so the lender starts anew.
func (h *hub) lead(at time.Time) {
	if h.lender == nil || at.Sub(h.led) > leadTime {
		h.lender = quota.NewAllocator(h.clock.Now())
		h.log.Info("mesh: begins to lend shares of rates")
	}
	h.led = at
}

func (h *hub) lend(now time.Time, host ident.Host, records []DemandRecord) []LeaseRecord {
	needs := make([]quota.Demand, len(records))
	for i, r := range records {
		needs[i] = quota.NewDemand(ident.Team(r.Team), r.Asked, r.Taken, r.Held)
	}
	shares := h.lender.Allocate(now, host, len(h.hosts), needs)
	list := make([]LeaseRecord, len(shares))
	for i, s := range shares {
		list[i] = LeaseRecord{Team: string(s.Team()), Share: s.Share()}
	}
	return list
}

func (h *hub) controlList() []string {
	list := make([]string, 0, len(h.controls))
	for address := range h.controls {
		list = append(list, address)
	}
	slices.Sort(list)
	return list
}

func (h *hub) join(r JoinRecord) {
	if old, ok := h.joiners[r.Address]; !ok || old.host != ident.Host(r.Host) {
		h.log.Info("mesh: control host asks to join", "host", r.Host, "address", r.Address)
	}
	h.joiners[r.Address] = joiner{host: ident.Host(r.Host), address: r.Address, heard: h.clock.Now()}
	h.controls[r.Address] = true
}

// learn takes over the addresses of the members of the replicated log.
func (h *hub) learn(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	known := map[string]bool{h.own: true}
	for _, a := range addresses {
		known[a] = true
	}
	for _, j := range h.currentJoiners() {
		known[j.address] = true
	}
	h.controls = known
	for address, c := range h.clients {
		if !known[address] {
			c.Close()
			delete(h.clients, address)
		}
	}
}

func (h *hub) currentJoiners() []joiner {
	var list []joiner
	for address, j := range h.joiners {
		if h.clock.Now().Sub(j.heard) > joinMemory {
			delete(h.joiners, address)
			continue
		}
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b joiner) int { return cmp.Compare(a.address, b.address) })
	return list
}

func (h *hub) listed(list []ListedTarget) {
	now := h.clock.Now()
	slices.SortFunc(list, func(a, b ListedTarget) int { return cmp.Compare(a.id, b.id) })
	if h.list != nil && h.list.isSame(now, list) {
		h.list.read = now
		for i := range list {
			h.list.targets[i].cold = list[i].cold
		}
		return
	}
	h.tags++
	h.log.Info("mesh: list of targets changed", "targets", len(list), "tag", h.tags)
	if h.list != nil {
		h.earlier = append(h.earlier, h.list)
		h.earlier = h.earlier[max(0, len(h.earlier)-keptLists):]
	}
	h.list = &listing{read: now, tag: h.tags, targets: list}
}

// listRecord returns the list, or what has changed since the one with the
// given tag if that is still known: a whole list fills a slow link for a
// while, and it changes often while targets are replaced.
func (h *hub) listRecord(have uint64) ListRecord {
	if h.list == nil {
		return ListRecord{}
	}
	r := ListRecord{HasList: true, Tag: h.list.tag, Age: h.clock.Now().Sub(h.list.read)}
	changed, gone := h.list.targets, []ident.Target(nil)
	for _, e := range h.earlier {
		if e.tag == have {
			r.Base = have
			changed, gone = h.list.since(e)
		}
	}
	for _, l := range changed {
		r.Targets = append(r.Targets, TargetRecord{
			ID: string(l.id), Service: string(l.service), Address: l.address, Zone: string(l.zone), Slots: l.slots,
			Draining: l.draining, Cold: l.cold,
		})
	}
	for _, id := range gone {
		r.Gone = append(r.Gone, string(id))
	}
	return r
}

func (h *hub) readyHosts() []EntryHost {
	now := h.clock.Now()
	var list []EntryHost
	for _, e := range h.hosts {
		if e.ready && now.Sub(e.heard) < hostSilence {
			list = append(list, e)
		}
	}
	sortHosts(list)
	return list
}

func (h *hub) client(address string) *wire.Client {
	if c, ok := h.clients[address]; ok {
		return c
	}
	c, err := wire.StartClient(h.ctx, h.system, "mesh-"+address, address)
	if err != nil {
		h.log.Error("mesh: cannot start a client", "address", address, "error", err)
		return nil
	}
	h.clients[address] = c
	return c
}
