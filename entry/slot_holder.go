package entry

import (
	"context"
	"sync"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/steer"
	"rhubarbrack/tasks"
)

// slotPhase is the state of one slot request at its client.
type slotPhase int

const (
	phaseWaiting slotPhase = iota
	phaseOpen
	phaseReleasing
)

// slotAcquisition is one slot request and its grant, from the call of Acquire
// until an owner has accepted the release.
type slotAcquisition struct {
	number       uint64
	request      SlotRequest
	token        *slotToken
	reply        tasks.Reply[slotResult]
	phase        slotPhase
	callInFlight bool
	attempt      int
	// ownerReplied is true once an owner of the region has replied, even with
	// a refusal.
	ownerReplied   bool
	grant          SlotGrant
	grantedAt      time.Time
	result         steer.Result
	releaseWaiters []tasks.Reply[struct{}]
}

// regionOwner is the client's state towards the slot owner of one region.
type regionOwner struct {
	assignment Assignment
	// reportedEpoch is the greatest epoch that a report was sent for. Grants
	// of smaller epochs are missing in that report, so they must not be used.
	reportedEpoch  ident.Epoch
	acceptedEpoch  ident.Epoch
	reportInFlight bool
	dirty          bool
	sequence       uint64
	nextReport     time.Time
}

// slotClientTask is the task behind SlotClient.
type slotClientTask struct {
	ctx          context.Context
	self         *tasks.Ref
	peers        SlotPeers
	options      slotOptions
	members      Members
	lastNumber   uint64
	acquisitions map[uint64]*slotAcquisition
	tokens       map[*slotToken]uint64
	regions      map[ident.Region]*regionOwner
	// callsInFlight counts the goroutines that call owners.
	callsInFlight sync.WaitGroup
}

var _ tasks.Task = (*slotClientTask)(nil)

func newSlotClientTask(ctx context.Context, peers SlotPeers, o slotOptions) *slotClientTask {
	return &slotClientTask{
		ctx: ctx, peers: peers, options: o,
		acquisitions: map[uint64]*slotAcquisition{},
		tokens:       map[*slotToken]uint64{},
		regions:      map[ident.Region]*regionOwner{},
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
			t.resetAccepted()
		}
		t.applyMembers(now)
	case slotTicked:
		t.tick(now)
	case slotAcquireBegin:
		t.begin(now, m)
	case slotAcquireAbandon:
		t.abandon(now, m.token)
	case slotGrantEnd:
		t.endGrant(now, m)
	case slotAcquireDone:
		t.acquireDone(now, m)
	case slotReleaseDone:
		t.releaseDone(m)
	case slotReportDone:
		t.reportDone(m)
	case slotUsageRequest:
		m.reply.Send(t.usage())
	}
}

func (t *slotClientTask) holder() steer.Holder {
	return steer.NewHolder(t.members.Self(), t.members.Incarnation())
}

// resetAccepted forgets which owners have accepted a report. An owner counts a
// host that has rejoined under a new incarnation as a new holder and waits for
// its report.
func (t *slotClientTask) resetAccepted() {
	for _, h := range t.regions {
		h.acceptedEpoch = 0
	}
}

func (t *slotClientTask) region(r ident.Region) *regionOwner {
	h, ok := t.regions[r]
	if !ok {
		h = &regionOwner{}
		t.regions[r] = h
		h.assignment, _ = t.members.Role(SlotRole(r))
	}
	return h
}

// applyMembers detects new owners, reports the holdings to them first and then
// resends the pending calls.
func (t *slotClientTask) applyMembers(now time.Time) {
	for role, a := range t.members.roles {
		r, ok := role.Region()
		if !ok {
			continue
		}
		h := t.region(r)
		if h.assignment == a && h.acceptedEpoch >= a.Epoch() {
			continue
		}
		moved := h.assignment != a
		h.assignment = a
		t.sendReport(now, r, h)
		if moved {
			t.resend(now, r)
		}
	}
}

