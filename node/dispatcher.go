package node

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"rhubarbrack/caller"
	"rhubarbrack/clock"
	"rhubarbrack/ctrl"
	"rhubarbrack/entry"
	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/limit"
	"rhubarbrack/lister"
	"rhubarbrack/locate"
	"rhubarbrack/plan"
	"rhubarbrack/prof"
	"rhubarbrack/route"
	"rhubarbrack/state"
	"rhubarbrack/steer"
	"rhubarbrack/target"
	"rhubarbrack/tasks"
)

// roleReleaseTimeout limits the proposal to the control hosts that releases a
// role.
const roleReleaseTimeout = 5 * time.Second

// drainCheckInterval limits the delay between the start of a planned drain and
// its effect.
const drainCheckInterval = 250 * time.Millisecond

type drainCheck struct{}

// dispatcher is the task of an entry host that distributes each new view, the
// platform list and the probe reports to the tasks that act on them.
type dispatcher struct {
	ctx        context.Context
	control    *ctrl.Client
	clock      clock.Clock
	self       state.Member
	ttl        time.Duration
	peers      *entry.Peers
	rateHolder *entry.RateHolder
	rateOwners *entry.RateOwners
	slotOwner  *entry.SlotOwner
	slotClient *entry.SlotClient
	picker     *regionPicker
	prober     *target.Prober

	directory     *atomic.Pointer[locate.Directory]
	zoneTable     *locate.Table
	fleet         *prof.Fleet
	revision      ident.Revision
	view          route.View
	list          lister.List
	listChanges   uint64
	targetRegions map[ident.Target]ident.Region
	// released holds the epochs of the roles that this host has released.
	released        map[state.RoleName]ident.Epoch
	pendingReleases []state.Role
	// cachedMembers holds the members of the latest revision, without the roles
	// that were released when it was built; cachedReleases is their number.
	cachedMembers  entry.Members
	cachedReleases int
}

var _ tasks.Task = (*dispatcher)(nil)

// dispatcherRef is the interface of the dispatcher to other tasks.
type dispatcherRef struct {
	ref       *tasks.Ref
	directory *atomic.Pointer[locate.Directory]
}

var (
	_ ctrl.ViewListener      = (*dispatcherRef)(nil)
	_ caller.DirectorySource = (*dispatcherRef)(nil)
	_ lister.Listener        = (*dispatcherRef)(nil)
	_ target.ReportListener  = (*dispatcherRef)(nil)
)

// ViewChanged implements ctrl.ViewListener.
func (d *dispatcherRef) ViewChanged(view route.View) { d.ref.Tell(view) }

// Directory implements caller.DirectorySource.
func (d *dispatcherRef) Directory() *locate.Directory { return d.directory.Load() }

// Tell implements lister.Listener and target.ReportListener.
func (d *dispatcherRef) Tell(message any) { d.ref.Tell(message) }

// startDispatcher starts the task. The prober is set later by a setProber
// message, since it needs the reference to the dispatcher.
func startDispatcher(ctx context.Context, system *tasks.System, d *dispatcher) (*dispatcherRef, error) {
	emptyTable, err := locate.NewTable(nil)
	if err != nil {
		return nil, fmt.Errorf("empty zone table: %w", err)
	}
	d.ctx, d.zoneTable = ctx, emptyTable
	d.released = make(map[state.RoleName]ident.Epoch)
	d.directory = new(atomic.Pointer[locate.Directory])
	d.directory.Store(locate.NewDirectory(emptyTable, nil, nil, d.ttl))
	ref, err := tasks.Spawn(ctx, system, "node-hub", d)
	if err != nil {
		return nil, fmt.Errorf("start dispatcher: %w", err)
	}
	tasks.Every(ctx, d.clock, drainCheckInterval, ref, drainCheck{})
	return &dispatcherRef{ref: ref, directory: d.directory}, nil
}

// setProber sets the prober of targets.
type setProber struct{ prober *target.Prober }

// Handle implements tasks.Task.
func (d *dispatcher) Handle(message any) {
	switch m := message.(type) {
	case setProber:
		d.prober = m.prober
	case route.View:
		d.viewChanged(m)
	case lister.List:
		d.list = m
		if m.Received() && m.Changes() != d.listChanges {
			d.listChanges = m.Changes()
			d.setTargets()
		}
	case target.Report:
		d.observeReport(m)
	case drainCheck:
		// A drain begins and ends by time, without a change of the view.
		d.setTargets()
	}
}

