package entry

import (
	"context"
	"sync"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/steer"
	"rhubarbrack/tasks"
)

// slotPhase is the state of one ask at its holder.
type slotPhase int

const (
	phaseWaiting slotPhase = iota
	phaseOpen
	phaseEnding
)

// slotCall is one ask, from Acquire until an owner has taken its release.
type slotCall struct {
	number  uint64
	ask     SlotRequest
	token   *slotToken
	reply   tasks.Reply[slotAnswer]
	phase   slotPhase
	calling bool
	attempt int
	// reached tells that an owner has answered, if only that it is busy.
	reached bool
	grant   SlotGrant
	since   time.Time
	result  steer.Result
	ended   []tasks.Reply[struct{}]
}

// heldRegion is what the holder knows of the owner of one region.
type heldRegion struct {
	role Assignment
	// fence is the greatest epoch that a report was sent for. Grants of
	// smaller epochs are not in that report, so they must not be used.
	fence     ident.Epoch
	accepted  ident.Epoch
	reporting bool
	dirty     bool
	sequence  uint64
	nextAt    time.Time
}

// slotClientTask is the task behind SlotClient.
type slotClientTask struct {
	ctx     context.Context
	self    *tasks.Ref
	peers   SlotPeers
	options slotOptions
	members Members
	last    uint64
	calls   map[uint64]*slotCall
	tokens  map[*slotToken]uint64
	regions map[ident.Region]*heldRegion
	// exchanges counts the goroutines of calls to owners.
	exchanges sync.WaitGroup
}

var _ tasks.Task = (*slotClientTask)(nil)

func newSlotClientTask(ctx context.Context, peers SlotPeers, o slotOptions) *slotClientTask {
	return &slotClientTask{
		ctx: ctx, peers: peers, options: o,
		calls:   map[uint64]*slotCall{},
		tokens:  map[*slotToken]uint64{},
		regions: map[ident.Region]*heldRegion{},
	}
}

// Handle implements tasks.Task.
func (t *slotClientTask) Handle(message any) {
	now := t.options.clock.Now()
	switch m := message.(type) {
	case slotSelf:
		t.self = m.ref
	case MembersChanged:
		before := t.holder()
		t.members = m.Members()
		if t.holder() != before {
			t.rejoin()
		}
		t.follow(now)
	case slotTicked:
		t.tick(now)
	case slotBegin:
		t.begin(now, m)
	case slotAbandon:
		t.abandon(now, m.token)
	case slotEnd:
		t.end(now, m)
	case slotAttempted:
		t.attempted(now, m)
	case slotReleased:
		t.released(m)
	case slotReported:
		t.reported(m)
	case slotUseOf:
		m.reply.Send(t.use())
	}
}

func (t *slotClientTask) holder() steer.Holder {
	return steer.NewHolder(t.members.Self(), t.members.Incarnation())
}

// rejoin forgets which owners have accepted a report. They count a host that
// has joined under a new incarnation as another holder, and wait for it.
func (t *slotClientTask) rejoin() {
	for _, h := range t.regions {
		h.accepted = 0
	}
}

func (t *slotClientTask) region(r ident.Region) *heldRegion {
	h, ok := t.regions[r]
	if !ok {
		h = &heldRegion{}
		t.regions[r] = h
		h.role, _ = t.members.Role(SlotRole(r))
	}
	return h
}

// follow notices new owners, reports to them first and then repeats the asks
// that wait.
func (t *slotClientTask) follow(now time.Time) {
	for role, a := range t.members.roles {
		r, ok := role.Region()
		if !ok {
			continue
		}
		h := t.region(r)
		if h.role == a && h.accepted >= a.Epoch() {
			continue
		}
		moved := h.role != a
		h.role = a
		t.report(now, r, h)
		if moved {
			t.repeat(now, r)
		}
	}
}

// repeat sends the waiting asks and the releases of a region to its new
// owner. Answers of the earlier owner are ignored from now on.
func (t *slotClientTask) repeat(now time.Time, r ident.Region) {
	for _, c := range t.calls {
		if c.ask.region == r {
			c.calling = false
			t.advance(now, c)
		}
	}
}

// tick repeats what has found no owner, refuses what has come due and reports
// what is in use.
func (t *slotClientTask) tick(now time.Time) {
	for _, c := range t.calls {
		if c.phase == phaseWaiting && now.After(c.ask.ask.Deadline().Add(slotGrace)) {
			t.giveUp(now, c, slotAnswer{err: NewSlotError(c.lateReason(), slotReportInterval)})
			continue
		}
		t.advance(now, c)
	}
	for r, h := range t.regions {
		if h.role.Epoch() > h.accepted || h.dirty && !now.Before(h.nextAt) {
			t.report(now, r, h)
		}
	}
}

func (c *slotCall) lateReason() steer.Reason {
	if c.reached {
		return steer.ReasonDeadline
	}
	return ReasonNoOwner
}

// advance makes the next call for an ask, unless one is under way.
func (t *slotClientTask) advance(now time.Time, c *slotCall) {
	if c.calling {
		return
	}
	switch c.phase {
	case phaseWaiting:
		t.attempt(now, c)
	case phaseEnding:
		t.sendRelease(c)
	case phaseOpen:
	}
}

func (t *slotClientTask) begin(now time.Time, m slotBegin) {
	t.last++
	c := &slotCall{number: t.last, ask: m.ask, token: m.token, reply: m.reply}
	t.calls[c.number] = c
	t.tokens[m.token] = c.number
	t.region(m.ask.region)
	t.advance(now, c)
}

