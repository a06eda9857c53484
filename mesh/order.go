package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"

	"rhubarbrack/board"
	"rhubarbrack/ident"
)

// Evacuate begins or ends the evacuation of a zone. The context must end when the
// caller leaves. A nil error means that the command is durable. After an error the
// order may still take effect, until another order for the zone is acknowledged.
func (c *Control) Evacuate(ctx context.Context, zone ident.Zone, begin bool) error {
	origin := c.receive("evacuate", "zone", zone, "begin", begin)
	err := c.timed(ctx, "order-evacuate", func(ctx context.Context) error { return c.evacuate(ctx, zone, begin, origin) })
	c.logEnd(origin, err)
	if err != nil {
		return fmt.Errorf("evacuate zone %s: %w", zone, err)
	}
	return nil
}

// evacuate submits an order that is conditional on the state at its receipt. A
// copy that reaches the leader after another order was acknowledged has no effect,
// since that order came after the revision.
func (c *Control) evacuate(ctx context.Context, zone ident.Zone, begin bool, origin board.Origin) error {
	var state StateRecord
	if err := c.readLeader(ctx, &state); err != nil {
		return fmt.Errorf("read state: %w", err)
	}
	command, err := board.EncodeEvacuate(zone, begin, origin)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	return c.submit(ctx, command, ident.Some(ident.Revision(state.Revision)))
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