// viewChanged distributes the members and the lease at each poll, and the
// configuration if its revision has changed.
func (d *dispatcher) viewChanged(view route.View) {
	d.view = view
	d.queueReleases(view.Config())
	members := d.members(view)
	d.peers.Update(members)
	d.rateHolder.Update(members)
	d.rateOwners.Update(members)
	d.slotOwner.Update(members)
	d.slotClient.Update(members)
	d.proposeReleases()
	if view.Config().Revision() == d.revision {
		return
	}
	d.revision = view.Config().Revision()
	d.configChanged(view.Config())
}

// queueReleases marks the roles that this host should release to others. They
// are missing from the members that viewChanged distributes next, so the tasks
// of this host stop acting in a role before its release is proposed.
func (d *dispatcher) queueReleases(config *state.Config) {
	for _, r := range plan.Releases(config, d.self.Host(), d.self.Incarnation()) {
		if d.released[r.Name()] == r.Epoch() {
			continue
		}
		d.released[r.Name()] = r.Epoch()
		d.pendingReleases = append(d.pendingReleases, r)
	}
}

// proposeReleases proposes the queued releases to the control hosts.
func (d *dispatcher) proposeReleases() {
	for _, r := range d.pendingReleases {
		go func() {
			ctx, cancel := context.WithTimeout(d.ctx, roleReleaseTimeout)
			defer cancel()
			// The epoch fences the role, so a duplicate proposal is harmless. If
			// no control host responds, the role moves when the lease expires.
			_, _ = d.control.Propose(ctx, state.NewAssignRole(r.Name(), "", r.Epoch()+1))
		}()
	}
	d.pendingReleases = nil
}

// members returns the members of the view. The lists are rebuilt only when the
// revision or the number of released roles changes; other polls only renew the
// lease.
func (d *dispatcher) members(view route.View) entry.Members {
	if d.cachedMembers.Revision() == view.Config().Revision() && d.cachedReleases == len(d.released) {
		return d.cachedMembers.WithLeases(view.FreshUntil(), view.RoleLeaseUntil())
	}
	d.cachedMembers, d.cachedReleases = d.buildMembers(view), len(d.released)
	return d.cachedMembers.WithLeases(view.FreshUntil(), view.RoleLeaseUntil())
}

func (d *dispatcher) buildMembers(view route.View) entry.Members {
	var members []entry.Member
	for _, m := range view.Config().Members() {
		members = append(members, entry.NewMember(m.Host(), m.Incarnation(), m.Region(), m.PeerAddress()))
	}
	roles := make(map[entry.Role]entry.Assignment)
	for _, r := range view.Config().Roles() {
		if !r.Vacant() && d.released[r.Name()] != r.Epoch() {
			roles[entry.Role(r.Name())] = entry.NewAssignment(r.Host(), r.Incarnation(), r.Epoch())
		}
	}
	return entry.NewMembers(d.self.Host(), d.self.Incarnation(), view.Config().Revision(), view.FreshUntil(), members, roles)
}

func (d *dispatcher) configChanged(config *state.Config) {
	limits := make(map[ident.Team]limit.Limit)
	for _, t := range config.Teams() {
		if l, err := limit.New(t.Rate(), float64(t.Burst())); err == nil {
			limits[t.Team()] = l
		}
	}
	rateLimits := entry.NewRateLimits(plan.RateShards, limits)
	d.rateHolder.SetLimits(rateLimits)
	d.rateOwners.SetLimits(rateLimits)
	var marks []guard.Mark
	for _, s := range config.Suspects() {
		marks = append(marks, guard.NewMark(s.Fingerprint(), s.Crashes(), s.Until()))
	}
	d.slotOwner.ImportMarks(marks)
	d.picker.configChanged(config)
	d.setDirectory(config)
	d.setServices(config)
	d.setTargets()
}

