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

// roleReleaseTimeout bounds the word to the control hosts that a role is given up.
const roleReleaseTimeout = 5 * time.Second

// drainCheckInterval bounds how late a drain takes effect after its start.
const drainCheckInterval = 250 * time.Millisecond

type drainCheck struct{}

// dispatcher is the task of an entry host that passes each new view, the platform's
// list and the reports of probes on to the tasks that act on them.
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
	// released holds the epochs of the roles that this host has given up.
	released        map[state.RoleName]ident.Epoch
	pendingReleases []state.Role
	// cachedMembers holds the members of the latest revision, listed with as many
	// released roles.
	cachedMembers  entry.Members
	cachedReleases int
}

var _ tasks.Task = (*dispatcher)(nil)

// dispatcherRef is the hub as other tasks see it.
type dispatcherRef struct {
	ref       *tasks.Ref
	directory *atomic.Pointer[locate.Directory]
}

var (
	_ ctrl.ViewListener      = (*dispatcherRef)(nil)
	_ caller.DirectorySource = (*dispatcherRef)(nil)
	_ lister.Sink            = (*dispatcherRef)(nil)
	_ target.ReportListener  = (*dispatcherRef)(nil)
)

// ViewChanged implements ctrl.ViewSink.
func (h *dispatcherRef) ViewChanged(view route.View) { h.ref.Tell(view) }

// Directory implements caller.Directories.
func (h *dispatcherRef) Directory() *locate.Directory { return h.directory.Load() }

// Tell implements lister.Sink and target.ReportSink.
func (h *dispatcherRef) Tell(message any) { h.ref.Tell(message) }

// startDispatcher starts the task. The probe is set by useProbe.
func startDispatcher(ctx context.Context, system *tasks.System, h *dispatcher) (*dispatcherRef, error) {
	empty, err := locate.NewTable(nil)
	if err != nil {
		return nil, fmt.Errorf("empty table: %w", err)
	}
	h.ctx, h.zoneTable = ctx, empty
	h.released = make(map[state.RoleName]ident.Epoch)
	h.directory = new(atomic.Pointer[locate.Directory])
	h.directory.Store(locate.NewDirectory(empty, nil, nil, h.ttl))
	ref, err := tasks.Spawn(ctx, system, "node-hub", h)
	if err != nil {
		return nil, fmt.Errorf("start hub: %w", err)
	}
	tasks.Every(ctx, h.clock, drainCheckInterval, ref, drainCheck{})
	return &dispatcherRef{ref: ref, directory: h.directory}, nil
}

// setProber gives the hub the probe of targets.
type setProber struct{ prober *target.Prober }

// Handle implements tasks.Task.
func (h *dispatcher) Handle(message any) {
	switch m := message.(type) {
	case setProber:
		h.prober = m.prober
	case route.View:
		h.viewChanged(m)
	case lister.List:
		h.list = m
		if m.Received() && m.Changes() != h.listChanges {
			h.listChanges = m.Changes()
			h.setTargets()
		}
	case target.Report:
		h.observeReport(m)
	case drainCheck:
		// A drain begins and ends by time, without a change of the view.
		h.setTargets()
	}
}

// viewChanged passes the members and the lease on with each poll, and the
// configuration when its revision has changed.
func (h *dispatcher) viewChanged(view route.View) {
	h.view = view
	h.queueReleases(view.Config())
	members := h.members(view)
	h.peers.Update(members)
	h.rateHolder.Update(members)
	h.rateOwners.Update(members)
	h.slotOwner.Update(members)
	h.slotClient.Update(members)
	h.proposeReleases()
	if view.Config().Revision() == h.revision {
		return
	}
	h.revision = view.Config().Revision()
	h.configChanged(view.Config())
}

// queueReleases gives up roles that other hosts should have. The tasks of this host
// stop acting for them with the next members that they get, which is before
// the control hosts learn of it.
func (h *dispatcher) queueReleases(config *state.Config) {
	for _, r := range plan.Releases(config, h.self.Host(), h.self.Incarnation()) {
		if h.released[r.Name()] == r.Epoch() {
			continue
		}
		h.released[r.Name()] = r.Epoch()
		h.pendingReleases = append(h.pendingReleases, r)
	}
}

// proposeReleases tells the control hosts what this host has given up.
func (h *dispatcher) proposeReleases() {
	for _, r := range h.pendingReleases {
		go func() {
			ctx, cancel := context.WithTimeout(h.ctx, roleReleaseTimeout)
			defer cancel()
			// The role is fenced by its epoch, so a repetition does no harm. If
			// no control host answers, the role moves when the lease ends.
			_, _ = h.control.Propose(ctx, state.NewAssignRole(r.Name(), "", r.Epoch()+1))
		}()
	}
	h.pendingReleases = nil
}

// members returns the members of the view. The lists are built once for each
// revision and set of released roles; a poll that brings nothing new only
// renews the lease.
func (h *dispatcher) members(view route.View) entry.Members {
	if h.cachedMembers.Revision() == view.Config().Revision() && h.cachedReleases == len(h.released) {
		return h.cachedMembers.WithLeases(view.FreshUntil(), view.RoleLeaseUntil())
	}
	h.cachedMembers, h.cachedReleases = h.buildMembers(view), len(h.released)
	return h.cachedMembers.WithLeases(view.FreshUntil(), view.RoleLeaseUntil())
}

