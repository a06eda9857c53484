package entry

import (
	"context"
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/steer"
	"rhubarbrack/tasks"
)

// slotInputs is the latest word on a region. It is kept while another host
// owns the region, so that this one can take over at once.
type slotInputs struct {
	targets  []steer.Target
	listed   bool
	services []steer.Service
	capacity int
	drains   ident.Set[ident.Target]
}

// ownedSlots is a region that this host owns.
type ownedSlots struct {
	epoch   ident.Epoch
	pool    *steer.Pool
	guard   *guard.Guard
	waiting map[steer.AskID]tasks.Reply[SlotAcquireReply]
	holders map[ident.Host]ident.Incarnation
	// silent is the predecessor whose report is not waited for.
	silent ident.Option[steer.Holder]
}

// slotOwnerTask is the task behind SlotOwner.
type slotOwnerTask struct {
	ctx     context.Context
	self    *tasks.Ref
	options slotOptions
	members Members
	// former is what members was before the latest change.
	former  Members
	inputs  map[ident.Region]*slotInputs
	owned   map[ident.Region]*ownedSlots
	marks   []guard.Mark
	marking slotMarking
}

var (
	_ tasks.Task    = (*slotOwnerTask)(nil)
	_ tasks.Stopper = (*slotOwnerTask)(nil)
)

func newSlotOwnerTask(ctx context.Context, marker MarkReplicator, o slotOptions) *slotOwnerTask {
	return &slotOwnerTask{
		ctx: ctx, options: o,
		inputs:  map[ident.Region]*slotInputs{},
		owned:   map[ident.Region]*ownedSlots{},
		marking: slotMarking{marker: marker},
	}
}

// Handle implements tasks.Task.
func (t *slotOwnerTask) Handle(message any) {
	now := t.options.clock.Now()
	switch m := message.(type) {
	case slotSelf:
		t.self = m.ref
	case MembersChanged:
		t.former, t.members = t.members, m.Members()
		t.follow(now)
	case slotTicked:
		t.tick(now)
	case slotAcquire:
		t.acquire(now, m)
	case slotRelease:
		t.release(now, m)
	case slotOpen:
		t.report(now, m)
	case slotStatusOf:
		m.reply.Send(t.status(m.region))
	case slotMarked:
		t.marked(now, m.err)
	case slotMarks:
		t.importMarks(m.marks)
	default:
		t.input(now, message)
	}
}

// Stop implements tasks.Stopper. Waiting calls end with the task.
func (t *slotOwnerTask) Stop() {
	for _, o := range t.owned {
		o.dismiss()
	}
}

// input keeps the latest word on a region and passes it to its pool.
func (t *slotOwnerTask) input(now time.Time, message any) {
	switch m := message.(type) {
	case slotTargets:
		in := t.inputsOf(m.region)
		in.targets, in.listed = m.targets, true
		t.apply(now, m.region, func(p *steer.Pool) []steer.Decision { return p.SetTargets(now, m.targets) })
	case slotServices:
		t.inputsOf(m.region).services = m.services
		t.apply(now, m.region, func(p *steer.Pool) []steer.Decision { return p.SetServices(now, m.services) })
	case slotCapacity:
		t.inputsOf(m.region).capacity = m.capacity
		t.apply(now, m.region, func(p *steer.Pool) []steer.Decision { return p.SetCapacity(now, m.capacity) })
	case slotDrains:
		t.inputsOf(m.region).drains = m.drains
		t.apply(now, m.region, func(p *steer.Pool) []steer.Decision { return p.SetDrains(now, m.drains) })
	case slotReports:
		t.apply(now, m.region, func(p *steer.Pool) []steer.Decision { return p.Observe(now, m.reports...) })
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

// apply changes the pool of a region and answers what the change decides.
// Without a fresh lease the pool grants nothing.
func (t *slotOwnerTask) apply(now time.Time, r ident.Region, change func(*steer.Pool) []steer.Decision) {
	if o, ok := t.owned[r]; ok {
		if t.acts(r, o, now) {
			o.pool.Resume()
		} else {
			o.pool.Suspend()
		}
		t.answer(o, change(o.pool))
		t.replicate(now, o)
	}
}

// acts reports whether this host may grant slots of the region at now.
func (t *slotOwnerTask) acts(r ident.Region, o *ownedSlots, now time.Time) bool {
	e, ok := t.members.Owns(SlotRole(r), now)
	return ok && e == o.epoch
}

func (t *slotOwnerTask) answer(o *ownedSlots, decisions []steer.Decision) {
	for _, d := range decisions {
		if reply, ok := o.waiting[d.ID()]; ok {
			delete(o.waiting, d.ID())
			reply.Send(decisionRecord(d, o.epoch))
		}
	}
}

// dismiss sends all waiting callers to another owner.
func (o *ownedSlots) dismiss() {
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
