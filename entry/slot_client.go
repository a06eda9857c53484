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
// before the deadline. The request was not run.
const ReasonNoOwner steer.Reason = "no-owner"

// SlotRequest is a request for a slot in a region.
type SlotRequest struct {
	region ident.Region
	ask    steer.Ask
}

// NewSlotRequest returns an ask. The client numbers it, so the identifier of the
// inner ask is not read.
func NewSlotRequest(r ident.Region, a steer.Ask) SlotRequest { return SlotRequest{region: r, ask: a} }

// Region returns the region whose slot is wanted.
func (a SlotRequest) Region() ident.Region { return a.region }

// Request returns what the request needs.
func (a SlotRequest) Request() steer.Ask { return a.ask }

// SlotGrant is a slot that a client holds until Release.
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

// SlotError refuses an ask. The request was not run.
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

// Reason returns why the ask was refused.
func (e *SlotError) Reason() steer.Reason { return e.reason }

// RetryAfter returns when a new attempt is worthwhile.
func (e *SlotError) RetryAfter() time.Duration { return e.retryAfter }

// SlotClient asks the slot owners for slots on behalf of one entry host. Its
// task keeps the open grants and reports them to the owners. It is safe for
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
	ticks := tasks.Every(ctx, o.clock, slotRetry, ref, slotTicked{})
	return &SlotClient{ref: ref, done: joinSlotTask(ref, ticks, &t.exchanges)}, nil
}

// Done returns a channel that is closed when the task and its calls
// have ended.
func (c *SlotClient) Done() <-chan struct{} { return c.done }

// Update tells the task which members are current.
func (c *SlotClient) Update(m Members) { c.ref.Tell(NewMembersChanged(m)) }

// Acquire waits for a slot until the deadline of the ask or the end of ctx. A
// refusal is a *SlotError. The grant must be given to Release or
// ReleaseAndWait.
func (c *SlotClient) Acquire(ctx context.Context, a SlotRequest) (SlotGrant, error) {
	reply := tasks.NewReply[slotAnswer]()
	token := new(slotToken)
	c.ref.Tell(slotBegin{ask: a, token: token, reply: reply})
	select {
	case r := <-reply.Values():
		if r.err != nil {
			return SlotGrant{}, fmt.Errorf("acquire a slot in %s: %w", a.region, r.err)
		}
		return r.grant, nil
	case <-ctx.Done():
		c.ref.Tell(slotAbandon{token: token})
		return SlotGrant{}, fmt.Errorf("acquire a slot in %s: %w", a.region, ctx.Err())
	case <-c.ref.Done():
		return SlotGrant{}, fmt.Errorf("acquire a slot in %s: %w", a.region, tasks.ErrStopped)
	}
}

// Release ends the use of a grant. The client repeats the call until an owner
// has taken it.
func (c *SlotClient) Release(g SlotGrant, r steer.Result) {
	c.ref.Tell(slotEnd{number: g.number, result: r})
}

// ReleaseAndWait ends the use of a grant and returns when the owner has taken
// it and the marks that a crash caused are in force.
func (c *SlotClient) ReleaseAndWait(ctx context.Context, g SlotGrant, r steer.Result) error {
	_, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[struct{}]) any {
		return slotEnd{number: g.number, result: r, reply: reply}
	})
	if err != nil {
		return fmt.Errorf("release a slot of %s: %w", g.target, err)
	}
	return nil
}

// SlotUsage is a summary of what a client holds.
type SlotUsage struct {
	open    int
	waiting int
}

// Open returns the number of grants in use or being released.
func (u SlotUsage) Open() int { return u.open }

// Waiting returns the number of asks without a decision.
func (u SlotUsage) Waiting() int { return u.waiting }

// Usage returns what the client holds in all regions.
func (c *SlotClient) Usage(ctx context.Context) (SlotUsage, error) {
	u, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[SlotUsage]) any { return slotUseOf{reply: reply} })
	if err != nil {
		return SlotUsage{}, fmt.Errorf("use of slots: %w", err)
	}
	return u, nil
}

// slotToken identifies a call of Acquire before its ask has a number. It has
// a size, because pointers to distinct empty values may be equal.
type slotToken struct{ _ byte }

type slotAnswer struct {
	grant SlotGrant
	err   error
}

// Messages of the slot client task.
type (
	slotBegin struct {
		ask   SlotRequest
		token *slotToken
		reply tasks.Reply[slotAnswer]
	}
	slotAbandon struct{ token *slotToken }
	slotEnd     struct {
		number uint64
		result steer.Result
		reply  tasks.Reply[struct{}]
	}
	slotUseOf struct{ reply tasks.Reply[SlotUsage] }
	// slotAttempted reports the end of a call of Slots.Acquire.
	slotAttempted struct {
		number  uint64
		attempt int
		reply   SlotAcquireReply
		err     error
	}
	// slotReleased reports the end of a call of Slots.Release.
	slotReleased struct {
		number uint64
		status string
		err    error
	}
	// slotReported reports the end of a call of Slots.Open.
	slotReported struct {
		region ident.Region
		epoch  ident.Epoch
		status string
		err    error
	}
)