// resend sends the waiting requests and the releases of a region to its new
// owner. Replies of the earlier owner to slot requests are ignored from now
// on.
func (t *slotClientTask) resend(now time.Time, r ident.Region) {
	for _, c := range t.acquisitions {
		if c.request.region == r {
			c.callInFlight = false
			t.advance(now, c)
		}
	}
}

// tick retries calls that reached no owner, refuses requests past their
// deadline and reports the holdings.
func (t *slotClientTask) tick(now time.Time) {
	for _, c := range t.acquisitions {
		if c.phase == phaseWaiting && now.After(c.request.request.Deadline().Add(slotDeadlineGrace)) {
			t.withdraw(now, c, slotResult{err: NewSlotError(c.timeoutReason(), slotReportInterval)})
			continue
		}
		t.advance(now, c)
	}
	for r, h := range t.regions {
		if h.assignment.Epoch() > h.acceptedEpoch || h.dirty && !now.Before(h.nextReport) {
			t.sendReport(now, r, h)
		}
	}
}

func (c *slotAcquisition) timeoutReason() steer.Reason {
	if c.ownerReplied {
		return steer.ReasonDeadline
	}
	return ReasonNoOwner
}

// advance makes the next call for a slot request, unless one is in flight.
func (t *slotClientTask) advance(now time.Time, c *slotAcquisition) {
	if c.callInFlight {
		return
	}
	switch c.phase {
	case phaseWaiting:
		t.sendAcquire(now, c)
	case phaseReleasing:
		t.sendRelease(c)
	case phaseOpen:
	}
}

func (t *slotClientTask) begin(now time.Time, m slotAcquireBegin) {
	t.lastNumber++
	c := &slotAcquisition{number: t.lastNumber, request: m.request, token: m.token, reply: m.reply}
	t.acquisitions[c.number] = c
	t.tokens[m.token] = c.number
	t.region(m.request.region)
	t.advance(now, c)
}

// sendAcquire sends a slot request to the owner of its region, if one is
// known.
func (t *slotClientTask) sendAcquire(now time.Time, c *slotAcquisition) {
	h := t.region(c.request.region)
	remaining := c.request.request.Deadline().Sub(now)
	if h.assignment.Epoch() == 0 || remaining <= 0 {
		return
	}
	c.attempt++
	c.callInFlight = true
	h.dirty = true
	host, attempt, number := h.assignment.Host(), c.attempt, c.number
	args := acquireArgs(c.request.region, c.request.request.WithID(steer.NewSlotRequestID(t.holder(), number)), now)
	t.call(remaining+slotDeadlineGrace, func(ctx context.Context) any {
		m := slotAcquireDone{number: number, attempt: attempt}
		m.err = t.peers.Call(ctx, host, slotAcquireMethod, args, &m.reply)
		return m
	})
}

// call runs a call to an owner in a goroutine that ends within the timeout,
// and sends the result to the task.
func (t *slotClientTask) call(timeout time.Duration, send func(context.Context) any) {
	self, parent := t.self, t.ctx
	t.callsInFlight.Go(func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		self.Tell(send(ctx))
	})
}

// acquireDone handles the reply to a slot request. A grant of an earlier owner
// is used only if no report has been sent to a later one.
func (t *slotClientTask) acquireDone(now time.Time, m slotAcquireDone) {
	c, ok := t.acquisitions[m.number]
	if !ok {
		return
	}
	if c.attempt == m.attempt {
		c.callInFlight = false
	}
	if m.err != nil || c.phase != phaseWaiting {
		return
	}
	if m.reply.Status == statusNotOwner || ident.Epoch(m.reply.Epoch) < t.region(c.request.region).reportedEpoch {
		return
	}
	c.ownerReplied = true
	switch m.reply.Status {
	case statusGranted:
		t.granted(now, c, m.reply)
	case statusRefused:
		if c.attempt == m.attempt {
			t.refused(now, c, m.reply)
		}
	}
}

