package mesh

import (
	"context"
	"log/slog"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/quota"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// The messages of the follower.
type (
	askLeader struct{ reply tasks.Reply[*wire.Client] }
	askOrders struct {
		reply tasks.Reply[scheme.DesiredState]
	}
	greetAll      struct{}
	setReady      struct{ ready bool }
	learnControls struct{ addresses []string }
	greeted       struct {
		peer   *peer
		sent   time.Time
		record HeartbeatReplyRecord
		err    error
	}
	fetched struct {
		peer   *peer
		record StateRecord
		err    error
	}
	received struct {
		peer   *peer
		record ListRecord
		err    error
	}
)

// peer is a control host as an entry host sees it.
type peer struct {
	address string
	client  *wire.Client
	busy    bool
	heard   time.Time
	lost    bool
	hosts   int
	leads   bool
	tag     uint64
	ready   []EntryHost
}

// followTask owns what the entry host has learnt.
type followTask struct {
	ctx      context.Context
	self     *tasks.Ref
	system   *tasks.System
	clock    clock.Clock
	log      *slog.Logger
	sink     Listener
	report   HeartbeatRecord
	peers    map[string]*peer
	revision ident.Revision
	ledger   scheme.DesiredState
	hasOrder bool
	fetching bool
	listTag  uint64
	listRead time.Time
	list     []ListedTarget
	listing  bool
	hosts    int
	most     time.Time
	first    time.Time
	calm     func()
	ready    bool
}

var _ tasks.Task = (*followTask)(nil)

// Handle implements tasks.Task.
func (t *followTask) Handle(message any) {
	switch m := message.(type) {
	case greetAll:
		t.greetAll()
	case setReady:
		// A host that stops before it was ready never becomes ready.
		t.ready = t.ready || !m.ready
		t.report.Ready = m.ready
		t.greetAll()
	case learnControls:
		t.learn(m.addresses)
	case greeted:
		t.greeted(m)
	case fetched:
		t.fetched(m)
	case received:
		t.received(m)
	case askHosts:
		m.reply.Send(t.readyHosts())
	case askLeader:
		m.reply.Send(t.leader())
	case askOrders:
		m.reply.Send(t.ledger)
	}
}

// leader returns the client of the control host that leads, or nil.
func (t *followTask) leader() *wire.Client {
	for _, p := range t.peers {
		if p.leads && !p.lost {
			return p.client
		}
	}
	return nil
}

// readyHosts returns the entry hosts that a control host in contact names.
// Without any contact those that were named last may still serve.
func (t *followTask) readyHosts() []EntryHost {
	now := t.clock.Now()
	named := map[string]EntryHost{}
	contact := false
	for _, p := range t.peers {
		contact = contact || now.Sub(p.heard) < hostSilence
	}
	for _, p := range t.peers {
		if contact && now.Sub(p.heard) >= hostSilence {
			continue
		}
		for _, e := range p.ready {
			named[e.address] = e
		}
	}
	// This host knows best whether it is ready itself.
	delete(named, t.report.Address)
	if t.report.Ready {
		named[t.report.Address] = EntryHost{
			address: t.report.Address, zone: ident.Zone(t.report.Zone), region: ident.Region(t.report.Region),
		}
	}
	list := make([]EntryHost, 0, len(named))
	for _, e := range named {
		list = append(list, e)
	}
	sortHosts(list)
	return list
}

func (t *followTask) learn(addresses []string) {
	known := map[string]bool{}
	for _, a := range addresses {
		known[a] = true
		if _, ok := t.peers[a]; ok {
			continue
		}
		c, err := wire.StartClient(t.ctx, t.system, "follow-"+a, a)
		if err != nil {
			t.log.Error("mesh: cannot start a client", "address", a, "error", err)
			continue
		}
		t.peers[a] = &peer{address: a, client: c}
	}
	now := t.clock.Now()
	for a, p := range t.peers {
		// A control host that answers is kept, whoever does not name it.
		if !known[a] && now.Sub(p.heard) > memberSilence {
			p.client.Close()
			delete(t.peers, a)
		}
	}
}

func (t *followTask) greetAll() {
	now := t.clock.Now()
	for _, p := range t.peers {
		if !p.lost && !p.heard.IsZero() && now.Sub(p.heard) > hostSilence {
			p.lost = true
			t.log.Warn("mesh: control host lost", "peer", p.address, "silent", now.Sub(p.heard).String())
		}
		if p.busy {
			continue
		}
		p.busy = true
		report := t.report
		report.ReadyTag = p.tag
		go t.greet(p, report, p.leads, now)
	}
	t.settle(now)
}

// greet reports to one control host.
func (t *followTask) greet(p *peer, report HeartbeatRecord, leads bool, sent time.Time) {
	call, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	if leads {
		needs, err := t.sink.Demand(call)
		if err != nil {
			t.log.Warn("mesh: report without the needs of teams", "error", err)
		}
		for _, n := range needs {
			report.Needs = append(report.Needs,
				DemandRecord{Team: string(n.Team()), Asked: n.Requested(), Taken: n.Admitted(), Held: n.Leased()})
		}
		counts, err := t.sink.TargetStats(call)
		if err != nil {
			t.log.Warn("mesh: report without the counts of targets", "error", err)
		}
		for _, c := range counts {
			report.Counts = append(report.Counts, TargetStatsRecord{
				Target: string(c.Target()), Running: c.InFlight(), Failed: c.Failed(), Served: c.Served(),
			})
		}
	}
	m := greeted{peer: p, sent: sent}
	m.err = p.client.Call(call, methodGreet, &report, &m.record)
	t.self.Tell(m)
}

// lend takes over what only the leader knows. Shares of rates count from the time of the
// report, so that the lender never counts them for a shorter time.
func (t *followTask) lend(m greeted) {
	shares := make([]quota.Lease, len(m.record.Shares))
	for i, r := range m.record.Shares {
		shares[i] = quota.NewLease(ident.Team(r.Team), r.Share)
	}
	tight := make([]ident.Team, len(m.record.Tight))
	for i, name := range m.record.Tight {
		tight[i] = ident.Team(name)
	}
	t.sink.ApplyLeases(shares, tight, m.sent.Add(quota.LeaseTime))
	others := make([]spread.TargetStats, len(m.record.Others))
	for i, r := range m.record.Others {
		others[i] = spread.NewTargetStats(ident.Target(r.Target), r.Running, r.Failed, r.Served)
	}
	t.sink.ApplyRemoteStats(others)
}

func (t *followTask) greeted(m greeted) {
	m.peer.busy = false
	if m.err != nil {
		t.log.Debug("mesh: report failed", "peer", m.peer.address, "error", m.err)
		return
	}
	now := t.clock.Now()
	if m.peer.lost {
		t.log.Info("mesh: control host regained", "peer", m.peer.address)
	}
	m.peer.heard, m.peer.lost, m.peer.hosts = now, false, m.record.Hosts
	if m.peer.tag != m.record.ReadyTag {
		m.peer.tag, m.peer.ready = m.record.ReadyTag, nil
		for _, r := range m.record.ReadyHosts {
			m.peer.ready = append(m.peer.ready,
				EntryHost{address: r.Address, zone: ident.Zone(r.Zone), region: ident.Region(r.Region)})
		}
	}
	m.peer.leads = m.record.Leads
	if m.record.Leads {
		t.lend(m)
	}
	if t.first.IsZero() {
		t.first = now
	}
	t.learn(m.record.Controls)
	t.count(now)
	if ident.Revision(m.record.Revision) > t.revision && !t.fetching {
		t.fetching = true
		go t.fetch(m.peer)
	}
	// The list was read at the latest this long ago.
	read := m.sent.Add(-m.record.ListAge)
	switch {
	case !m.record.HasList:
	case m.record.ListTag == t.listTag:
		t.listRead = read
	case !t.listing && read.After(t.listRead.Add(listAdvance)):
		t.listing = true
		go t.fetchList(m.peer, t.listTag)
	}
	t.settle(now)
}

// count shares the fleet's bounds among the largest number of entry hosts
// that a control host has counted lately: one that is out of contact with
// them serves on with its share.
func (t *followTask) count(now time.Time) {
	n := 1
	for _, p := range t.peers {
		if !p.lost {
			n = max(n, p.hosts)
		}
	}
	if n >= t.hosts {
		t.most = now
	}
	if n > t.hosts || n < t.hosts && now.Sub(t.most) > hostMemory {
		t.log.Info("mesh: number of entry hosts changed", "hosts", n, "before", t.hosts)
		t.hosts, t.most = n, now
		t.sink.SetHostCount(n)
	}
}

func (t *followTask) fetch(p *peer) {
	call, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	m := fetched{peer: p}
	m.err = p.client.Call(call, methodFetch, &EmptyRecord{}, &m.record)
	t.self.Tell(m)
}

func (t *followTask) fetched(m fetched) {
	t.fetching = false
	if m.err != nil {
		t.log.Warn("mesh: orders not fetched", "peer", m.peer.address, "error", m.err)
		return
	}
	revision := ident.Revision(m.record.Revision)
	if revision <= t.revision {
		return
	}
	if err := t.sink.SetDesiredState(revision, m.record.ledger()); err != nil {
		t.log.Error("mesh: orders cannot be read", "revision", revision, "error", err)
		return
	}
	t.revision, t.ledger = revision, m.record.ledger()
	t.hasOrder = t.hasOrder || m.record.Version > 0
	t.log.Info("mesh: orders in force", "revision", revision, "version", m.record.Version,
		"evacuated", m.record.Zones, "peer", m.peer.address)
	t.settle(t.clock.Now())
}

func (t *followTask) fetchList(p *peer, have uint64) {
	call, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	m := received{peer: p}
	m.err = p.client.Call(call, methodTargets, &ListRequestRecord{Tag: have}, &m.record)
	t.self.Tell(m)
}

func (t *followTask) received(m received) {
	t.listing = false
	if m.err != nil || !m.record.HasList {
		t.log.Warn("mesh: list of targets not fetched", "peer", m.peer.address, "error", m.err)
		return
	}
	read := t.clock.Now().Add(-m.record.Age)
	if !read.After(t.listRead) {
		return
	}
	changed := recordsOf(m.record)
	list := changed
	if m.record.Base != 0 {
		if m.record.Base != t.listTag {
			// Another control host's list came in between; the next report
			// leads to a new fetch.
			t.log.Info("mesh: changes of another list", "base", m.record.Base, "tag", t.listTag)
			return
		}
		list = apply(t.list, changed, gonesOf(m.record))
	}
	t.listTag, t.listRead, t.list = m.record.Tag, read, list
	t.sink.SetTargets(read, list)
	t.log.Info("mesh: list of targets in force", "targets", len(list), "changed", len(changed), "tag", m.record.Tag,
		"age", m.record.Age.String(), "peer", m.peer.address)
	t.settle(t.clock.Now())
}

// settle tells once that the host knows enough: a configuration and the
// targets, from more than half of the control hosts or after a while.
func (t *followTask) settle(now time.Time) {
	if t.ready || !t.hasOrder || t.listRead.IsZero() || t.fetching {
		return
	}
	heard := 0
	for _, p := range t.peers {
		if !p.heard.IsZero() {
			heard++
		}
	}
	if 2*heard <= len(t.peers) && now.Sub(t.first) < settleTime {
		return
	}
	t.ready = true
	t.calm()
	t.log.Info("mesh: entry host is ready", "control-hosts", heard)
	t.sink.BecomeReady()
	t.report.Ready = true
	t.greetAll()
}