func (h *dispatcher) buildMembers(view route.View) entry.Members {
	var members []entry.Member
	for _, m := range view.Config().Members() {
		members = append(members, entry.NewMember(m.Host(), m.Incarnation(), m.Region(), m.PeerAddress()))
	}
	roles := make(map[entry.Role]entry.Assignment)
	for _, r := range view.Config().Roles() {
		if !r.Vacant() && h.released[r.Name()] != r.Epoch() {
			roles[entry.Role(r.Name())] = entry.NewAssignment(r.Host(), r.Incarnation(), r.Epoch())
		}
	}
	return entry.NewMembers(h.self.Host(), h.self.Incarnation(), view.Config().Revision(), view.FreshUntil(), members, roles)
}

func (h *dispatcher) configChanged(config *state.Config) {
	limits := make(map[ident.Team]limit.Limit)
	for _, t := range config.Teams() {
		if l, err := limit.New(t.Rate(), float64(t.Burst())); err == nil {
			limits[t.Team()] = l
		}
	}
	rateLimits := entry.NewRateLimits(plan.RateShards, limits)
	h.rateHolder.SetLimits(rateLimits)
	h.rateOwners.SetLimits(rateLimits)
	var marks []guard.Mark
	for _, s := range config.Suspects() {
		marks = append(marks, guard.NewMark(s.Fingerprint(), s.Crashes(), s.Until()))
	}
	h.slotOwner.ImportMarks(marks)
	h.picker.configChanged(config)
	h.setDirectory(config)
	h.setServices(config)
	h.setTargets()
}

// setDirectory builds the answers to look-ups. Leaving hosts are left out at
// once; they go on serving until cached answers have run out.
func (h *dispatcher) setDirectory(config *state.Config) {
	fleet, ok := config.Fleet()
	if !ok {
		return
	}
	if fleet != h.fleet {
		h.fleet, h.zoneTable = fleet, buildZoneTable(fleet, h.zoneTable)
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
	h.directory.Store(locate.NewDirectory(h.zoneTable, regions, hosts, h.ttl))
}

// buildZoneTable builds the table of client blocks. The document was checked, so that
// the former table remains only if a block is malformed all the same.
func buildZoneTable(fleet *prof.Fleet, former *locate.Table) *locate.Table {
	var blocks []locate.Block
	for _, b := range fleet.Blocks() {
		prefix, err := netip.ParsePrefix(b.CIDR())
		if err != nil {
			return former
		}
		blocks = append(blocks, locate.NewBlock(prefix, b.Zone()))
	}
	table, err := locate.NewTable(blocks)
	if err != nil {
		return former
	}
	return table
}

func (h *dispatcher) setServices(config *state.Config) {
	var services []steer.Service
	for _, s := range config.Services() {
		headroom := 0.0
		if p, ok := config.Profile(s.Profile()); ok {
			headroom = p.Headroom()
		}
		services = append(services, steer.NewService(s.Service(), headroom, s.SlowStart(), steer.WithTimeout(s.Timeout())))
	}
	for _, r := range regionNames(config) {
		h.slotOwner.SetServices(r, services)
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

// setTargets passes the platform's list on to the slot owner and the probe.
// Only targets of regions that this host owns are probed.
func (h *dispatcher) setTargets() {
	if h.view.Config() == nil || !h.list.Received() {
		return
	}
	now := h.clock.Now()
	byRegion := make(map[ident.Region][]steer.Target)
	drained := make(map[ident.Region]ident.Set[ident.Target])
	h.targetRegions = make(map[ident.Target]ident.Region)
	var endpoints []target.Endpoint
	members := h.members(h.view)
	for _, t := range h.list.Targets() {
		h.targetRegions[t.ID()] = t.Region()
		byRegion[t.Region()] = append(byRegion[t.Region()], steer.NewTarget(
			t.ID(), t.Service(), t.Address(), t.Zone(), t.Slots(), steer.State(t.State())))
		if plan.IsDrained(h.view.Config(), plan.NewTarget(
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
	for _, r := range regionNames(h.view.Config()) {
		h.slotOwner.SetTargets(r, byRegion[r])
		h.slotOwner.SetDrains(r, drained[r])
	}
	if h.prober != nil {
		h.prober.SetEndpoints(endpoints)
	}
}

// observeReport passes a probe's report on to the slot owner.
func (h *dispatcher) observeReport(r target.Report) {
	region, ok := h.targetRegions[r.Target()]
	if !ok {
		return
	}
	now := h.clock.Now()
	health, known := r.Health()
	if !known {
		return
	}
	load := 0.0
	var list []steer.ProbeReportOption
	if slots, busy, queued, ok := r.Load(); ok && slots > 0 {
		load = float64(busy) / float64(slots)
		if busy+queued == 0 {
			list = append(list, steer.WithIdleAt(now.Add(-r.LoadAge(now))))
		}
	}
	h.slotOwner.Observe(region, steer.NewProbeReport(r.Target(), now.Add(-r.HealthAge(now)), health == target.Ready || health == target.Leaving, load,
		health == target.Leaving, list...))
}
