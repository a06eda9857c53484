package entry

import (
	"context"
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/steer"
	"rhubarbrack/tasks"
)

// slotInputs contains the latest inputs for a region. They are kept while
// another host owns the region, so that this host can take over at once.
type slotInputs struct {
	targets    []steer.Target
	hasTargets bool
	services   []steer.Service
	capacity   int
	drains     ident.Set[ident.Target]
}

// ownedRegion is the state of a region whose slots this host owns.
type ownedRegion struct {
	epoch   ident.Epoch
	pool    *steer.Pool
	guard   *guard.Guard
	waiting map[steer.SlotRequestID]tasks.Reply[SlotAcquireReply]
	holders map[ident.Host]ident.Incarnation
	// silentPredecessor is the former owner whose report is not waited for.
	silentPredecessor ident.Option[steer.Holder]
}

// slotOwnerTask is the task behind SlotOwner.
type slotOwnerTask struct {
	ctx     context.Context
	self    *tasks.Ref
	options slotOptions
	members Members
	// previousMembers is the value of members before the latest change.
	previousMembers Members
	inputs          map[ident.Region]*slotInputs
	owned           map[ident.Region]*ownedRegion
	marks           []guard.Mark
	replication     markReplication
}

var (
	_ tasks.Task    = (*slotOwnerTask)(nil)
	_ tasks.Stopper = (*slotOwnerTask)(nil)
)

func newSlotOwnerTask(ctx context.Context, replicator MarkReplicator, o slotOptions) *slotOwnerTask {
	return &slotOwnerTask{
		ctx: ctx, options: o,
		inputs:      map[ident.Region]*slotInputs{},
		owned:       map[ident.Region]*ownedRegion{},
		replication: markReplication{replicator: replicator},
	}
}

// Handle implements tasks.Task.
func (t *slotOwnerTask) Handle(message any) {
	now := t.options.clock.Now()
	switch m := message.(type) {
	case slotSelf:
		t.self = m.ref
	case MembersChanged:
		t.previousMembers, t.members = t.members, m.Members()
		t.applyMembers(now)
	case slotTicked:
		t.tick(now)
	case slotAcquire:
		t.acquire(now, m)
	case slotRelease:
		t.release(now, m)
	case slotOpen:
		t.recoverHoldings(now, m)
	case slotStatusRequest:
		m.reply.Send(t.status(m.region))
	case slotMarksReplicated:
		t.replicationDone(now, m.err)
	case slotMarks:
		t.importMarks(m.marks)
	default:
		t.applyInput(now, message)
	}
}

// Stop implements tasks.Stopper. Callers whose requests wait get a reply when
// the task stops.
func (t *slotOwnerTask) Stop() {
	for _, o := range t.owned {
		o.rejectWaiting()
	}
}

// applyInput stores an input of a region and passes it to the region's pool.
func (t *slotOwnerTask) applyInput(now time.Time, message any) {
	switch m := message.(type) {
	case slotTargets:
		in := t.inputsOf(m.region)
		in.targets, in.hasTargets = m.targets, true
		t.updatePool(now, m.region, func(p *steer.Pool) []steer.Decision { return p.SetTargets(now, m.targets) })
	case slotServices:
		t.inputsOf(m.region).services = m.services
		t.updatePool(now, m.region, func(p *steer.Pool) []steer.Decision { return p.SetServices(now, m.services) })
	case slotCapacity:
		t.inputsOf(m.region).capacity = m.capacity
		t.updatePool(now, m.region, func(p *steer.Pool) []steer.Decision { return p.SetCapacity(now, m.capacity) })
	case slotDrains:
		t.inputsOf(m.region).drains = m.drains
		t.updatePool(now, m.region, func(p *steer.Pool) []steer.Decision { return p.SetDrains(now, m.drains) })
	case slotReports:
		t.updatePool(now, m.region, func(p *steer.Pool) []steer.Decision { return p.Observe(now, m.reports...) })
	}
}

func (t *slotOwnerTask) inputsOf(r ident.Region) *slotInputs {
	in, ok := t.inputs[r]
	if !ok {
		in = &slotInputs{}
		t.inputs[r] = in
	}
	return in
}

// updatePool applies a change to the pool of a region and replies to the
// requests that the change decides. Without a valid role lease the pool grants
// nothing.
func (t *slotOwnerTask) updatePool(now time.Time, r ident.Region, change func(*steer.Pool) []steer.Decision) {
	if o, ok := t.owned[r]; ok {
		if t.canGrant(r, o, now) {
			o.pool.Resume()
		} else {
			o.pool.Suspend()
		}
		t.replyDecided(o, change(o.pool))
		t.replicateMarks(now, o)
	}
}

// canGrant reports whether this host may grant slots of the region at now.
func (t *slotOwnerTask) canGrant(r ident.Region, o *ownedRegion, now time.Time) bool {
	e, ok := t.members.Owns(SlotRole(r), now)
	return ok && e == o.epoch
}

// replyDecided replies to the waiting callers of the decided requests.
func (t *slotOwnerTask) replyDecided(o *ownedRegion, decisions []steer.Decision) {
	for _, d := range decisions {
		if reply, ok := o.waiting[d.ID()]; ok {
			delete(o.waiting, d.ID())
			reply.Send(acquireReply(d, o.epoch))
		}
	}
}

// rejectWaiting replies to all waiting callers that this host is not the
// owner, which sends them to another one.
func (o *ownedRegion) rejectWaiting() {
	for id, reply := range o.waiting {
		delete(o.waiting, id)
		reply.Send(SlotAcquireReply{Status: statusNotOwner})
	}
}

func (t *slotOwnerTask) status(r ident.Region) SlotStatus {
	o, ok := t.owned[r]
	if !ok {
		return SlotStatus{}
	}
	return SlotStatus{
		epoch: o.epoch, open: o.pool.IsOpen(), inFlight: o.pool.InFlight(), waiting: o.pool.Waiting(),
	}
}
