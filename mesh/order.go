package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/board"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// ErrOrderOutdated means that an order had no effect, because its caller may have
// left before this host read the state that the order is conditional on.
const ErrOrderOutdated = errors.ConstError("order is outdated")

const (
	// maxOrderAge limits the time from the receipt of an order until the state is
	// read. Operators send an order to another host after a second, and may give
	// a contrary one afterwards.
	maxOrderAge = 600 * time.Millisecond
	// departureNoticeTime is how long it may take to notice that the caller of an
	// order has left. It exceeds a round trip to the caller: the end of a
	// connection whose data a kernel sends again follows only after the data.
	departureNoticeTime = 200 * time.Millisecond
)

// Evacuate begins or ends the evacuation of a zone. The context must end when the
// caller leaves. A nil error means that the command is durable. After an error that
// matches ErrOutcomeUnknown the order may still take effect, until another order for
// the zone is acknowledged; after any other one it never does.
func (c *Control) Evacuate(ctx context.Context, zone ident.Zone, begin bool) error {
	origin := c.receive("evacuate", "zone", zone, "begin", begin)
	err := c.timed(ctx, "order-evacuate", func(ctx context.Context) error { return c.evacuate(ctx, zone, begin, origin) })
	c.logEnd(origin, err)
	if err != nil {
		return fmt.Errorf("order %s: evacuate zone %s: %w", origin.Order(), zone, err)
	}
	return nil
}

// evacuate submits an order that is conditional on the state at its receipt. A
// copy that reaches the leader after another order was acknowledged has no effect,
// since that order came after the revision.
func (c *Control) evacuate(ctx context.Context, zone ident.Zone, begin bool, origin board.Origin) error {
	asOf, err := c.revisionAtReceipt(ctx, origin)
	if err != nil {
		return fmt.Errorf("read state: %w", err)
	}
	command, err := board.EncodeEvacuate(zone, begin, origin)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	return c.submit(ctx, command, ident.Some(asOf))
}

// revisionAtReceipt returns a revision that includes all orders that were
// acknowledged before an order was received, and none that its caller may have
// given later. A host may read an order long after its caller has left: it stood
// still, or was cut off. It learns of the departure within departureNoticeTime, or
// after a pause within recoveryTime.
func (c *Control) revisionAtReceipt(ctx context.Context, origin board.Origin) (ident.Revision, error) {
	recovering, err := tasks.Ask(ctx, c.pauses, func(reply tasks.Reply[bool]) any { return getRecovering{reply: reply} })
	if err != nil {
		return 0, fmt.Errorf("check for a pause: %w", err)
	}
	if recovering {
		return 0, fmt.Errorf("%w: this host stood still", ErrOrderOutdated)
	}
	read, cancel := context.WithTimeout(ctx, maxOrderAge)
	defer cancel()
	var state StateRecord
	if err := c.readLeader(read, &state); err != nil {
		return 0, fmt.Errorf("ask for the state: %w", err)
	}
	if age := c.clock.Now().Sub(origin.ReceivedAt()); age > maxOrderAge {
		return 0, fmt.Errorf("%w: received %v ago", ErrOrderOutdated, age)
	}
	if !clock.Sleep(ctx, c.clock, departureNoticeTime) {
		return 0, fmt.Errorf("%w: the caller has left: %w", ErrOrderOutdated, ctx.Err())
	}
	return ident.Revision(state.Revision), nil
}

// receive assigns an ID to an order of an operator and logs it. The attributes
// describe the order. Its command carries the origin, so that every control host
// logs for which order it was proposed.
func (c *Control) receive(kind string, attributes ...any) board.Origin {
	origin := board.NewOrigin(ident.RequestID(fmt.Sprintf("%016x", rand.Uint64())), c.host, c.clock.Now())
	c.log.Info("mesh: order received", append([]any{"order", origin.Order(), "kind", kind}, attributes...)...)
	return origin
}

// logEnd logs the outcome of an order.
func (c *Control) logEnd(origin board.Origin, err error) {
	took := c.clock.Now().Sub(origin.ReceivedAt()).Milliseconds()
	if err != nil {
		c.log.Warn("mesh: order not acknowledged", "order", origin.Order(), "took-ms", took, "error", err)
		return
	}
	c.log.Info("mesh: order acknowledged", "order", origin.Order(), "took-ms", took)
}
