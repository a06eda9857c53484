package entry

import (
	"context"
	"fmt"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/steer"
	"rhubarbrack/tasks"
)

// ReasonNoOwner means that no owner of the region's slots could be reached
// before the deadline. The request did not run.
const ReasonNoOwner steer.Reason = "no-owner"

// SlotRequest is a request for a slot in a region.
type SlotRequest struct {
	region  ident.Region
	request steer.SlotRequest
}

// NewSlotRequest returns a slot request. The client assigns its number, so the
// identifier in the inner request is ignored.
func NewSlotRequest(region ident.Region, r steer.SlotRequest) SlotRequest {
	return SlotRequest{region: region, request: r}
}

// Region returns the region of the requested slot.
func (r SlotRequest) Region() ident.Region { return r.region }

// Request returns the requirements for the slot.
func (r SlotRequest) Request() steer.SlotRequest { return r.request }

// SlotGrant is a slot that a client holds until it releases it.
type SlotGrant struct {
	number  uint64
	region  ident.Region
	target  ident.Target
	address string
}

// Region returns the region of the target.
func (g SlotGrant) Region() ident.Region { return g.region }

// Target returns the target whose slot is held.
func (g SlotGrant) Target() ident.Target { return g.target }

// Address returns the address of the target.
func (g SlotGrant) Address() string { return g.address }

// SlotError refuses a slot request. The request did not run.
type SlotError struct {
	reason     steer.Reason
	retryAfter time.Duration
}

var _ error = (*SlotError)(nil)

// NewSlotError returns a refusal.
func NewSlotError(r steer.Reason, retryAfter time.Duration) *SlotError {
	return &SlotError{reason: r, retryAfter: retryAfter}
}

// Error implements error.
func (e *SlotError) Error() string { return "no slot: " + string(e.reason) }

// Reason returns why the slot request was refused.
func (e *SlotError) Reason() steer.Reason { return e.reason }

// RetryAfter returns how long to wait before a retry.
func (e *SlotError) RetryAfter() time.Duration { return e.retryAfter }

// SlotClient requests slots from the slot owners for one entry host. Its task
// keeps the open grants and reports them to the owners. It is safe for
// concurrent use.
type SlotClient struct {
	ref  *tasks.Ref
	done chan struct{}
}

// StartSlotClient starts the task.
func StartSlotClient(ctx context.Context, system *tasks.System, peers SlotPeers, list ...SlotOption,
) (*SlotClient, error) {
	o := newSlotOptions(list)
	t := newSlotClientTask(ctx, peers, o)
	ref, err := tasks.Spawn(ctx, system, "entry-slot-client", t)
	if err != nil {
		return nil, fmt.Errorf("start slot client: %w", err)
	}
	ref.Tell(slotSelf{ref: ref})
	ticks := tasks.Every(ctx, o.clock, slotRetryInterval, ref, slotTicked{})
	return &SlotClient{ref: ref, done: slotTaskDone(ref, ticks, &t.callsInFlight)}, nil
}

// Done returns a channel that is closed when the task and its calls
// have ended.
func (c *SlotClient) Done() <-chan struct{} { return c.done }

// Update sets the current membership.
func (c *SlotClient) Update(m Members) { c.ref.Tell(NewMembersChanged(m)) }

// Acquire waits for a slot until the deadline of the request or the end of
// ctx. A refusal is a *SlotError. The grant must be released by Release or
// ReleaseAndWait.
func (c *SlotClient) Acquire(ctx context.Context, request SlotRequest) (SlotGrant, error) {
	reply := tasks.NewReply[slotResult]()
	handle := new(slotRequestHandle)
	c.ref.Tell(slotAcquireBegin{request: request, handle: handle, reply: reply})
	select {
	case r := <-reply.Values():
		if r.err != nil {
			return SlotGrant{}, fmt.Errorf("acquire a slot in %s: %w", request.region, r.err)
		}
		return r.grant, nil
	case <-ctx.Done():
		c.ref.Tell(slotAcquireAbandon{handle: handle})
		return SlotGrant{}, fmt.Errorf("acquire a slot in %s: %w", request.region, ctx.Err())
	case <-c.ref.Done():
		return SlotGrant{}, fmt.Errorf("acquire a slot in %s: %w", request.region, tasks.ErrStopped)
	}
}

// Release ends the use of a grant. The client retries the call until an owner
// has accepted it.
func (c *SlotClient) Release(g SlotGrant, r steer.Result) {
	c.ref.Tell(slotGrantEnd{number: g.number, result: r})
}

// ReleaseAndWait ends the use of a grant and returns when the owner has
// accepted the release and the marks that a crash caused are in force.
func (c *SlotClient) ReleaseAndWait(ctx context.Context, g SlotGrant, r steer.Result) error {
	_, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[struct{}]) any {
		return slotGrantEnd{number: g.number, result: r, reply: reply}
	})
	if err != nil {
		return fmt.Errorf("release a slot of %s: %w", g.target, err)
	}
	return nil
}

// SlotUsage counts the grants and the pending requests of a client.
type SlotUsage struct {
	open    int
	waiting int
}

// Open returns the number of grants in use or being released.
func (u SlotUsage) Open() int { return u.open }

// Waiting returns the number of requests without a decision.
func (u SlotUsage) Waiting() int { return u.waiting }

// Usage returns the counts over all regions.
func (c *SlotClient) Usage(ctx context.Context) (SlotUsage, error) {
	u, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[SlotUsage]) any { return slotUsageRequest{reply: reply} })
	if err != nil {
		return SlotUsage{}, fmt.Errorf("use of slots: %w", err)
	}
	return u, nil
}

// slotRequestHandle identifies a call of Acquire before its request has a
// number. It must not be of zero size, because pointers to distinct zero-size
// values may be equal.
type slotRequestHandle struct{ _ byte }

// slotResult is the result of a call of Acquire.
type slotResult struct {
	grant SlotGrant
	err   error
}

// Messages of the slot client task.
type (
	// slotAcquireBegin starts a slot request.
	slotAcquireBegin struct {
		request SlotRequest
		handle  *slotRequestHandle
		reply   tasks.Reply[slotResult]
	}
	// slotAcquireAbandon ends a slot request whose caller has cancelled.
	slotAcquireAbandon struct{ handle *slotRequestHandle }
	// slotGrantEnd ends the use of a grant.
	slotGrantEnd struct {
		number uint64
		result steer.Result
		reply  tasks.Reply[struct{}]
	}
	// slotUsageRequest requests the counts of the client.
	slotUsageRequest struct{ reply tasks.Reply[SlotUsage] }
	// slotAcquireDone carries the result of a call of Slots.Acquire.
	slotAcquireDone struct {
		number  uint64
		attempt int
		reply   SlotAcquireReply
		err     error
	}
	// slotReleaseDone carries the result of a call of Slots.Release.
	slotReleaseDone struct {
		number uint64
		status string
		err    error
	}
	// slotReportDone carries the result of a call of Slots.Open.
	slotReportDone struct {
		region ident.Region
		epoch  ident.Epoch
		status string
		err    error
	}
)