// setDirectory builds the directory that lookups read. Leaving hosts are
// omitted at once; they continue to serve until cached responses have expired.
func (d *dispatcher) setDirectory(config *state.Config) {
	fleet, ok := config.Fleet()
	if !ok {
		return
	}
	if fleet != d.fleet {
		d.fleet, d.zoneTable = fleet, buildZoneTable(fleet, d.zoneTable)
	}
	regions := make(map[ident.Zone]ident.Region)
	for _, r := range fleet.Regions() {
		for _, z := range r.Zones() {
			regions[z] = r.Name()
		}
	}
	var hosts []locate.Host
	for _, m := range config.Members() {
		if m.Live() {
			hosts = append(hosts, locate.NewHost(m.Host(), m.Zone(), m.Region(), m.CallerAddress()))
		}
	}
	d.directory.Store(locate.NewDirectory(d.zoneTable, regions, hosts, d.ttl))
}

// buildZoneTable builds the table of client blocks. It returns the previous table
// if a block is invalid, which validation of the document should exclude.
func buildZoneTable(fleet *prof.Fleet, previous *locate.Table) *locate.Table {
	var blocks []locate.Block
	for _, b := range fleet.Blocks() {
		prefix, err := netip.ParsePrefix(b.CIDR())
		if err != nil {
			return previous
		}
		blocks = append(blocks, locate.NewBlock(prefix, b.Zone()))
	}
	table, err := locate.NewTable(blocks)
	if err != nil {
		return previous
	}
	return table
}

func (d *dispatcher) setServices(config *state.Config) {
	var services []steer.Service
	for _, s := range config.Services() {
		headroom := 0.0
		if p, ok := config.Profile(s.Profile()); ok {
			headroom = p.Headroom()
		}
		services = append(services, steer.NewService(s.Service(), headroom, s.SlowStart(), steer.WithTimeout(s.Timeout())))
	}
	for _, r := range regionNames(config) {
		d.slotOwner.SetServices(r, services)
	}
}

func regionNames(config *state.Config) []ident.Region {
	fleet, ok := config.Fleet()
	if !ok {
		return nil
	}
	var out []ident.Region
	for _, r := range fleet.Regions() {
		out = append(out, r.Name())
	}
	return out
}

// setTargets distributes the platform list to the slot owner and the prober.
// Only targets of regions whose slots this host owns are probed.
func (d *dispatcher) setTargets() {
	if d.view.Config() == nil || !d.list.Received() {
		return
	}
	now := d.clock.Now()
	byRegion := make(map[ident.Region][]steer.Target)
	drained := make(map[ident.Region]ident.Set[ident.Target])
	d.targetRegions = make(map[ident.Target]ident.Region)
	var endpoints []target.Endpoint
	members := d.members(d.view)
	for _, t := range d.list.Targets() {
		d.targetRegions[t.ID()] = t.Region()
		byRegion[t.Region()] = append(byRegion[t.Region()], steer.NewTarget(
			t.ID(), t.Service(), t.Address(), t.Zone(), t.Slots(), steer.State(t.State())))
		if plan.IsDrained(d.view.Config(), plan.NewTarget(
			t.ID(), t.Service(), t.Zone(), t.Region(), t.Slots(), t.State() == lister.Live), now) {
			if drained[t.Region()].Len() == 0 {
				drained[t.Region()] = ident.NewSet[ident.Target]()
			}
			drained[t.Region()].Add(t.ID())
		}
		if _, owns := members.Owns(entry.SlotRole(t.Region()), now); owns {
			endpoints = append(endpoints, target.NewEndpoint(t.ID(), t.Address()))
		}
	}
	for _, r := range regionNames(d.view.Config()) {
		d.slotOwner.SetTargets(r, byRegion[r])
		d.slotOwner.SetDrains(r, drained[r])
	}
	if d.prober != nil {
		d.prober.SetEndpoints(endpoints)
	}
}

// observeReport passes a probe report with a known health to the slot owner.
func (d *dispatcher) observeReport(r target.Report) {
	region, ok := d.targetRegions[r.Target()]
	if !ok {
		return
	}
	now := d.clock.Now()
	health, known := r.Health()
	if !known {
		return
	}
	load := 0.0
	var options []steer.ProbeReportOption
	if slots, busy, queued, ok := r.Load(); ok && slots > 0 {
		load = float64(busy) / float64(slots)
		if busy+queued == 0 {
			options = append(options, steer.WithIdleAt(now.Add(-r.LoadAge(now))))
		}
	}
	d.slotOwner.Observe(region, steer.NewProbeReport(r.Target(), now.Add(-r.HealthAge(now)), health == target.Ready || health == target.Leaving, load,
		health == target.Leaving, options...))
}