// attempt sends an ask to the owner of its region, if one is known.
func (t *slotClientTask) attempt(now time.Time, c *slotCall) {
	h := t.region(c.ask.region)
	remaining := c.ask.ask.Deadline().Sub(now)
	if h.role.Epoch() == 0 || remaining <= 0 {
		return
	}
	c.attempt++
	c.calling = true
	h.dirty = true
	host, attempt, number := h.role.Host(), c.attempt, c.number
	args := acquireRecord(c.ask.region, c.ask.ask.WithID(steer.NewAskID(t.holder(), number)), now)
	t.call(remaining+slotGrace, func(ctx context.Context) any {
		m := slotAttempted{number: number, attempt: attempt}
		m.err = t.peers.Call(ctx, host, slotAcquireMethod, args, &m.reply)
		return m
	})
}

// call runs an exchange in a goroutine that ends within the timeout and
// reports to the task.
func (t *slotClientTask) call(timeout time.Duration, exchange func(context.Context) any) {
	self, parent := t.self, t.ctx
	t.exchanges.Go(func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		self.Tell(exchange(ctx))
	})
}

// attempted takes the answer to an ask. An answer of an earlier owner is
// used only while no report has gone to a later one.
func (t *slotClientTask) attempted(now time.Time, m slotAttempted) {
	c, ok := t.calls[m.number]
	if !ok {
		return
	}
	if c.attempt == m.attempt {
		c.calling = false
	}
	if m.err != nil || c.phase != phaseWaiting {
		return
	}
	if m.reply.Status == statusNotOwner || ident.Epoch(m.reply.Epoch) < t.region(c.ask.region).fence {
		return
	}
	c.reached = true
	switch m.reply.Status {
	case statusGranted:
		t.open(now, c, m.reply)
	case statusRefused:
		if c.attempt == m.attempt {
			t.refused(now, c, m.reply)
		}
	}
}

// refused passes a refusal on. When only the answer was lost and its target
// is leaving by now, the request is asked for again under a new number.
func (t *slotClientTask) refused(now time.Time, c *slotCall, r SlotAcquireReply) {
	t.finish(c)
	if steer.Reason(r.Reason) == steer.ReasonTargetLeft {
		t.begin(now, slotBegin{ask: c.ask, token: c.token, reply: c.reply})
		return
	}
	c.reply.Send(slotAnswer{err: NewSlotError(steer.Reason(r.Reason), r.RetryAfter)})
}

func (t *slotClientTask) open(now time.Time, c *slotCall, r SlotAcquireReply) {
	c.phase, c.since = phaseOpen, now
	c.grant = SlotGrant{
		number: c.number, region: c.ask.region, target: ident.Target(r.Target), address: r.Address,
	}
	c.reply.Send(slotAnswer{grant: c.grant})
}

// finish forgets an ask. The next report tells the owner.
func (t *slotClientTask) finish(c *slotCall) {
	delete(t.calls, c.number)
	delete(t.tokens, c.token)
	t.region(c.ask.region).dirty = true
}

// giveUp forgets an ask that waits and withdraws it at the owner. The message
// may be lost: the next report repeats it.
func (t *slotClientTask) giveUp(now time.Time, c *slotCall, answer slotAnswer) {
	t.finish(c)
	c.reply.Send(answer)
	h := t.region(c.ask.region)
	h.nextAt = now
	if c.attempt > 0 {
		c.result = steer.NewResult(steer.EndingCancelled, 0)
		t.sendRelease(c)
	}
}

// abandon ends an ask whose caller has gone. A grant that crossed the
// caller's leave on its way is released unused.
func (t *slotClientTask) abandon(now time.Time, token *slotToken) {
	c, ok := t.calls[t.tokens[token]]
	if !ok {
		return
	}
	if c.phase == phaseWaiting {
		t.giveUp(now, c, slotAnswer{err: context.Canceled})
		return
	}
	t.end(now, slotEnd{number: c.number, result: steer.NewResult(steer.EndingCancelled, 0)})
}

func (t *slotClientTask) end(now time.Time, m slotEnd) {
	c, ok := t.calls[m.number]
	if !ok {
		m.reply.Send(struct{}{})
		return
	}
	c.ended = append(c.ended, m.reply)
	if c.phase == phaseOpen {
		c.phase, c.result = phaseEnding, m.result
		t.advance(now, c)
	}
}

func (t *slotClientTask) sendRelease(c *slotCall) {
	h := t.region(c.ask.region)
	if h.role.Epoch() == 0 {
		return
	}
	c.calling = true
	host, number := h.role.Host(), c.number
	args := &SlotReleaseArgs{
		Region: string(c.ask.region), Holder: holderRecord(t.holder()), Number: number,
		Ending: string(c.result.Ending()), Latency: c.result.Latency(),
	}
	t.call(slotCallTimeout, func(ctx context.Context) any {
		var r SlotReply
		err := t.peers.Call(ctx, host, slotReleaseMethod, args, &r)
		return slotReleased{number: number, status: r.Status, err: err}
	})
}

// released forgets a grant once an owner has taken its release. Until then
// the grant stays in the reports, so that its result is not lost.
func (t *slotClientTask) released(m slotReleased) {
	c, ok := t.calls[m.number]
	if !ok || c.phase != phaseEnding {
		return
	}
	c.calling = false
	if m.err != nil || m.status != statusDone {
		return
	}
	t.finish(c)
	for _, r := range c.ended {
		r.Send(struct{}{})
	}
}
