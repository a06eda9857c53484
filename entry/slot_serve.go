package entry

import (
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/steer"
	"rhubarbrack/tasks"
)

// applyMembers takes over and releases regions as the view assigns them, and
// frees the grants of processes that have ended.
func (t *slotOwnerTask) applyMembers(now time.Time) {
	for r, o := range t.owned {
		a, ok := t.members.Role(SlotRole(r))
		if !ok || a.Host() != t.members.Self() || a.Incarnation() != t.members.Incarnation() || a.Epoch() != o.epoch {
			o.rejectWaiting()
			delete(t.owned, r)
			t.options.log.Info("entry: released the slots of a region", "region", r, "epoch", o.epoch)
		}
	}
	for role, a := range t.members.roles {
		r, ok := role.Region()
		if _, owned := t.owned[r]; !ok || owned {
			continue
		}
		if e, owns := t.members.Owns(role, now); owns {
			t.takeOver(now, r, e, t.predecessor(role, a))
			t.options.log.Info("entry: took over the slots of a region", "region", r, "epoch", a.Epoch())
		}
	}
	for r, o := range t.owned {
		t.updateHolders(now, r, o)
	}
}

// predecessor returns the process that lost the role because it had stopped
// responding. A process that gave the role up itself left it vacant for one
// epoch.
func (t *slotOwnerTask) predecessor(role Role, a Assignment) ident.Option[steer.Holder] {
	former, ok := t.previousMembers.Role(role)
	if !ok || former.Epoch()+1 != a.Epoch() {
		return ident.None[steer.Holder]()
	}
	return ident.Some(steer.NewHolder(former.Host(), former.Incarnation()))
}

// takeOver starts with a closed pool that has the latest inputs. A holder that
// is cut off keeps the pool closed at most for the timeouts of the services.
// The report of a predecessor that stopped responding is not waited for, like
// that of a process whose membership has ended: usually the process has ended,
// and its requests with it.
func (t *slotOwnerTask) takeOver(now time.Time, r ident.Region, e ident.Epoch, silent ident.Option[steer.Holder]) {
	g := guard.New()
	g.Import(t.marks)
	o := &ownedRegion{
		epoch: e, guard: g, pool: steer.New(r, steer.WithCrashGuard(g), steer.WithTakeoverTime(now)),
		waiting:           map[steer.SlotRequestID]tasks.Reply[SlotAcquireReply]{},
		holders:           map[ident.Host]ident.Incarnation{},
		silentPredecessor: silent,
	}
	in := t.inputsOf(r)
	o.pool.SetServices(now, in.services)
	o.pool.SetCapacity(now, in.capacity)
	if in.hasTargets {
		o.pool.SetTargets(now, in.targets)
	}
	if in.drains.Len() > 0 {
		o.pool.SetDrains(now, in.drains)
	}
	t.owned[r] = o
}

// updateHolders expects reports of all members and frees the grants of
// processes that are no longer members.
func (t *slotOwnerTask) updateHolders(now time.Time, r ident.Region, o *ownedRegion) {
	current := make(map[ident.Host]ident.Incarnation, len(o.holders))
	expected := make([]steer.Holder, 0, len(t.members.All()))
	for _, m := range t.members.All() {
		current[m.Host()] = m.Incarnation()
		holder := steer.NewHolder(m.Host(), m.Incarnation())
		if silent, ok := o.silentPredecessor.Get(); ok && silent == holder {
			continue
		}
		expected = append(expected, holder)
	}
	for h, i := range o.holders {
		if current[h] != i {
			t.updatePool(now, r, func(p *steer.Pool) []steer.Decision { return p.ExpireProcess(now, h, i) })
		}
	}
	o.holders = current
	o.pool.ExpectHolders(expected)
	t.updatePool(now, r, func(p *steer.Pool) []steer.Decision { return p.TryOpen(now) })
}

// tick expires waiting requests and suspects, and retries the replication of
// marks.
func (t *slotOwnerTask) tick(now time.Time) {
	for r, o := range t.owned {
		t.updatePool(now, r, func(p *steer.Pool) []steer.Decision { return p.Tick(now) })
		o.guard.Expire(now)
	}
	t.retryReplication(now)
}

// regionFor returns the region when this host owns it and the holder is a
// member. A holder that is not in the view yet has to retry: if it ended
// before the view included it, nothing would free its grants.
func (t *slotOwnerTask) regionFor(now time.Time, region string, h SlotHolder) (*ownedRegion, bool) {
	o, ok := t.owned[ident.Region(region)]
	if !ok {
		return nil, false
	}
	m, ok := t.members.Member(ident.Host(h.Host))
	if !ok || uint64(m.Incarnation()) != h.Incarnation {
		return nil, false
	}
	return o, t.canGrant(ident.Region(region), o, now)
}

func (t *slotOwnerTask) acquire(now time.Time, m slotAcquire) {
	o, ok := t.regionFor(now, m.args.Region, m.args.Holder)
	if !ok {
		m.reply.Send(SlotAcquireReply{Status: statusNotOwner})
		return
	}
	id := m.args.id()
	if earlier, ok := o.waiting[id]; ok {
		// The holder retried the call and reads only the last reply.
		earlier.Send(SlotAcquireReply{Status: statusNotOwner})
		delete(o.waiting, id)
	}
	o.pool.Resume()
	d := o.pool.Acquire(now, m.args.request(now))
	if _, queued := d.(steer.Queued); queued {
		o.waiting[id] = m.reply
		return
	}
	m.reply.Send(acquireReply(d, o.epoch))
}

func (t *slotOwnerTask) release(now time.Time, m slotRelease) {
	r := ident.Region(m.args.Region)
	o, ok := t.owned[r]
	if !ok {
		m.reply.Send(SlotReply{Status: statusNotOwner})
		return
	}
	id := m.args.id()
	if waiting, ok := o.waiting[id]; ok {
		waiting.Send(SlotAcquireReply{Status: statusRefused, Epoch: uint64(o.epoch), Reason: string(steer.ReasonAbandoned)})
		delete(o.waiting, id)
	}
	t.updatePool(now, r, func(p *steer.Pool) []steer.Decision { return p.Release(now, id, m.args.result()) })
	if steer.Outcome(m.args.Ending) == steer.OutcomeCrashed {
		t.replication.replyWhenReplicated(m.reply)
		return
	}
	m.reply.Send(SlotReply{Status: statusDone})
}

// recoverHoldings handles the report of a member. The epochs must match: the
// holder discards grants of earlier epochs from its report on, and only then
// can this owner rely on the report being complete.
func (t *slotOwnerTask) recoverHoldings(now time.Time, m slotOpen) {
	r := ident.Region(m.args.Region)
	o, ok := t.regionFor(now, m.args.Region, m.args.Holder)
	if !ok || uint64(o.epoch) != m.args.Epoch {
		m.reply.Send(SlotReply{Status: statusNotOwner})
		return
	}
	t.updatePool(now, r, func(p *steer.Pool) []steer.Decision { return p.ApplyHoldings(now, m.args.holdings()) })
	if !o.pool.IsOpen() {
		t.updatePool(now, r, func(p *steer.Pool) []steer.Decision { return p.TryOpen(now) })
	}
	m.reply.Send(SlotReply{Status: statusDone})
}