// refused passes a refusal on to the caller. The reason target-left means that
// a slot had been granted, the reply was lost, and the target is leaving by
// now; the slot is then requested again under a new number.
func (t *slotClientTask) refused(now time.Time, c *slotAcquisition, r SlotAcquireReply) {
	t.remove(c)
	if steer.Reason(r.Reason) == steer.ReasonTargetLeaving {
		t.begin(now, slotAcquireBegin{request: c.request, token: c.token, reply: c.reply})
		return
	}
	c.reply.Send(slotResult{err: NewSlotError(steer.Reason(r.Reason), r.RetryAfter)})
}

func (t *slotClientTask) granted(now time.Time, c *slotAcquisition, r SlotAcquireReply) {
	c.phase, c.grantedAt = phaseOpen, now
	c.grant = SlotGrant{
		number: c.number, region: c.request.region, target: ident.Target(r.Target), address: r.Address,
	}
	c.reply.Send(slotResult{grant: c.grant})
}

// remove deletes a slot request from the client's state. The next report tells
// the owner.
func (t *slotClientTask) remove(c *slotAcquisition) {
	delete(t.acquisitions, c.number)
	delete(t.tokens, c.token)
	t.region(c.request.region).dirty = true
}

// withdraw removes a waiting request and cancels it at the owner. If that call
// is lost, the next report has the same effect.
func (t *slotClientTask) withdraw(now time.Time, c *slotAcquisition, result slotResult) {
	t.remove(c)
	c.reply.Send(result)
	h := t.region(c.request.region)
	h.nextReport = now
	if c.attempt > 0 {
		c.result = steer.NewResult(steer.OutcomeCancelled, 0)
		t.sendRelease(c)
	}
}

// abandon ends a request whose caller has cancelled. A grant that arrived at
// the same time as the cancellation is released unused.
func (t *slotClientTask) abandon(now time.Time, token *slotToken) {
	c, ok := t.acquisitions[t.tokens[token]]
	if !ok {
		return
	}
	if c.phase == phaseWaiting {
		t.withdraw(now, c, slotResult{err: context.Canceled})
		return
	}
	t.endGrant(now, slotGrantEnd{number: c.number, result: steer.NewResult(steer.OutcomeCancelled, 0)})
}

func (t *slotClientTask) endGrant(now time.Time, m slotGrantEnd) {
	c, ok := t.acquisitions[m.number]
	if !ok {
		m.reply.Send(struct{}{})
		return
	}
	c.releaseWaiters = append(c.releaseWaiters, m.reply)
	if c.phase == phaseOpen {
		c.phase, c.result = phaseReleasing, m.result
		t.advance(now, c)
	}
}

func (t *slotClientTask) sendRelease(c *slotAcquisition) {
	h := t.region(c.request.region)
	if h.assignment.Epoch() == 0 {
		return
	}
	c.callInFlight = true
	host, number := h.assignment.Host(), c.number
	args := &SlotReleaseArgs{
		Region: string(c.request.region), Holder: holderRecord(t.holder()), Number: number,
		Ending: string(c.result.Outcome()), Latency: c.result.Latency(),
	}
	t.call(slotCallTimeout, func(ctx context.Context) any {
		var r SlotReply
		err := t.peers.Call(ctx, host, slotReleaseMethod, args, &r)
		return slotReleaseDone{number: number, status: r.Status, err: err}
	})
}

// releaseDone removes a grant once an owner has accepted its release. Until
// then the grant stays in the reports, so that its result is not lost.
func (t *slotClientTask) releaseDone(m slotReleaseDone) {
	c, ok := t.acquisitions[m.number]
	if !ok || c.phase != phaseReleasing {
		return
	}
	c.callInFlight = false
	if m.err != nil || m.status != statusDone {
		return
	}
	t.remove(c)
	for _, r := range c.releaseWaiters {
		r.Send(struct{}{})
	}
}
