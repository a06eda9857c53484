package mesh

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"rhubarbrack/board"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

const (
	// ErrSuperseded means that a conditional order had no effect, because another
	// one for the zone was accepted after the revision that it is conditional on.
	ErrSuperseded = errors.ConstError("superseded by another order for the zone")
	// errNotProposed means that the leader did not propose an order.
	errNotProposed = errors.ConstError("order was not proposed")
)

// proposeOrder requests the proposal of an order on the leader.
type proposeOrder struct {
	// ctx is that of the call. The order is not proposed after its end.
	ctx     context.Context
	command []byte
	order   board.Order
	// asOf is the revision that the order is conditional on. Hosts of earlier
	// releases send unconditional orders.
	asOf  ident.Option[ident.Revision]
	reply tasks.Reply[orderResult]
}

// orderResult is the result of an order.
type orderResult struct {
	revision ident.Revision
	err      error
}

// orderResolved reports that the order at work is committed or never will be.
type orderResolved struct{}

// orderQueue is the task that proposes orders for zones on the leader, one at a
// time. An order is compared with the state before it is proposed, so no other
// order may be in the log without being part of that state.
type orderQueue struct {
	ctx     context.Context
	self    *tasks.Ref
	propose func(ctx context.Context, m proposeOrder) orderResult
	waiting []proposeOrder
	busy    bool
}

var _ tasks.Task = (*orderQueue)(nil)

func startOrderQueue(
	ctx context.Context, system *tasks.System, propose func(context.Context, proposeOrder) orderResult,
) (*tasks.Ref, error) {
	q := &orderQueue{ctx: ctx, propose: propose}
	ref, err := tasks.Spawn(ctx, system, "mesh-orders", q)
	if err != nil {
		return nil, fmt.Errorf("start order queue: %w", err)
	}
	q.self = ref
	return ref, nil
}

// Handle implements tasks.Task.
func (q *orderQueue) Handle(message any) {
	switch m := message.(type) {
	case proposeOrder:
		q.waiting = append(q.waiting, m)
	case orderResolved:
		q.busy = false
	}
	q.proposeNext()
}

// proposeNext starts the proposal of the next order whose caller still waits.
func (q *orderQueue) proposeNext() {
	for !q.busy && len(q.waiting) > 0 {
		next := q.waiting[0]
		q.waiting = q.waiting[1:]
		if next.ctx.Err() != nil {
			continue
		}
		q.busy = true
		go func() {
			next.reply.Send(q.propose(q.ctx, next))
			q.self.Tell(orderResolved{})
		}()
	}
}

// proposeCommand commits a command on this host, which must be the leader.
func (c *Control) proposeCommand(
	ctx context.Context, command []byte, asOf ident.Option[ident.Revision],
) (ident.Revision, error) {
	order, ok, err := board.DecodeOrder(command)
	if err != nil {
		return 0, fmt.Errorf("propose command: %w", err)
	}
	if !ok {
		revision, _, err := c.replica.Propose(ctx, command)
		if err != nil {
			return 0, fmt.Errorf("propose command: %w", err)
		}
		return revision, nil
	}
	result, err := tasks.Ask(ctx, c.orders, func(reply tasks.Reply[orderResult]) any {
		return proposeOrder{ctx: ctx, command: command, order: order, asOf: asOf, reply: reply}
	})
	if err == nil {
		err = result.err
	}
	if err != nil {
		return 0, fmt.Errorf("propose order: %w", err)
	}
	return result.revision, nil
}

// compareAndPropose proposes an order unless another one for the zone was accepted
// after the revision that the order is conditional on. Such an order succeeds
// nevertheless if the zone is as it wants: it is a copy of one that was accepted.
// It returns once the order is committed or never will be.
func (c *Control) compareAndPropose(ctx context.Context, m proposeOrder) orderResult {
	if _, err := c.replica.Barrier(m.ctx); err != nil {
		return orderResult{err: fmt.Errorf("%w: confirm leadership: %w", errNotProposed, err)}
	}
	state, err := tasks.Ask(m.ctx, c.ref, func(reply tasks.Reply[zoneState]) any {
		return getZoneState{zone: m.order.Zone(), reply: reply}
	})
	if err != nil {
		return orderResult{err: fmt.Errorf("%w: read state of zone: %w", errNotProposed, err)}
	}
	if asOf, ok := m.asOf.Get(); ok && state.lastOrder > asOf {
		return c.supersede(m.order, asOf, state)
	}
	revision, _, err := c.replica.Propose(ctx, m.command)
	if err != nil {
		return orderResult{err: fmt.Errorf("commit order: %w", err)}
	}
	return orderResult{revision: revision}
}

// supersede returns the result of an order that another one came before.
func (c *Control) supersede(order board.Order, asOf ident.Revision, state zoneState) orderResult {
	if state.evacuated == order.Begin() {
		return orderResult{revision: state.lastOrder}
	}
	c.meter.Count("order-superseded", "", "", 1)
	c.log.Warn("mesh: order superseded", "zone", order.Zone(), "begin", order.Begin(), "as-of", asOf,
		"last-order", state.lastOrder, "origin", order.Origin())
	return orderResult{err: ErrSuperseded}
}
