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
	handle       *slotRequestHandle
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
	// reportNeeded is true if the latest report was not empty or not
	// accepted, or if a slot request was sent or removed after it.
	reportNeeded bool
	sequence     uint64
	nextReport   time.Time
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
	handles      map[*slotRequestHandle]uint64
	regions      map[ident.Region]*regionOwner
	// callsInFlight counts the goroutines that call owners.
	callsInFlight sync.WaitGroup
}

var _ tasks.Task = (*slotClientTask)(nil)

func newSlotClientTask(ctx context.Context, peers SlotPeers, o slotOptions) *slotClientTask {
	return &slotClientTask{
		ctx: ctx, peers: peers, options: o,
		acquisitions: map[uint64]*slotAcquisition{},
		handles:      map[*slotRequestHandle]uint64{},
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
		t.abandon(now, m.handle)
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

// resetAccepted clears the record of which owners have accepted a report. An
// owner counts a host that has rejoined under a new incarnation as a new holder
// and waits for its report.
func (t *slotClientTask) resetAccepted() {
	for _, o := range t.regions {
		o.acceptedEpoch = 0
	}
}

func (t *slotClientTask) region(r ident.Region) *regionOwner {
	o, ok := t.regions[r]
	if !ok {
		o = &regionOwner{}
		t.regions[r] = o
		o.assignment, _ = t.members.Role(SlotRole(r))
	}
	return o
}

// applyMembers detects new owners, reports the holdings to them first and then
// resends the pending calls.
func (t *slotClientTask) applyMembers(now time.Time) {
	for role, a := range t.members.roles {
		r, ok := role.Region()
		if !ok {
			continue
		}
		o := t.region(r)
		if o.assignment == a && o.acceptedEpoch >= a.Epoch() {
			continue
		}
		moved := o.assignment != a
		o.assignment = a
		t.sendReport(now, r, o)
		if moved {
			t.resend(now, r)
		}
	}
}

// resend sends the waiting requests and the releases of a region to its new
// owner. Replies of the earlier owner to slot requests are ignored from now
// on.
func (t *slotClientTask) resend(now time.Time, r ident.Region) {
	for _, a := range t.acquisitions {
		if a.request.region == r {
			a.callInFlight = false
			t.advance(now, a)
		}
	}
}

// tick retries calls that reached no owner, refuses requests past their
// deadline and reports the holdings.
func (t *slotClientTask) tick(now time.Time) {
	for _, a := range t.acquisitions {
		if a.phase == phaseWaiting && now.After(a.request.request.Deadline().Add(slotDeadlineGrace)) {
			t.withdraw(now, a, slotResult{err: NewSlotError(a.timeoutReason(), slotReportInterval)})
			continue
		}
		t.advance(now, a)
	}
	for r, o := range t.regions {
		if o.assignment.Epoch() > o.acceptedEpoch || o.reportNeeded && !now.Before(o.nextReport) {
			t.sendReport(now, r, o)
		}
	}
}

func (a *slotAcquisition) timeoutReason() steer.Reason {
	if a.ownerReplied {
		return steer.ReasonDeadline
	}
	return ReasonNoOwner
}

// advance makes the next call for a slot request, unless one is in flight.
func (t *slotClientTask) advance(now time.Time, a *slotAcquisition) {
	if a.callInFlight {
		return
	}
	switch a.phase {
	case phaseWaiting:
		t.sendAcquire(now, a)
	case phaseReleasing:
		t.sendRelease(a)
	case phaseOpen:
	}
}

func (t *slotClientTask) begin(now time.Time, m slotAcquireBegin) {
	t.lastNumber++
	a := &slotAcquisition{number: t.lastNumber, request: m.request, handle: m.handle, reply: m.reply}
	t.acquisitions[a.number] = a
	t.handles[m.handle] = a.number
	t.region(m.request.region)
	t.advance(now, a)
}

// sendAcquire sends a slot request to the owner of its region, if one is
// known.
func (t *slotClientTask) sendAcquire(now time.Time, a *slotAcquisition) {
	o := t.region(a.request.region)
	remaining := a.request.request.Deadline().Sub(now)
	if o.assignment.Epoch() == 0 || remaining <= 0 {
		return
	}
	a.attempt++
	a.callInFlight = true
	o.reportNeeded = true
	host, attempt, number := o.assignment.Host(), a.attempt, a.number
	args := acquireArgs(a.request.region, a.request.request.WithID(steer.NewSlotRequestID(t.holder(), number)), now)
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
	a, ok := t.acquisitions[m.number]
	if !ok {
		return
	}
	if a.attempt == m.attempt {
		a.callInFlight = false
	}
	if m.err != nil || a.phase != phaseWaiting {
		return
	}
	if m.reply.Status == statusNotOwner || ident.Epoch(m.reply.Epoch) < t.region(a.request.region).reportedEpoch {
		return
	}
	a.ownerReplied = true
	switch m.reply.Status {
	case statusGranted:
		t.granted(now, a, m.reply)
	case statusRefused:
		if a.attempt == m.attempt {
			t.refused(now, a, m.reply)
		}
	}
}

// refused passes a refusal on to the caller. The reason target-left means that
// a slot had been granted, the reply was lost, and the target is leaving by
// now; the slot is then requested again under a new number.
func (t *slotClientTask) refused(now time.Time, a *slotAcquisition, r SlotAcquireReply) {
	t.remove(a)
	if steer.Reason(r.Reason) == steer.ReasonTargetLeaving {
		t.begin(now, slotAcquireBegin{request: a.request, handle: a.handle, reply: a.reply})
		return
	}
	a.reply.Send(slotResult{err: NewSlotError(steer.Reason(r.Reason), r.RetryAfter)})
}

func (t *slotClientTask) granted(now time.Time, a *slotAcquisition, r SlotAcquireReply) {
	a.phase, a.grantedAt = phaseOpen, now
	a.grant = SlotGrant{
		number: a.number, region: a.request.region, target: ident.Target(r.Target), address: r.Address,
	}
	a.reply.Send(slotResult{grant: a.grant})
}

// remove deletes a slot request from the client's state. The next report tells
// the owner.
func (t *slotClientTask) remove(a *slotAcquisition) {
	delete(t.acquisitions, a.number)
	delete(t.handles, a.handle)
	t.region(a.request.region).reportNeeded = true
}

// withdraw removes a waiting request and cancels it at the owner. If that call
// is lost, the next report has the same effect.
func (t *slotClientTask) withdraw(now time.Time, a *slotAcquisition, result slotResult) {
	t.remove(a)
	a.reply.Send(result)
	o := t.region(a.request.region)
	o.nextReport = now
	if a.attempt > 0 {
		a.result = steer.NewResult(steer.OutcomeCancelled, 0)
		t.sendRelease(a)
	}
}

// abandon ends a request whose caller has cancelled. A grant that arrived at
// the same time as the cancellation is released unused.
func (t *slotClientTask) abandon(now time.Time, handle *slotRequestHandle) {
	a, ok := t.acquisitions[t.handles[handle]]
	if !ok {
		return
	}
	if a.phase == phaseWaiting {
		t.withdraw(now, a, slotResult{err: context.Canceled})
		return
	}
	t.endGrant(now, slotGrantEnd{number: a.number, result: steer.NewResult(steer.OutcomeCancelled, 0)})
}

func (t *slotClientTask) endGrant(now time.Time, m slotGrantEnd) {
	a, ok := t.acquisitions[m.number]
	if !ok {
		m.reply.Send(struct{}{})
		return
	}
	a.releaseWaiters = append(a.releaseWaiters, m.reply)
	if a.phase == phaseOpen {
		a.phase, a.result = phaseReleasing, m.result
		t.advance(now, a)
	}
}

func (t *slotClientTask) sendRelease(a *slotAcquisition) {
	o := t.region(a.request.region)
	if o.assignment.Epoch() == 0 {
		return
	}
	a.callInFlight = true
	host, number := o.assignment.Host(), a.number
	args := &SlotReleaseArgs{
		Region: string(a.request.region), Holder: holderRecord(t.holder()), Number: number,
		Ending: string(a.result.Outcome()), Latency: a.result.Latency(),
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
	a, ok := t.acquisitions[m.number]
	if !ok || a.phase != phaseReleasing {
		return
	}
	a.callInFlight = false
	if m.err != nil || m.status != statusDone {
		return
	}
	t.remove(a)
	for _, r := range a.releaseWaiters {
		r.Send(struct{}{})
	}
}
