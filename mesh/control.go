package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"net/rpc"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/board"
	"rhubarbrack/clock"
	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// ErrUnavailable means that no leader could serve the call in time. An order
// may take effect all the same.
const ErrUnavailable = errors.ConstError("no control host could serve the call")

const (
	// callTimeout bounds one call to another control host.
	callTimeout = 900 * time.Millisecond
	// retryPause is the time between two attempts to reach the leader.
	retryPause = 50 * time.Millisecond
)

// Control is the part of the mesh on a control host. It is safe for
// concurrent use.
type Control struct {
	ref     *tasks.Ref
	replica *ctrl.Replica
	clock   clock.Clock
	log     *slog.Logger
	host    ident.Host
	own     string
	meter   Meter
}

// Option sets an optional property of a Control.
type Option func(*Control)

// WithMeter counts orders, readings of the list and their times.
func WithMeter(m Meter) Option { return func(c *Control) { c.meter = m } }

// Start starts the hub of a control host whose replica listens at the own
// address. The seeds are the addresses of some control hosts. Use must be
// called before the server serves.
func Start(
	ctx context.Context, system *tasks.System, c clock.Clock, log *slog.Logger, host ident.Host, own string,
	seeds []string, list ...Option,
) (*Control, error) {
	ref, err := tasks.Spawn(ctx, system, "mesh-hub", newHub(ctx, system, c, log, own, seeds))
	if err != nil {
		return nil, fmt.Errorf("start mesh: %w", err)
	}
	control := &Control{ref: ref, clock: c, log: log, host: host, own: own, meter: noMeter{}}
	for _, apply := range list {
		apply(control)
	}
	return control, nil
}

// Publish is the listener of the board.
func (c *Control) Publish(revision ident.Revision, l scheme.DesiredState) {
	c.ref.Tell(published{revision: revision, ledger: l})
}

// Register registers the calls of the mesh and starts the upkeep of the
// membership.
func (c *Control) Register(ctx context.Context, server *rpc.Server, replica *ctrl.Replica) error {
	c.replica = replica
	if err := server.RegisterName(serviceName, &service{control: c, ctx: ctx}); err != nil {
		return fmt.Errorf("register mesh: %w", err)
	}
	return nil
}

// Put makes a configuration the newest one unless a newer one is held. Nil
// means that the order is durable.
func (c *Control) Put(ctx context.Context, version uint64, source []byte) error {
	order, err := board.EncodePut(version, source)
	if err == nil {
		err = c.timed(ctx, "order-put", func(ctx context.Context) error { return c.submit(ctx, order) })
	}
	if err != nil {
		return fmt.Errorf("put configuration %d: %w", version, err)
	}
	return nil
}

// Evacuate begins or ends the evacuation of a zone.
func (c *Control) Evacuate(ctx context.Context, zone ident.Zone, begin bool) error {
	order, err := board.EncodeEvacuate(zone, begin)
	if err == nil {
		err = c.timed(ctx, "order-evacuate", func(ctx context.Context) error { return c.submit(ctx, order) })
	}
	if err != nil {
		return fmt.Errorf("evacuate zone %s: %w", zone, err)
	}
	return nil
}

// Read returns the orders that include every one acknowledged before the
// call.
func (c *Control) Read(ctx context.Context) (scheme.DesiredState, error) {
	var found StateRecord
	err := c.timed(ctx, "order-read", func(ctx context.Context) error { return c.readLeader(ctx, &found) })
	if err != nil {
		return scheme.DesiredState{}, fmt.Errorf("read configuration: %w", err)
	}
	return found.ledger(), nil
}

// readLeader takes over the orders of the leader.
func (c *Control) readLeader(ctx context.Context, found *StateRecord) error {
	return c.atLeader(ctx, func(ctx context.Context) error {
		r, err := c.readHere(ctx)
		if err != nil {
			return fmt.Errorf("read on the leader: %w", err)
		}
		*found = r
		return nil
	}, func(ctx context.Context, client *wire.Client) error {
		if err := client.Call(ctx, methodRead, &EmptyRecord{}, found); err != nil {
			return fmt.Errorf("ask the leader: %w", err)
		}
		return nil
	})
}

// readHere reads on the leader.
func (c *Control) readHere(ctx context.Context) (StateRecord, error) {
	if _, err := c.replica.Barrier(ctx); err != nil {
		return StateRecord{}, fmt.Errorf("confirm leadership: %w", err)
	}
	// The hub has the state of the barrier, because the replica told it
	// before it answered.
	r, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[StateRecord]) any { return fetch{reply: reply} })
	if err != nil {
		return StateRecord{}, fmt.Errorf("read state: %w", err)
	}
	return r, nil
}

func (c *Control) submit(ctx context.Context, order []byte) error {
	return c.atLeader(ctx, func(ctx context.Context) error {
		if _, _, err := c.replica.Propose(ctx, order); err != nil {
			return fmt.Errorf("propose order: %w", err)
		}
		return nil
	}, func(ctx context.Context, client *wire.Client) error {
		var r SubmitReplyRecord
		if err := client.Call(ctx, methodSubmit, &SubmitRecord{Order: order}, &r); err != nil {
			return fmt.Errorf("ask the leader: %w", err)
		}
		return nil
	})
}

// atLeader carries out a call here or, when another host leads, there. All
// orders have the same effect when they arrive twice, so the call is repeated
// until ctx ends.
func (c *Control) atLeader(
	ctx context.Context, here func(context.Context) error, there func(context.Context, *wire.Client) error,
) error {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := here(call)
		var elsewhere *ctrl.NotLeaderError
		if errors.As(err, &elsewhere) && elsewhere.Address() != "" && elsewhere.Address() != c.own {
			if client := c.client(call, elsewhere.Address()); client != nil {
				err = there(call, client)
			}
		}
		cancel()
		if err == nil {
			return nil
		}
		if !clock.Sleep(ctx, c.clock, retryPause) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

func (c *Control) client(ctx context.Context, address string) *wire.Client {
	client, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[*wire.Client]) any {
		return askClient{address: address, reply: reply}
	})
	if err != nil {
		return nil
	}
	return client
}

// EntryHosts returns the entry hosts that callers from a region are sent to:
// those of the region, or else those of the given homes, or else all.
func (c *Control) EntryHosts(ctx context.Context, region ident.Region, homes []ident.Region) ([]EntryHost, error) {
	all, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[[]EntryHost]) any { return askHosts{reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("entry hosts: %w", err)
	}
	return nearest(all, region, homes), nil
}

// DesiredState returns the orders that this host has applied, which may be old.
func (c *Control) DesiredState(ctx context.Context) (scheme.DesiredState, error) {
	r, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[StateRecord]) any { return fetch{reply: reply} })
	if err != nil {
		return scheme.DesiredState{}, fmt.Errorf("read orders: %w", err)
	}
	return r.ledger(), nil
}
