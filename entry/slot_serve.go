package entry

import (
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/steer"
	"rhubarbrack/tasks"
)

// follow takes over and gives up regions as the view says, and lapses the
// processes that have ended.
func (t *slotOwnerTask) follow(now time.Time) {
	for r, o := range t.owned {
		a, ok := t.members.Role(SlotRole(r))
		if !ok || a.Host() != t.members.Self() || a.Incarnation() != t.members.Incarnation() || a.Epoch() != o.epoch {
			o.dismiss()
			delete(t.owned, r)
			t.options.log.Info("entry: gave up the slots of a region", "region", r, "epoch", o.epoch)
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
		t.followHolders(now, r, o)
	}
}

// predecessor returns the process that a role was taken from because it had
// fallen silent. One that gave the role up itself left it vacant for an epoch.
func (t *slotOwnerTask) predecessor(role Role, a Assignment) ident.Option[steer.Holder] {
	former, ok := t.former.Role(role)
	if !ok || former.Epoch()+1 != a.Epoch() {
		return ident.None[steer.Holder]()
	}
	return ident.Some(steer.NewHolder(former.Host(), former.Incarnation()))
}

// takeOver starts with a closed pool that knows the latest inputs. A holder
// that is cut off keeps it closed for the timeouts of the services at most. A
// predecessor that has fallen silent is not waited for, like a process whose
// membership had ended before: most often it is dead and its requests with it.
func (t *slotOwnerTask) takeOver(now time.Time, r ident.Region, e ident.Epoch, silent ident.Option[steer.Holder]) {
	g := guard.New()
	g.Import(t.marks)
	o := &ownedSlots{
		epoch: e, guard: g, pool: steer.New(r, steer.WithCrashGuard(g), steer.WithTakeOver(now)),
		waiting: map[steer.SlotRequestID]tasks.Reply[SlotAcquireReply]{},
		holders: map[ident.Host]ident.Incarnation{},
		silent:  silent,
	}
	in := t.inputsOf(r)
	o.pool.SetServices(now, in.services)
	o.pool.SetCapacity(now, in.capacity)
	if in.listed {
		o.pool.SetTargets(now, in.targets)
	}
	if in.drains.Len() > 0 {
		o.pool.SetDrains(now, in.drains)
	}
	t.owned[r] = o
}

// followHolders expects reports of all members, and lapses those that are no
// members any more.
func (t *slotOwnerTask) followHolders(now time.Time, r ident.Region, o *ownedSlots) {
	current := make(map[ident.Host]ident.Incarnation, len(o.holders))
	expected := make([]steer.Holder, 0, len(t.members.All()))
	for _, m := range t.members.All() {
		current[m.Host()] = m.Incarnation()
		holder := steer.NewHolder(m.Host(), m.Incarnation())
		if silent, ok := o.silent.Get(); ok && silent == holder {
			continue
		}
		expected = append(expected, holder)
	}
	for h, i := range o.holders {
		if current[h] != i {
			t.apply(now, r, func(p *steer.Pool) []steer.Decision { return p.ExpireProcess(now, h, i) })
		}
	}
	o.holders = current
	o.pool.ExpectHolders(expected)
	t.apply(now, r, func(p *steer.Pool) []steer.Decision { return p.TryOpen(now) })
}

// tick decides on what has come due.
func (t *slotOwnerTask) tick(now time.Time) {
	for r, o := range t.owned {
		t.apply(now, r, func(p *steer.Pool) []steer.Decision { return p.Tick(now) })
		o.guard.Expire(now)
	}
	t.retryMarks(now)
}

// serves returns the region when this host owns it and knows the holder. A
// holder that the view does not name yet repeats its call: nothing would free
// its grants if it ended before the view names it.
func (t *slotOwnerTask) serves(now time.Time, region string, h SlotHolder) (*ownedSlots, bool) {
	o, ok := t.owned[ident.Region(region)]
	if !ok {
		return nil, false
	}
	m, ok := t.members.Member(ident.Host(h.Host))
	if !ok || uint64(m.Incarnation()) != h.Incarnation {
		return nil, false
	}
	return o, t.acts(ident.Region(region), o, now)
}

func (t *slotOwnerTask) acquire(now time.Time, m slotAcquire) {
	o, ok := t.serves(now, m.args.Region, m.args.Holder)
	if !ok {
		m.reply.Send(SlotAcquireReply{Status: statusNotOwner})
		return
	}
	id := m.args.id()
	if earlier, ok := o.waiting[id]; ok {
		// The holder repeated its call, and only the last one is read.
		earlier.Send(SlotAcquireReply{Status: statusNotOwner})
		delete(o.waiting, id)
	}
	o.pool.Resume()
	d := o.pool.Acquire(now, m.args.ask(now))
	if _, queued := d.(steer.Queued); queued {
		o.waiting[id] = m.reply
		return
	}
	m.reply.Send(decisionRecord(d, o.epoch))
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
	t.apply(now, r, func(p *steer.Pool) []steer.Decision { return p.Release(now, id, m.args.result()) })
	if steer.Outcome(m.args.Ending) == steer.OutcomeCrashed {
		t.marking.await(m.reply)
		return
	}
	m.reply.Send(SlotReply{Status: statusDone})
}

// report takes the holdings of a member. The epochs must agree: from its
// report on, the holder discards grants of earlier epochs, and only then may
// this owner count on the report to be complete.
func (t *slotOwnerTask) report(now time.Time, m slotOpen) {
	r := ident.Region(m.args.Region)
	o, ok := t.serves(now, m.args.Region, m.args.Holder)
	if !ok || uint64(o.epoch) != m.args.Epoch {
		m.reply.Send(SlotReply{Status: statusNotOwner})
		return
	}
	t.apply(now, r, func(p *steer.Pool) []steer.Decision { return p.ApplyHoldings(now, m.args.holdings()) })
	if !o.pool.IsOpen() {
		t.apply(now, r, func(p *steer.Pool) []steer.Decision { return p.TryOpen(now) })
	}
	m.reply.Send(SlotReply{Status: statusDone})
}
